#pragma once

#include <map>
#include <vector>

#include "api.h"
#include "authorization.h"
#include "daemon/resource_claimer.h"
#include "routing/minion_router.h"

namespace shallotbank::entry {

/// The minion groups of the cell, and those that this process owns.
class MinionGroups {
 public:
  MinionGroups(Context& context, Authorization& authorization)
      : context(context), authorization(authorization) {}

  /// All groups; each is to be owned by some entry process.
  static auto All() -> std::vector<ResourceId>;
  /// The group of a minion; the same in every process.
  static auto GroupOf(const MinionId& minion) -> ResourceId;

  auto Gained(const ResourceId& group, bool is_takeover, TimePoint now) -> void;
  auto Lost(const ResourceId& group) -> void;
  /// The minions of the host list, for the router.
  auto Minions() const -> std::vector<routing::Minion>;
  /// The owned groups that may be used, with the authority of this process.
  auto Usable(TimePoint now) -> std::vector<routing::MinionGroup>;

 private:
  struct Group {
    TimePoint usable_from;
    TimePoint reserved_until;
  };

  auto AuthorityUntil(TimePoint now) -> TimePoint;

  Context& context;
  Authorization& authorization;
  std::map<ResourceId, Group> owned;
};

}  // namespace shallotbank::entry
