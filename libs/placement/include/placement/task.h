#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::placement {

/// Determines the placement strategy: services are spread, batch tasks and
/// gangs are packed.
enum class TaskClass : std::uint8_t { kService, kBatch, kGang };

/// A request to place a single task.
struct TaskRequest {
  TaskId task{};
  JobId job{};
  Resources need{};
  TaskClass task_class = TaskClass::kBatch;
  /// The task may be preempted by urgent work.
  bool is_preemptible = false;
  /// Urgent work may also use workers that are reserved for a gang.
  bool is_urgent = false;
  /// Workers that must not be selected, such as those on which the task has
  /// failed.
  std::vector<WorkerId> excluded{};
};

struct GangTask {
  TaskId task{};
  Resources need{};
};

/// A request to place a gang: either all of its tasks are placed or none.
/// Several tasks may share a worker.
struct GangRequest {
  JobId job{};
  std::vector<GangTask> tasks{};
  /// The time since which the gang has been waiting, which determines when it
  /// may reserve workers.
  TimePoint waiting_since{};
};

/// The worker selected for one task of a gang.
struct Placement {
  TaskId task{};
  WorkerId worker{};
};

/// A task that is known to run on a worker, for example from the worker's
/// response to an attach command.
struct RunningTask {
  TaskId task{};
  JobId job{};
  Resources declared{};
  TaskClass task_class = TaskClass::kBatch;
  bool is_preemptible = false;
  TimePoint started{};
};

}  // namespace shallotbank::placement
