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

/// Failed starts in a row, from distinct jobs, after which a worker is
/// quarantined.
inline constexpr std::size_t kFailuresToQuarantine = 3;
/// Distinct workers on which a task fails before its job counts as faulty.
inline constexpr std::size_t kFailuresToBlameJob = 3;
/// Time until the first probe of a quarantined worker; it doubles with each
/// failed probe up to `kLongestProbeInterval`.
inline constexpr std::chrono::seconds kFirstProbeInterval{30};
inline constexpr std::chrono::minutes kLongestProbeInterval{10};

/// What changed with the outcome of a start.
struct QuarantineChange {
  std::vector<WorkerId> quarantined;
  std::vector<WorkerId> cleared;
  /// The job has used up its failure budget and should fail.
  bool job_faulty = false;
};

/// Tells workers that fail everything they start from jobs that fail
/// everywhere. Not safe for use by several threads.
class Quarantine {
 public:
  /// Records a failed start. A failure on a quarantined worker is not held
  /// against the job, and a failure of a faulty job not against the worker.
  auto RecordFailure(const WorkerId& worker,
                     const JobId& job,
                     const TaskId& task,
                     TimePoint now) -> QuarantineChange;
  /// Records a successful start; it clears the worker.
  auto RecordSuccess(const WorkerId& worker,
                     const JobId& job,
                     const TaskId& task) -> QuarantineChange;

  auto IsQuarantined(const WorkerId& worker) const -> bool;
  auto IsFaulty(const JobId& job) const -> bool;
  /// Takes a worker that is due for a probe. It is due again after its present
  /// interval, in case the outcome of the probe never arrives.
  auto TakeProbe(TimePoint now) -> std::optional<WorkerId>;
  /// When the next probe is due, if any worker is quarantined.
  auto NextProbeAt() const -> std::optional<TimePoint>;

  /// Drops what is known of a worker that is gone.
  auto ForgetWorker(const WorkerId& worker) -> void;
  /// Drops what is known of a job that has ended.
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

  auto BlameJob(const JobId& job, JobHistory& history, QuarantineChange& change)
      -> void;
  auto BlameWorker(const WorkerId& worker,
                   const JobId& job,
                   TimePoint now,
                   QuarantineChange& change) -> void;

  std::unordered_map<WorkerId, WorkerHistory> workers;
  std::unordered_map<JobId, JobHistory> jobs;
  std::unordered_set<WorkerId> quarantined;
};

}  // namespace shallotbank::placement
