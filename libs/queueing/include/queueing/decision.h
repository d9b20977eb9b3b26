#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "base/ids.h"
#include "base/resources.h"
#include "queueing/amount.h"

namespace shallotbank::queueing {

/// What the placement has to find free capacity for.
struct Shape {
  Resources need;          ///< Per task.
  std::int64_t tasks = 1;  ///< More than 1 only for a gang.
  std::uint32_t placement_class = 0;

  auto operator==(const Shape&) const -> bool = default;
};

/// The job to place next: all waiting tasks of a gang, otherwise one task.
struct Candidate {
  JobId job;
  TeamId team;
  ProfileName profile;
  Shape shape;
  bool is_urgent = false;
  bool is_single_run = false;
  bool holds_reservation = false;
};

/// Why a candidate was not placed.
enum class BlockReason {
  kNoRoom,             ///< No free capacity for this shape.
  kBehindReservation,  ///< The free capacity is reserved for another job.
  kJobOnly,  ///< Applies to this job only, for example because it failed on
             ///< the workers with free capacity; other jobs of the same shape
             ///< may fit.
};

/// How a started task ended.
enum class TaskEnd {
  kFinished,
  kFailed,    ///< Failed and is not retried.
  kRetry,     ///< Ran or may have run; queued again at its former position.
  kReturned,  ///< Certainly did not run; queued again at its former position.
};

/// The outcome of a cancellation as of the call; a repeated call is answered
/// in the same way.
enum class CancelOutcome {
  kNotStarted,  ///< No task has run or will run.
  kStopping,    ///< Tasks are running; the caller has to stop them.
  kFinished,    ///< At least one task has run; none is running or will run.
  kUnknown,     ///< Unknown job, or it ended too long ago to be remembered.
};

/// Why a job is waiting, by the checks of the latest decision.
enum class WaitingReason {
  kNotWaiting,         ///< All tasks have been started.
  kNext,               ///< It is the next candidate.
  kHoldsReservation,   ///< Capacity is being reserved for it.
  kNoRoom,             ///< No free capacity for its shape in this pass.
  kBehindReservation,  ///< The free capacity is reserved for another job.
  kTeamAtLimit,        ///< One more start would exceed the team's limit.
  kExceedsLimit,       ///< Can never start: the need exceeds the limit.
  kExceedsCapacity,    ///< Can never start: the need exceeds the shard.
  kTeamNotInPolicy,    ///< The policy does not (or no longer) name the team.
  kBehindOwnTeam,      ///< Other jobs of its team go first.
  kBehindUrgent,       ///< Urgent work of other teams goes first.
  kTeamBehindOthers,   ///< Other teams of its organisation have a lower
                       ///< share or older work.
  kOrganisationBehindOthers,  ///< Likewise for its organisation.
};

/// Returns a stable short name, such as "team-at-limit".
auto ToText(WaitingReason reason) -> std::string_view;
auto ToText(CancelOutcome outcome) -> std::string_view;
auto operator<<(std::ostream& out, WaitingReason reason) -> std::ostream&;
auto operator<<(std::ostream& out, CancelOutcome outcome) -> std::ostream&;

/// Recommends which team should give back borrowed capacity, and for which job.
struct PreemptionAdvice {
  TeamId victim;
  JobId preemptor;
  Resources amount;  ///< Everything that the preemptor needs to start.
};

/// The current share of one team.
struct TeamShare {
  OrganisationId organisation;
  TeamId team;
  Amount running;
  Amount limit;
  std::size_t waiting_jobs = 0;
  double dominant_share = 0;  ///< Fraction of the capacity of the shard.
  double entitlement = 0;     ///< Its share when all teams are backlogged.
};

}  // namespace shallotbank::queueing
