#include "queueing/queued_job.h"

#include "bounds.h"

namespace shallotbank::queueing {
namespace {

namespace leaf = boost::leaf;

auto Refuse(std::string field, std::string message) -> leaf::error_id {
  return leaf::new_error(JobError{std::move(field), std::move(message)});
}

}  // namespace

auto Validate(const QueuedJob& job) -> leaf::result<void> {
  if (job.id.IsEmpty()) {
    return Refuse("id", "must not be empty");
  }
  if (job.team.IsEmpty()) {
    return Refuse("team", "must not be empty");
  }
  constexpr Resources kMaxPerTask{kMaxNeed, kMaxNeed, kMaxNeed};
  if (!job.need.IsNonNegative() || !job.need.FitsIn(kMaxPerTask)) {
    return Refuse("need", "each amount must be between 0 and 1000000000");
  }
  if (job.need == Resources{}) {
    return Refuse("need", "at least one amount must be above 0");
  }
  if (job.tasks < 1 || job.tasks > kMaxTasks) {
    return Refuse("tasks", "must be between 1 and 100000");
  }
  return {};
}

}  // namespace shallotbank::queueing
