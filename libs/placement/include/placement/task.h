#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::placement {

/// Decides how a task is placed: services are spread, the others are packed.
enum class TaskClass : std::uint8_t { kService, kBatch, kGang };

/// One task that is to be placed on its own.
struct TaskRequest {
  TaskId task{};
  JobId job{};
  Resources need{};
  TaskClass task_class = TaskClass::kBatch;
  /// The task may be stopped in favour of urgent work.
  bool may_stop = false;
  /// Urgent work may also use workers that are held for a reservation.
  bool urgent = false;
  /// Workers that must not be chosen, such as those where the task failed.
  std::vector<WorkerId> excluded{};
};

struct GangTask {
  TaskId task{};
  Resources need{};
};

/// Tasks that are placed all or none. They may share workers.
struct GangRequest {
  JobId job{};
  std::vector<GangTask> tasks{};
  /// Since when the gang has been waiting; decides about a reservation.
  TimePoint waiting_since{};
};

/// Where one task of a gang goes.
struct Placement {
  TaskId task{};
  WorkerId worker{};
};

/// A task that is known to run on a worker, for example from an attach.
struct RunningTask {
  TaskId task{};
  JobId job{};
  Resources declared{};
  TaskClass task_class = TaskClass::kBatch;
  bool may_stop = false;
  TimePoint started{};
};

}  // namespace shallotbank::placement
