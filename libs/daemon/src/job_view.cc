#include "daemon/job_view.h"

namespace shallotbank::daemon {
namespace {

auto StateOf(const journal::Job& job) -> const char* {
  switch (job.state) {
    case journal::JobState::kAccepted:
      return "accepted";
    case journal::JobState::kCancelRequested:
      return "cancelling";
    case journal::JobState::kFinished:
      break;
  }
  switch (job.outcome) {
    case journal::WorkOutcome::kSucceeded:
      return "succeeded";
    case journal::WorkOutcome::kFailed:
      return "failed";
    case journal::WorkOutcome::kCancelled:
      return "cancelled";
  }
  return "accepted";
}

}  // namespace

auto DescribeJob(const journal::Job& job) -> nlohmann::json {
  const bool is_cancelled = job.state == journal::JobState::kFinished &&
                            job.outcome == journal::WorkOutcome::kCancelled;
  // The log has no completion record for the tasks that a cancellation
  // prevented from completing, so they are counted here.
  const auto cancelled =
      is_cancelled ? job.spec.tasks - job.succeeded - job.failed : 0;
  nlohmann::json result{{"job", job.spec.id.Text()},
                        {"team", job.spec.team.Text()},
                        {"profile", job.spec.profile.Text()},
                        {"state", StateOf(job)},
                        {"tasks",
                         {{"total", job.spec.tasks},
                          {"succeeded", job.succeeded},
                          {"failed", job.failed},
                          {"cancelled", cancelled}}}};
  if (!job.reason.empty()) {
    result["reason"] = job.reason;
  }
  return result;
}

auto IsFinished(const journal::Job& job) -> bool {
  return job.state == journal::JobState::kFinished;
}

}  // namespace shallotbank::daemon
