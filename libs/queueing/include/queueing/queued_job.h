#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::queueing {

/// The specification of a job as it was accepted.
struct QueuedJob {
  JobId id;
  TeamId team;
  ProfileName profile;
  Resources need;  ///< Per task.
  std::int64_t tasks = 1;
  bool is_gang = false;  ///< All tasks start together or none does.
  bool is_urgent = false;
  bool is_single_run = false;
  TimePoint submitted;
  /// The job expires if none of its tasks has been started by then.
  std::optional<TimePoint> start_by;
  /// Jobs with equal needs but different placement rules (spread, pack, ...)
  /// have different classes; a lack of capacity for one class implies nothing
  /// about another.
  std::uint32_t placement_class = 0;
};

/// Describes a rejected job; the queue is left unchanged.
struct JobError {
  std::string field;
  std::string message;
};

/// Validates the fields of a job. Errors: `JobError`.
auto Validate(const QueuedJob& job) -> boost::leaf::result<void>;

}  // namespace shallotbank::queueing
