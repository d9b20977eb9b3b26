#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "journal/claim_table.h"

namespace shallotbank::ownership {

/// A process that may own resources of the planned kind.
struct Process {
  ProcessId id;
  bool suspected = false;
};

/// The input of the planner.
struct ClaimView {
  /// All resources of one kind: the shards, or the minion groups.
  const std::vector<ResourceId>& resources;
  const journal::ClaimTable& claims;
  /// Known processes, including this one.
  const std::vector<Process>& processes;
};

/// The claims and releases to append.
struct ClaimDecision {
  struct Step {
    ResourceId resource;
    /// For a claim, the epoch that it supersedes; for a release, the epoch of
    /// this process.
    Epoch epoch = 0;
  };

  std::vector<Step> claims;
  std::vector<Step> releases;
};

/// Decides which resources this process claims or releases.
///
/// A resource is free if it has no owner or its owner is suspected. For each
/// free resource all processes compute the same ranking, by load and then by
/// rendezvous hashing. The process of rank n claims after n times `kRankDelay`,
/// so that one claim is appended rather than one per process. Safety does not
/// depend on the ranking: the log decides which claim is valid.
class ClaimPlanner {
 public:
  using Milliseconds = std::chrono::milliseconds;

  /// Longer than an append and the read that shows it usually take.
  static constexpr Milliseconds kRankDelay{150};
  /// A claim or release that has had no effect is repeated after this time.
  static constexpr Milliseconds kRetryAfter{1000};
  /// An owner that is not among the known processes counts as suspected after
  /// this time, so that a new process can first hear from its peers.
  static constexpr Milliseconds kUnknownOwnerDelay{3000};
  /// Owners and live processes must be unchanged for this long before a
  /// resource is handed over, so that restarts and short suspicions move
  /// nothing.
  static constexpr Milliseconds kStabilisationTime{30000};

  /// Whether resources are redistributed evenly. Minion groups are; shards keep
  /// their owner, since an ownership change interrupts their placement.
  enum class Balance { kKeep, kEven };

  ClaimPlanner(ProcessId self, Balance balance)
      : self(std::move(self)), balance(balance) {}

  /// Decides what to claim and release; call at each change of the view and
  /// about every 50 ms.
  auto Plan(const ClaimView& view, TimePoint now) -> ClaimDecision;

  /// Returns the releases of everything that this process owns, for a planned
  /// stop. Do not call `Plan` afterwards.
  auto Stop(const ClaimView& view, TimePoint now) -> ClaimDecision;

 private:
  struct ResourceState {
    std::optional<TimePoint> unknown_owner_since;
    std::optional<TimePoint> free_since;
    Epoch free_epoch = 0;
    std::optional<TimePoint> decided_at;
    Epoch decided_epoch = 0;
  };
  struct ObservedState {
    std::map<ResourceId, Epoch> epochs;
    std::vector<ProcessId> alive;

    auto operator==(const ObservedState&) const -> bool = default;
  };

  auto IsFree(const ResourceId& resource,
              const ClaimView& view,
              ResourceState& entry,
              TimePoint now) const -> bool;
  /// Returns since when the resource has been free, or nothing if it is not.
  auto FreeSince(const ResourceId& resource,
                 const ClaimView& view,
                 TimePoint now) -> std::optional<TimePoint>;
  auto TryDecide(const ResourceId& resource, Epoch epoch, TimePoint now)
      -> bool;
  auto DetectChanges(const ClaimView& view, TimePoint now) -> void;
  auto PlanHandOver(const ClaimView& view, TimePoint now)
      -> std::optional<ClaimDecision::Step>;

  ProcessId self;
  Balance balance;
  std::map<ResourceId, ResourceState> resource_states;
  ObservedState last_observed;
  std::optional<TimePoint> stable_since;
};

}  // namespace shallotbank::ownership
