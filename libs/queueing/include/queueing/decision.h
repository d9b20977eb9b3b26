#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "base/ids.h"
#include "base/resources.h"
#include "queueing/amount.h"

namespace shallotbank::queueing {

/// What the placement has to find room for.
struct Shape {
  Resources need;          ///< Of one task.
  std::int64_t tasks = 1;  ///< More than 1 only for a gang.
  std::uint32_t placement_class = 0;

  auto operator==(const Shape&) const -> bool = default;
};

/// The job to place next: all waiting tasks of a gang, else one task.
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
  kNoRoom,             ///< No room for this shape.
  kBehindReservation,  ///< There is room, but it is reserved for another job.
  kJobOnly,  ///< Only this job has no room, for example because it failed on
             ///< the workers that have some; the same shape may fit for others.
};

/// How a started task ended.
enum class TaskEnd {
  kFinished,
  kFailed,    ///< Ended for good without success.
  kRetry,     ///< Ran or may have run; it waits again in its place.
  kReturned,  ///< Certainly did not run; it waits again in its place.
};

/// The true answer to a cancellation; the same for a repeat.
enum class CancelOutcome {
  kNotStarted,  ///< No task ran and none will.
  kStopping,    ///< Tasks run; the caller has to stop them.
  kFinished,    ///< Some task ran; none runs now and none will.
  kUnknown,     ///< Never seen, or ended too long ago to be remembered.
};

/// Why a job waits, by the check that the last decision made.
enum class WaitingReason {
  kNotWaiting,         ///< All tasks have been started.
  kNext,               ///< It is the next candidate.
  kHoldsReservation,   ///< Room is being gathered for it.
  kNoRoom,             ///< Its shape had no room in this pass.
  kBehindReservation,  ///< The room is reserved for another job.
  kTeamAtLimit,        ///< One more start would pass the team's limit.
  kExceedsLimit,       ///< Never possible: the need exceeds the limit.
  kExceedsCapacity,    ///< Never possible: the need exceeds the shard.
  kTeamNotInPolicy,    ///< The team is not part of the policy (any more).
  kBehindOwnTeam,      ///< Other jobs of its team go first.
  kBehindUrgent,       ///< Urgent work of others goes first.
  kTeamBehindOthers,   ///< Other teams of its organisation have a lower
                       ///< share or older work.
  kOrganisationBehindOthers,  ///< The same for its organisation.
};

/// A stable short name such as "team-at-limit".
auto ToText(WaitingReason reason) -> std::string_view;
auto ToText(CancelOutcome outcome) -> std::string_view;
auto operator<<(std::ostream& out, WaitingReason reason) -> std::ostream&;
auto operator<<(std::ostream& out, CancelOutcome outcome) -> std::ostream&;

/// Which team should give back borrowed room, and for which job.
struct PreemptionAdvice {
  TeamId victim;
  JobId beneficiary;
  Resources amount;  ///< What the beneficiary needs in all.
};

/// The share of one team at this moment.
struct TeamShare {
  OrganisationId organisation;
  TeamId team;
  Amount running;
  Amount limit;
  std::size_t waiting_jobs = 0;
  double dominant_share = 0;  ///< Of the capacity of the shard.
  double entitlement = 0;     ///< The share when all teams are backlogged.
};

}  // namespace shallotbank::queueing
