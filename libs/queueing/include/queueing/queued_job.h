#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::queueing {

/// A job as it was accepted.
struct QueuedJob {
  JobId id;
  TeamId team;
  ProfileName profile;
  Resources need;  ///< Of one task.
  std::int64_t tasks = 1;
  bool is_gang = false;  ///< All tasks start together or none does.
  bool is_urgent = false;
  bool is_single_run = false;
  TimePoint submitted;
  /// The job expires if none of its tasks was started by then.
  std::optional<TimePoint> start_by;
  /// Jobs with equal needs but different placement rules (spread, pack, ...)
  /// have different classes; one that has no room says nothing of the other.
  std::uint32_t placement_class = 0;
};

/// A job that was refused; nothing was changed.
struct JobError {
  std::string field;
  std::string message;
};

/// Checks the fields of a job. Errors: `JobError`.
auto Validate(const QueuedJob& job) -> boost::leaf::result<void>;

}  // namespace shallotbank::queueing
