#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"
#include "placement/task.h"

namespace shallotbank::scheduling {

/// An accepted job as a shard scheduler needs it.
struct JobSpec {
  JobId id;
  TeamId team;
  ProfileName profile;
  placement::TaskClass task_class = placement::TaskClass::kBatch;
  Resources need;  ///< Of one task.
  int tasks = 1;
  bool is_urgent = false;
  /// A task never runs in two places: it is started again only after it has
  /// certainly ended elsewhere.
  bool is_single_run = false;
  bool may_stop = false;  ///< In favour of urgent work.
  int attempts = 1;       ///< Runs of one task before it counts as failed.
  Duration lease = std::chrono::minutes(2);
  Duration run_time = std::chrono::seconds(1);  ///< Expected.
  TimePoint submitted;
  std::optional<TimePoint> start_by;
  Offset accepted_at = 0;  ///< Offset of its record in the log.
};

/// Names of tasks and of their attempts: `JOB/INDEX` and `JOB/INDEX#EPOCH-N`.
struct AttemptName {
  JobId job;
  int index = 0;
};

auto MakeAttemptId(const JobId& job, int index, Epoch epoch, std::uint64_t n)
    -> TaskId;
/// Nothing if `id` is not the name of an attempt.
auto ParseAttemptId(const TaskId& id) -> std::optional<AttemptName>;

}  // namespace shallotbank::scheduling
