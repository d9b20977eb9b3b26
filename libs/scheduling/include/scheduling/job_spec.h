#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"
#include "placement/task.h"

namespace shallotbank::scheduling {

/// The description of an accepted job for the shard scheduler.
struct JobSpec {
  JobId id;
  TeamId team;
  ProfileName profile;
  placement::TaskClass task_class = placement::TaskClass::kBatch;
  Resources need;  ///< Of a single task.
  int tasks = 1;
  bool is_urgent = false;
  /// A task never runs in two places: it is started again only after it has
  /// certainly ended elsewhere.
  bool is_single_run = false;
  bool is_preemptible = false;  ///< By urgent work.
  int attempts = 1;             ///< Failed runs after which a task has failed.
  Duration lease = std::chrono::minutes(2);
  Duration run_time = std::chrono::seconds(1);  ///< Expected.
  TimePoint submitted;
  std::optional<TimePoint> start_by;
  Offset accepted_at = 0;  ///< Log offset of the record of acceptance.
};

/// The parts of an attempt's name. Tasks are named `JOB/INDEX` and their
/// attempts `JOB/INDEX#EPOCH-N`.
struct AttemptName {
  JobId job;
  int index = 0;
};

auto MakeAttemptId(const JobId& job, int index, Epoch epoch, std::uint64_t n)
    -> TaskId;
/// Returns nothing if `id` is not the name of an attempt.
auto ParseAttemptId(const TaskId& id) -> std::optional<AttemptName>;

}  // namespace shallotbank::scheduling
