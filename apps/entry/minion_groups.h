#pragma once

#include <map>
#include <vector>

#include "api.h"
#include "membership/authority.h"
#include "routing/minion.h"

namespace shallotbank::entry {

/// The minion groups of the cell, and those that this process owns. The entry
/// processes are the witnesses of each other's epochs.
class MinionGroups {
 public:
  explicit MinionGroups(Context& context) : context(context) {}

  /// All groups; each is to be owned by some entry process.
  static auto All() -> std::vector<ResourceId>;
  /// The group of a minion; the same in every process.
  static auto GroupOf(const MinionId& minion) -> ResourceId;

  auto Gained(const ResourceId& group,
              Epoch epoch,
              bool is_takeover,
              TimePoint now) -> void;
  auto Lost(const ResourceId& group) -> void;
  /// The group gets nothing new from now on.
  auto Drain(const ResourceId& group) -> void;
  /// Notes that `epoch` exists and returns the highest one seen.
  auto Witness(const ResourceId& group, Epoch epoch) -> Epoch;
  /// Asks the witnesses where the log alone does not confirm the ownership.
  auto Tick(TimePoint now) -> void;

  /// The minions of the host list, for the router.
  auto Minions() const -> std::vector<routing::Minion>;
  /// The owned groups that may be used, with the authority of this process.
  auto Usable(TimePoint now) const -> std::vector<routing::MinionGroup>;

 private:
  struct Group {
    Epoch epoch = 0;
    bool is_takeover = false;
    bool is_draining = false;
    membership::Authority authority;
    Duration longest_request{};
  };

  auto EntryPeers() const -> std::vector<const daemon::PeerInfo*>;
  auto AskWitnesses(const ResourceId& id, const Group& group) -> void;
  auto Confirm(const ResourceId& id,
               Epoch asked,
               const ProcessId& peer,
               Epoch highest,
               TimePoint sent) -> void;
  auto UsableFrom(const Group& group) const -> std::optional<TimePoint>;

  Context& context;
  std::map<ResourceId, Group> owned;
  std::map<ResourceId, Epoch> highest_seen;
  TimePoint next_question;
};

}  // namespace shallotbank::entry
