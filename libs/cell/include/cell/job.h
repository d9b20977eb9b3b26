#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::cell {

using Milliseconds = std::chrono::milliseconds;

/// Tasks of one shape within a job.
struct StepSpec {
  std::size_t task_count = 0;
  Resources demand;                     ///< Of one task.
  Milliseconds estimate{};              ///< Rough run time of one task.
  std::vector<std::size_t> depends_on;  ///< Earlier steps that must be done.
  bool has_checkpoints = false;
  bool is_gang = false;         ///< The tasks run only all together.
  bool is_single_rack = false;  ///< The tasks are slow across racks.
  bool may_run_twice = false;
  bool is_long_running = false;  ///< Runs until the job is cancelled.
  bool is_best_effort = false;   ///< Uses what other tasks leave unused.
  std::string required_label;    ///< Empty if any worker will do.
  RackId data_rack;              ///< Where the data lies; empty if nowhere.
  /// Most tasks of the step on one worker; 0 means no limit.
  std::size_t max_per_worker = 0;
};

/// A job as its submitter described it.
struct JobSpec {
  JobId id;
  QueueName queue;
  OrganisationId organisation;
  std::string payload;  ///< Handed to the worker with each task.
  std::vector<StepSpec> steps;
  /// How often the steps run; 0 for a job that runs once, at once.
  std::size_t occurrence_count = 0;
  std::chrono::system_clock::time_point first_due;
  Milliseconds interval{};
  /// By the clock of the host that took the job in; the epoch if unknown.
  std::chrono::system_clock::time_point submitted_at;
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

inline auto IsFinal(JobState state) -> bool {
  return state != JobState::kQueued && state != JobState::kRunning;
}

/// One life of a worker. A worker that restarts under its id holds nothing of
/// before and counts as another life.
struct WorkerLife {
  WorkerId id;
  std::int64_t born_unix_ms = 0;

  auto operator==(const WorkerLife&) const -> bool = default;
};

enum class TaskPhase { kWaiting, kAssigned, kDone };

/// What is kept of a task in the store.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;             ///< Number of the latest run; 0 before the first.
  int failed_runs = 0;     ///< Runs that ended by a fault.
  WorkerLife worker;       ///< Of the latest run, while assigned.
  std::string checkpoint;  ///< The next run resumes there; empty if none.
};

/// One occurrence of a job's steps.
struct OccurrenceProgress {
  std::size_t number = 0;
  std::vector<std::vector<TaskProgress>> steps;
};

/// What is kept of a job in the store beside its specification.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<OccurrenceProgress> occurrences;  ///< Those begun, not yet done.
  std::size_t next_occurrence = 0;
};

/// Names one task: the job, the occurrence, the step and the index in it.
auto TaskName(const JobId& job,
              std::size_t occurrence,
              std::size_t step,
              std::size_t index) -> TaskId;

}  // namespace shallotbank::cell
