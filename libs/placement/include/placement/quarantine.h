#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::placement {

/// Number of consecutive failed starts, from distinct jobs, after which a
/// worker is quarantined.
inline constexpr std::size_t kFailuresToQuarantine = 3;
/// Number of distinct workers on which a task has to fail before its job counts
/// as faulty.
inline constexpr std::size_t kFailuresToFaultJob = 3;
/// Delay before the first probe of a quarantined worker. It doubles with each
/// failed probe, up to `kMaxProbeInterval`.
inline constexpr std::chrono::seconds kInitialProbeInterval{30};
inline constexpr std::chrono::minutes kMaxProbeInterval{10};

/// Changes of state caused by the outcome of a start.
struct QuarantineChange {
  std::vector<WorkerId> quarantined;
  std::vector<WorkerId> cleared;
  /// The job has exhausted its failure budget and should be failed.
  bool job_faulty = false;
};

/// Distinguishes faulty workers, on which every start fails, from faulty jobs,
/// which fail on every worker. Not thread-safe.
class Quarantine {
 public:
  /// Records a failed start. A failure on a quarantined worker does not count
  /// against the job, and a failure of a faulty job does not count against the
  /// worker.
  auto RecordFailure(const WorkerId& worker,
                     const JobId& job,
                     const TaskId& task,
                     TimePoint now) -> QuarantineChange;
  /// Records a successful start, which clears the failures and the quarantine
  /// of the worker.
  auto RecordSuccess(const WorkerId& worker,
                     const JobId& job,
                     const TaskId& task) -> QuarantineChange;

  auto IsQuarantined(const WorkerId& worker) const -> bool;
  auto IsFaulty(const JobId& job) const -> bool;
  /// Returns a worker that is due for a probe and schedules its next probe
  /// after its current interval, in case the outcome of this one never arrives.
  auto TakeWorkerToProbe(TimePoint now) -> std::optional<WorkerId>;
  /// The time of the next probe, if any worker is quarantined.
  auto NextProbeAt() const -> std::optional<TimePoint>;

  /// Removes the history of a worker that no longer exists.
  auto ForgetWorker(const WorkerId& worker) -> void;
  /// Removes the history of a job that has ended.
  auto ForgetJob(const JobId& job) -> void;

 private:
  struct WorkerHistory {
    std::vector<JobId> failed_jobs;  ///< Distinct, since the last success.
    bool quarantined = false;
    bool probing = false;
    Duration interval{};
    TimePoint next_probe;
  };
  struct JobHistory {
    std::unordered_map<TaskId, std::vector<WorkerId>> failures;
    bool faulty = false;
  };

  auto MarkJobFaulty(const JobId& job,
                     JobHistory& history,
                     QuarantineChange& change) -> void;
  auto CountWorkerFailure(const WorkerId& worker,
                          const JobId& job,
                          TimePoint now,
                          QuarantineChange& change) -> void;

  std::unordered_map<WorkerId, WorkerHistory> workers;
  std::unordered_map<JobId, JobHistory> jobs;
  std::unordered_set<WorkerId> quarantined;
};

}  // namespace shallotbank::placement
