#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "journal/claim_table.h"

namespace shallotbank::ownership {

/// A process that may own resources of the kind that is planned.
struct Process {
  ProcessId id;
  bool suspected = false;
};

/// What the planner looks at.
struct ClaimView {
  /// All resources of one kind: the shards, or the minion groups.
  const std::vector<ResourceId>& resources;
  const journal::ClaimTable& claims;
  /// Known processes, the own one included.
  const std::vector<Process>& processes;
};

/// What to append.
struct ClaimDecision {
  struct Step {
    ResourceId resource;
    /// For a claim, what it supersedes; for a release, the own epoch.
    Epoch epoch = 0;
  };

  std::vector<Step> claims;
  std::vector<Step> releases;
};

/// Decides which resources this process claims or releases.
///
/// A resource is free if nobody owns it or if its owner is suspected. The
/// processes rank each free resource alike, by their load and by rendezvous
/// hashing; the process of rank n claims after n times `kRankDelay`, so that
/// one claim is appended rather than one from each process. Safety does not
/// depend on it: the log decides which claim is valid.
class ClaimPlanner {
 public:
  using Milliseconds = std::chrono::milliseconds;

  /// Longer than an append and the read that shows it take as a rule.
  static constexpr Milliseconds kRankDelay{150};
  /// A claim or release that has had no effect is decided again after this.
  static constexpr Milliseconds kRetryAfter{1000};
  /// An owner that is not among the processes counts as suspected after this,
  /// which leaves a new process the time to hear from its peers.
  static constexpr Milliseconds kUnknownOwnerDelay{3000};
  /// Owners and processes have to stay the same for this long before a resource
  /// is handed over, so that restarts and short suspicions move nothing.
  static constexpr Milliseconds kSettleTime{30000};

  /// Minion groups are evened out over the processes; shards stay where they
  /// are, since a change of owner interrupts their placement.
  enum class Balance { kKeep, kEven };

  ClaimPlanner(ProcessId own, Balance balance)
      : own(std::move(own)), balance(balance) {}

  /// Call at each change of the view, and every 50 ms or so.
  auto Plan(const ClaimView& view, TimePoint now) -> ClaimDecision;

  /// Releases of everything that this process owns, for a planned stop. `Plan`
  /// is not to be called any more.
  auto Stop(const ClaimView& view, TimePoint now) -> ClaimDecision;

 private:
  struct Progress {
    std::optional<TimePoint> unknown_owner_since;
    std::optional<TimePoint> free_since;
    Epoch free_epoch = 0;
    std::optional<TimePoint> decided_at;
    Epoch decided_epoch = 0;
  };
  struct Picture {
    std::map<ResourceId, Epoch> epochs;
    std::vector<ProcessId> alive;

    auto operator==(const Picture&) const -> bool = default;
  };

  auto IsFree(const ResourceId& resource,
              const ClaimView& view,
              Progress& entry,
              TimePoint now) const -> bool;
  /// Nothing if the resource is not free.
  auto FreeSince(const ResourceId& resource,
                 const ClaimView& view,
                 TimePoint now) -> std::optional<TimePoint>;
  auto Decide(const ResourceId& resource, Epoch epoch, TimePoint now) -> bool;
  auto NoteChanges(const ClaimView& view, TimePoint now) -> void;
  auto HandOver(const ClaimView& view, TimePoint now)
      -> std::optional<ClaimDecision::Step>;

  ProcessId own;
  Balance balance;
  std::map<ResourceId, Progress> progress;
  Picture picture;
  std::optional<TimePoint> settled_since;
};

}  // namespace shallotbank::ownership
