#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "minion_record.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

/// The minions and groups of a process, with the slots in use. Minions with a
/// free slot are kept in one list per service and failure domain, so that the
/// choice of a minion costs the same with 50 as with 2,000 minions.
class MinionTable {
 public:
  explicit MinionTable(const RouterPolicy& policy)
      : policy(policy), random(policy.seed) {}

  auto Update(const std::vector<Minion>& minions) -> void;
  auto SetGroup(const MinionGroup& group, TimePoint now) -> void;
  auto RemoveGroup(const ResourceId& id) -> void;
  /// Applies the expiry of authority and reserves by `now`.
  auto Refresh(TimePoint now) -> void;

  auto FindOrAddService(const ServiceName& name) -> ServiceIndex;
  auto FindService(const ServiceName& name) const
      -> std::optional<ServiceIndex>;
  auto Services() const -> const std::vector<ServicePool>& {
    return this->services;
  }
  auto Find(const MinionId& id) const -> const MinionRecord*;
  auto At(MinionIndex index) const -> const MinionRecord& {
    return this->minions[index];
  }
  /// Mutable access, for changes that do not affect whether the minion is
  /// usable.
  auto Health(MinionIndex index) -> MinionHealth& {
    return this->minions[index].health;
  }
  auto SetTypicalLatency(ServiceIndex service, Duration latency) -> void;
  auto AuthorityUntil(MinionIndex index) const -> TimePoint;

  /// Chooses a minion outside `tried` for a request that prefers `domain`.
  auto Choose(ServiceIndex service,
              const FailureDomain& domain,
              const std::vector<MinionIndex>& tried,
              TimePoint now) -> std::optional<MinionIndex>;
  /// True if `Choose` would return a minion.
  auto CanDispatch(ServiceIndex service,
                   const std::vector<MinionIndex>& tried) const -> bool;
  /// True if a usable minion outside `tried` exists, with or without a free
  /// slot.
  auto HasUntried(ServiceIndex service,
                  const std::vector<MinionIndex>& tried) const -> bool;
  /// True if the minion is ejected and can receive a probe request.
  auto CanProbe(MinionIndex index) const -> bool;

  auto Acquire(MinionIndex index) -> void;
  auto Release(MinionIndex index) -> void;
  auto SetEjected(MinionIndex index, bool ejected) -> void;

 private:
  struct GroupRecord {
    MinionGroup group;
    bool authority_valid = false;
    bool reserve_active = false;
  };

  auto FindOrAddDomain(ServicePool& service, const FailureDomain& domain)
      -> std::size_t;
  auto UpdateRecord(MinionIndex index, const Minion& minion) -> void;
  auto RebuildLiveMinions() -> void;
  /// Updates the counts of the minion's pool to match its record.
  auto UpdateCounts(MinionIndex index) -> void;
  auto SetAvailable(MinionIndex index, bool available) -> void;
  auto UpdateGroupCounts(const ResourceId& id) -> void;
  auto UpdateGroupFlags(GroupRecord& group, TimePoint now) -> bool;
  auto ChoosePool(const ServicePool& service,
                  const FailureDomain& domain,
                  const std::vector<MinionIndex>& tried) const
      -> const DomainPool*;
  auto ChooseFrom(const std::vector<MinionIndex>& candidates, TimePoint now)
      -> MinionIndex;
  auto Cost(MinionIndex index, TimePoint now) const -> double;

  const RouterPolicy& policy;
  std::mt19937_64 random;
  std::vector<MinionRecord> minions;
  std::unordered_map<MinionId, MinionIndex> by_id;
  std::vector<ServicePool> services;
  std::unordered_map<ServiceName, ServiceIndex> by_name;
  std::unordered_map<ResourceId, GroupRecord> groups;
  TimePoint next_group_change = TimePoint::max();
};

}  // namespace shallotbank::routing
