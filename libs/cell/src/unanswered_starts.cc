#include "unanswered_starts.h"

#include <algorithm>
#include <utility>

namespace shallotbank::cell {
namespace {

/// An order without an answer is executed within this time or not at all. The
/// platform names seconds; the longest known delay is 12 s.
constexpr std::chrono::seconds kMaxOrderDelay{15};

}  // namespace

auto UnansweredStarts::Add(const WorkerIncarnation& worker,
                           Run run,
                           TimePoint now) -> void {
  auto& list = this->starts[worker.id];
  const auto known =
      std::find_if(list.begin(), list.end(), [&run](const Start& start) {
        return start.run.task == run.task && start.run.number == run.number;
      });
  if (known != list.end()) {
    known->expires = now + kMaxOrderDelay;
    return;
  }
  list.push_back(
      {std::move(run), worker.born_unix_ms, now + kMaxOrderDelay, {}});
}

auto UnansweredStarts::OnStopped(const WorkerIncarnation& worker,
                                 const Run& run) -> void {
  const auto found = this->starts.find(worker.id);
  if (found == this->starts.end()) {
    return;
  }
  for (auto& start : found->second) {
    if (start.run.task == run.task && start.run.number <= run.number) {
      start.safe_born_unix_ms = worker.born_unix_ms;
    }
  }
}

auto UnansweredStarts::MayRunOn(const WorkerIncarnation& worker) const -> bool {
  if (this->starts.empty()) {
    return false;
  }
  const auto found = this->starts.find(worker.id);
  return found != this->starts.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&worker](const Start& start) {
                       return start.safe_born_unix_ms != worker.born_unix_ms;
                     });
}

auto UnansweredStarts::TakeDueStops(const WorkerIncarnation& worker,
                                    Duration interval,
                                    TimePoint now) -> std::vector<Run> {
  std::vector<Run> due;
  const auto found = this->starts.find(worker.id);
  if (found == this->starts.end()) {
    return due;
  }
  for (auto& start : found->second) {
    const bool is_due =
        start.stop_due_at == TimePoint() || now - start.stop_due_at >= interval;
    if (start.safe_born_unix_ms != worker.born_unix_ms && is_due) {
      start.stop_due_at = now;
      due.push_back(start.run);
    }
  }
  return due;
}

auto UnansweredStarts::Workers() const -> std::vector<WorkerId> {
  std::vector<WorkerId> workers;
  for (const auto& [worker, list] : this->starts) {
    workers.push_back(worker);
  }
  return workers;
}

auto UnansweredStarts::Prune(TimePoint now) -> void {
  for (auto entry = this->starts.begin(); entry != this->starts.end();) {
    auto& list = entry->second;
    std::erase_if(list,
                  [now](const Start& start) { return now >= start.expires; });
    entry = list.empty() ? this->starts.erase(entry) : std::next(entry);
  }
}

}  // namespace shallotbank::cell
