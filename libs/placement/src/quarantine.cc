#include "placement/quarantine.h"

#include <algorithm>

namespace shallotbank::placement {
namespace {

// Upper bound of the failed jobs recorded per worker. Further failures would
// change nothing, since one success clears all of them.
constexpr std::size_t kMaxFailedJobs = 16;

template <typename T>
auto AddDistinct(std::vector<T>& items, const T& item) -> void {
  if (std::find(items.begin(), items.end(), item) == items.end()) {
    items.push_back(item);
  }
}

}  // namespace

auto Quarantine::RecordFailure(const WorkerId& worker,
                               const JobId& job,
                               const TaskId& task,
                               TimePoint now) -> QuarantineChange {
  QuarantineChange change;
  if (!this->IsQuarantined(worker)) {
    auto& history = this->jobs[job];
    auto& failures = history.failures[task];
    AddDistinct(failures, worker);
    if (!history.faulty && failures.size() >= kFailuresToFaultJob) {
      this->MarkJobFaulty(job, history, change);
    }
  }
  this->CountWorkerFailure(worker, job, now, change);
  return change;
}

auto Quarantine::MarkJobFaulty(const JobId& job,
                               JobHistory& history,
                               QuarantineChange& change) -> void {
  history.faulty = true;
  change.job_faulty = true;
  for (auto entry = this->workers.begin(); entry != this->workers.end();) {
    auto& [id, worker] = *entry;
    const auto removed = std::erase(worker.failed_jobs, job);
    if (removed > 0 && worker.quarantined &&
        worker.failed_jobs.size() < kFailuresToQuarantine) {
      worker.quarantined = false;
      this->quarantined.erase(id);
      change.cleared.push_back(id);
    }
    entry = worker.failed_jobs.empty() ? this->workers.erase(entry)
                                       : std::next(entry);
  }
}

auto Quarantine::CountWorkerFailure(const WorkerId& worker,
                                    const JobId& job,
                                    TimePoint now,
                                    QuarantineChange& change) -> void {
  if (this->IsFaulty(job)) {
    return;
  }
  auto& history = this->workers[worker];
  if (history.failed_jobs.size() < kMaxFailedJobs) {
    AddDistinct(history.failed_jobs, job);
  }
  if (history.quarantined) {
    if (history.probing) {
      history.probing = false;
      history.interval =
          std::min<Duration>(2 * history.interval, kMaxProbeInterval);
      history.next_probe = now + history.interval;
    }
    return;
  }
  if (history.failed_jobs.size() >= kFailuresToQuarantine) {
    history.quarantined = true;
    history.probing = false;
    history.interval = kInitialProbeInterval;
    history.next_probe = now + history.interval;
    this->quarantined.insert(worker);
    change.quarantined.push_back(worker);
  }
}

auto Quarantine::RecordSuccess(const WorkerId& worker,
                               const JobId& job,
                               const TaskId& task) -> QuarantineChange {
  QuarantineChange change;
  if (this->quarantined.erase(worker) > 0) {
    change.cleared.push_back(worker);
  }
  this->workers.erase(worker);
  const auto history = this->jobs.find(job);
  if (history != this->jobs.end() && !history->second.faulty) {
    history->second.failures.erase(task);
    if (history->second.failures.empty()) {
      this->jobs.erase(history);
    }
  }
  return change;
}

auto Quarantine::IsQuarantined(const WorkerId& worker) const -> bool {
  return this->quarantined.contains(worker);
}

auto Quarantine::IsFaulty(const JobId& job) const -> bool {
  const auto history = this->jobs.find(job);
  return history != this->jobs.end() && history->second.faulty;
}

auto Quarantine::TakeWorkerToProbe(TimePoint now) -> std::optional<WorkerId> {
  for (const auto& id : this->quarantined) {
    auto& history = this->workers.at(id);
    if (history.next_probe <= now) {
      history.probing = true;
      history.next_probe = now + history.interval;
      return id;
    }
  }
  return std::nullopt;
}

auto Quarantine::NextProbeAt() const -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  for (const auto& id : this->quarantined) {
    const auto at = this->workers.at(id).next_probe;
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

auto Quarantine::ForgetWorker(const WorkerId& worker) -> void {
  this->quarantined.erase(worker);
  this->workers.erase(worker);
}

auto Quarantine::ForgetJob(const JobId& job) -> void {
  this->jobs.erase(job);
}

}  // namespace shallotbank::placement
