#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <boost/leaf.hpp>

#include "queueing/decision.h"
#include "queueing/queue_policy.h"
#include "queueing/queued_job.h"

namespace shallotbank::queueing {

/// Decides which waiting job of a shard goes next: hierarchical weighted
/// dominant resource fairness over organisations and their teams, within the
/// upper limit of each team, urgent work first up to a bound. Not safe for use
/// by several threads.
///
/// A pass is a run of `Next` calls with an outcome (`Started` or `Blocked`)
/// after each. A shape that was blocked, and every larger one, is not offered
/// again until room may have been freed (`Ended`, `RoomFreed`, `SetPolicy`).
class FairQueue {
 public:
  /// Remembers the outcome of the last `remembered_ends` jobs for repeated
  /// cancellations.
  explicit FairQueue(std::size_t remembered_ends = 100'000);
  ~FairQueue();
  FairQueue(FairQueue&&) noexcept;
  auto operator=(FairQueue&&) noexcept -> FairQueue&;

  /// Replaces the policy; running and waiting work stays. Jobs of a team that
  /// is left out wait until it is back. Errors: `PolicyError`.
  auto SetPolicy(const QueuePolicy& policy) -> boost::leaf::result<void>;
  /// Sets what counts as running for the team beyond the tasks known here, such
  /// as what an unreached worker may hold. It counts against the limit only.
  auto SetHeld(const TeamId& team, const Amount& amount) -> void;
  /// Sets only the limit of a team, as an allotment does when it moves. False
  /// if the team is not in the policy or the limit is out of range; the next
  /// `SetPolicy` replaces it.
  auto SetLimit(const TeamId& team, const Amount& limit) -> bool;

  /// Errors: `JobError` if a field is out of range or the id is known.
  auto Add(const QueuedJob& job) -> boost::leaf::result<void>;
  /// Counts waiting tasks of the job as running although they were not started
  /// here, for recovery; may exceed the limit. False if fewer are waiting.
  auto Adopt(const JobId& job, std::int64_t tasks) -> bool;

  /// The first candidate in order, or nothing if none may start now.
  auto Next(TimePoint now) -> std::optional<Candidate>;
  /// Counts the start of a candidate; call it at the decision, before the
  /// command is sent. False, with no effect, if the start would pass the limit
  /// of the team or no task of the job is waiting.
  auto Started(const JobId& job, TimePoint now) -> bool;
  auto Blocked(const JobId& job, BlockReason reason) -> void;
  /// Begins a new pass.
  auto RoomFreed() -> void;
  /// Counts the end of running tasks and begins a new pass. False, with no
  /// effect, if fewer tasks of the job are running.
  auto Ended(const JobId& job, TaskEnd end, std::int64_t tasks = 1) -> bool;

  /// Idempotent. Waiting tasks are removed at once.
  auto Cancel(const JobId& job) -> CancelOutcome;
  /// The jobs that expired since the last call; they are removed.
  auto TakeExpired(TimePoint now) -> std::vector<JobId>;

  /// Why the job waits; nothing if it is unknown or has ended.
  auto WhyWaiting(const JobId& job, TimePoint now) const
      -> std::optional<WaitingReason>;
  /// The job that smaller work has overtaken for longest, if that is long
  /// enough for a reservation and no job holds one.
  auto ReservationDue(TimePoint now) const -> std::optional<JobId>;
  /// Notes the job that room is being gathered for; it is offered first in each
  /// pass. Cleared when the job starts, ends or is cancelled; a job that does
  /// not wait is not noted.
  auto SetReserved(const std::optional<JobId>& job) -> void;
  /// Advice only while urgent work within its allowance, or a starved job of a
  /// team below its share, has no room.
  auto Preemption(TimePoint now) const -> std::optional<PreemptionAdvice>;

  auto Shares() const -> std::vector<TeamShare>;
  /// Jobs with waiting tasks.
  auto WaitingJobs() const -> std::size_t;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace shallotbank::queueing
