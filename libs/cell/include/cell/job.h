#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::cell {

using Milliseconds = std::chrono::milliseconds;

/// A set of identical tasks within a job.
struct StepSpec {
  std::size_t task_count = 0;
  Resources demand;         ///< Per task.
  Milliseconds estimate{};  ///< Approximate run time of one task.
  /// Earlier steps that must be done first.
  std::vector<std::size_t> depends_on;
  bool has_checkpoints = false;
  bool is_gang = false;         ///< All tasks must run at the same time.
  bool is_single_rack = false;  ///< The tasks run slowly across racks.
  bool may_run_twice = false;
  bool is_long_running = false;  ///< Runs until the job is cancelled.
  bool is_best_effort = false;  ///< Uses resources that other tasks leave idle.
  std::string required_label;   ///< Empty if any worker is suitable.
  RackId data_rack;  ///< Rack that holds the input data; empty if none.
  /// Maximum number of the step's tasks on one worker; 0 means no limit.
  std::size_t max_per_worker = 0;
};

/// A job as submitted.
struct JobSpec {
  JobId id;
  QueueName queue;
  OrganisationId organisation;
  std::string payload;  ///< Passed to the worker with each task.
  std::vector<StepSpec> steps;
  /// Number of times the steps run; 0 for a job that runs once and immediately.
  std::size_t occurrence_count = 0;
  std::chrono::system_clock::time_point first_due;
  Milliseconds interval{};
  /// By the clock of the host that accepted the job; the epoch if unknown.
  std::chrono::system_clock::time_point submitted_at;
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

inline auto IsFinal(JobState state) -> bool {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/// One incarnation of a worker. A worker that restarts under the same ID is a
/// new incarnation and has none of the earlier tasks.
struct WorkerIncarnation {
  WorkerId id;
  std::int64_t born_unix_ms = 0;

  auto operator==(const WorkerIncarnation&) const -> bool = default;
};

enum class TaskPhase { kWaiting, kAssigned, kDone };

/// When a leader assigned a run. Later values are later, also across leaders.
struct AssignmentTime {
  Epoch epoch = 0;          ///< Of the leader.
  std::uint64_t batch = 0;  ///< Of the leader, that stores the assignment.
  Milliseconds term{};      ///< Since the leader took over.

  auto operator==(const AssignmentTime&) const -> bool = default;
  auto operator<(const AssignmentTime& other) const -> bool {
    return std::tie(this->epoch, this->batch, this->term) <
           std::tie(other.epoch, other.batch, other.term);
  }
};

/// Stored progress of a task.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;          ///< Number of the latest run; 0 before the first.
  int failed_runs = 0;  ///< Runs that ended with a failure.
  /// Workers that crashed right after they had started the task, since it was
  /// last seen to work.
  int crashes = 0;
  /// The same when the run may not have begun, or may have been old.
  int possible_crashes = 0;
  int crashed_run = 0;       ///< The latest run that is counted in either.
  WorkerIncarnation worker;  ///< Of the latest run, while the task is assigned.
  AssignmentTime assigned_at;  ///< Of the latest run, while it is assigned.
  std::string checkpoint;      ///< Where the next run resumes; empty if none.

  auto operator==(const TaskProgress&) const -> bool = default;
};

/// Progress of one occurrence of a job's steps.
struct OccurrenceProgress {
  std::size_t number = 0;
  std::vector<std::vector<TaskProgress>> steps;
  /// The tasks are stored in segments of so many, each a record of its own,
  /// because one record cannot hold them all; 0 if they are stored with the
  /// job.
  std::size_t segment_size = 0;
};

/// Stored progress of a job; its specification is stored separately.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<OccurrenceProgress> occurrences;  ///< Started and not completed.
  std::size_t next_occurrence = 0;
  /// Of an ended job, whose specification is removed from the store.
  QueueName queue;
  OrganisationId organisation;
};

/// Returns the ID of a task, made of the job, the occurrence, the step and the
/// index within the step.
auto TaskName(const JobId& job,
              std::size_t occurrence,
              std::size_t step,
              std::size_t index) -> TaskId;

/// Where a task is within its job.
struct TaskPosition {
  std::size_t occurrence = 0;
  std::size_t step = 0;
  std::size_t index = 0;

  auto operator==(const TaskPosition&) const -> bool = default;
};

/// Returns nothing if the ID is not of the form that `TaskName` makes.
auto ParseTaskName(const TaskId& name) -> std::optional<TaskPosition>;

}  // namespace shallotbank::cell
