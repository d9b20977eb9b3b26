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

/// Selects the next waiting job of a shard by hierarchical weighted dominant
/// resource fairness (DRF) over organisations and their teams, within the upper
/// limit of each team and with urgent work first up to a bound. Not
/// thread-safe.
///
/// A pass is a sequence of `Next` calls, each followed by its outcome
/// (`Started` or `Blocked`). A blocked shape and every larger one are not
/// offered again until capacity may have been freed: by `Ended`, by
/// `SetPolicy`, or as notified by the caller.
class FairQueue {
 public:
  /// Keeps the outcomes of the last `max_ended_jobs` jobs that ended, to answer
  /// repeated cancellations.
  explicit FairQueue(std::size_t max_ended_jobs = 100'000);
  ~FairQueue();
  FairQueue(FairQueue&&) noexcept;
  auto operator=(FairQueue&&) noexcept -> FairQueue&;

  /// Replaces the policy; running and waiting work is kept. Jobs of a team that
  /// the policy omits wait until a later policy names it. Errors:
  /// `PolicyError`.
  auto SetPolicy(const QueuePolicy& policy) -> boost::leaf::result<void>;
  /// Sets the unconfirmed use of a team: what may be running beyond the tasks
  /// known here, such as on a worker that is still unattached. It counts
  /// against the limit only.
  auto SetUnconfirmedUse(const TeamId& team, const Amount& amount) -> void;
  /// Sets only the limit of a team, as when its allotment changes. Returns
  /// false if the policy does not name the team or the limit is out of range.
  /// The next `SetPolicy` replaces the limit.
  auto SetLimit(const TeamId& team, const Amount& limit) -> bool;

  /// Adds a job with all of its tasks waiting. Errors: `JobError` if a field is
  /// out of range or the id is already known.
  auto Add(const QueuedJob& job) -> boost::leaf::result<void>;
  /// Counts waiting tasks of the job as running although they were not started
  /// here; used in recovery. May exceed the limit. Returns false if fewer tasks
  /// are waiting.
  auto Adopt(const JobId& job, std::int64_t tasks) -> bool;

  /// Returns the candidate that goes first, or nothing if no job may start now.
  auto Next(TimePoint now) -> std::optional<Candidate>;
  /// Records the start of a candidate; call it at the decision, before the
  /// command is sent. Returns false, with no effect, if the start would exceed
  /// the limit of the team or no task of the job is waiting.
  auto Started(const JobId& job, TimePoint now) -> bool;
  auto Blocked(const JobId& job, BlockReason reason) -> void;
  /// Notes that capacity may have been freed and begins a new pass.
  auto CapacityFreed() -> void;
  /// Records the end of running tasks and begins a new pass. Returns false,
  /// with no effect, if fewer tasks of the job are running.
  auto Ended(const JobId& job, TaskEnd end, std::int64_t tasks = 1) -> bool;

  /// Cancels a job; idempotent. Waiting tasks are removed at once.
  auto Cancel(const JobId& job) -> CancelOutcome;
  /// Returns the jobs that have expired since the last call; they are removed.
  auto TakeExpired(TimePoint now) -> std::vector<JobId>;

  /// Returns why the job is waiting, or nothing if it is unknown or has ended.
  auto WhyWaiting(const JobId& job, TimePoint now) const
      -> std::optional<WaitingReason>;
  /// Returns the job that smaller work has overtaken for the longest time, if
  /// that is long enough for a reservation and no job holds one.
  auto ReservationDue(TimePoint now) const -> std::optional<JobId>;
  /// Records the job that capacity is being reserved for; it is offered first
  /// in each pass. Cleared when the job starts, ends or is cancelled. A job
  /// that is not waiting is not recorded.
  auto SetReserved(const std::optional<JobId>& job) -> void;
  /// Returns advice only while urgent work within its allowance, or a starving
  /// job of a team below its share, finds no free capacity.
  auto AdvisePreemption(TimePoint now) const -> std::optional<PreemptionAdvice>;

  auto Shares() const -> std::vector<TeamShare>;
  /// Returns the number of jobs with waiting tasks.
  auto WaitingJobs() const -> std::size_t;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace shallotbank::queueing
