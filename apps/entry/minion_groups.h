#pragma once

#include <map>
#include <vector>

#include "api.h"
#include "membership/authority.h"
#include "routing/minion.h"

namespace shallotbank::entry {

/// The minion groups of the cell and which of them this process owns. The entry
/// processes act as witnesses for the epochs of each other.
class MinionGroups {
 public:
  explicit MinionGroups(Context& context) : context(context) {}

  /// Returns all groups; each is to be owned by some entry process.
  static auto All() -> std::vector<ResourceId>;
  /// Returns the group of a minion, which is the same in every process.
  static auto GroupOf(const MinionId& minion) -> ResourceId;

  /// This process now owns the group.
  auto TakeOwnership(const ResourceId& group,
                     Epoch epoch,
                     bool is_takeover,
                     TimePoint now) -> void;
  /// This process no longer owns the group.
  auto DropOwnership(const ResourceId& group) -> void;
  /// Gives the group no new requests from now on.
  auto Drain(const ResourceId& group) -> void;
  /// Records that `epoch` exists and returns the highest epoch seen.
  auto ObserveEpoch(const ResourceId& group, Epoch epoch) -> Epoch;
  /// Renews the authority over the owned groups. Queries the witnesses where
  /// the log alone does not confirm the ownership.
  auto Tick(TimePoint now) -> void;

  /// Returns the minions of the host list, for the router.
  auto Minions() const -> std::vector<routing::Minion>;
  /// Returns the owned groups that may be used now, with the time until which
  /// this process has authority over them.
  auto UsableGroups(TimePoint now) const -> std::vector<routing::MinionGroup>;

 private:
  struct Group {
    Epoch epoch = 0;
    bool is_takeover = false;
    bool is_draining = false;
    membership::Authority authority;
    Duration max_request_deadline{};
  };

  auto EntryPeers() const -> std::vector<const daemon::PeerInfo*>;
  auto QueryWitnesses(const ResourceId& id, const Group& group) -> void;
  auto ConfirmByPeer(const ResourceId& id,
                     Epoch queried_epoch,
                     const ProcessId& peer,
                     Epoch highest,
                     TimePoint sent_at) -> void;
  auto UsableFrom(const Group& group) const -> std::optional<TimePoint>;

  Context& context;
  std::map<ResourceId, Group> owned;
  std::map<ResourceId, Epoch> highest_seen;
  TimePoint next_witness_query;
};

}  // namespace shallotbank::entry
