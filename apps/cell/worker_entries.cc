#include "worker_entries.h"

#include <optional>
#include <set>
#include <utility>

namespace shallotbank::cell {

WorkerEntries::WorkerEntries(Metrics& metrics,
                             OrderCarrier& carrier,
                             Handlers handlers)
    : metrics(metrics), carrier(carrier), handlers(std::move(handlers)) {}

auto WorkerEntries::Remove(const std::string& id) -> void {
  this->carrier.RemoveWorker(id);
  if (this->workers.erase(id) > 0) {
    this->handlers.on_gone(id);
  }
}

auto WorkerEntries::OnSnapshot(const std::vector<adapter::KeyedRecord>& records)
    -> void {
  std::set<std::string> listed_ids;
  for (const auto& record : records) {
    listed_ids.insert(record.key);
    this->OnRecord(record);
  }
  std::vector<std::string> removed_ids;
  for (const auto& [id, worker] : this->workers) {
    if (!listed_ids.contains(id)) {
      removed_ids.push_back(id);
    }
  }
  for (const auto& id : removed_ids) {
    this->Remove(id);
  }
}

auto WorkerEntries::OnRecord(const adapter::KeyedRecord& record) -> void {
  auto& latest_offset = this->latest_offsets[record.key];
  if (record.offset < latest_offset) {
    return;  // A stale entry that was read after a newer one.
  }
  latest_offset = record.offset;
  auto report = record.value ? adapter::ParseWorker(record.key, *record.value)
                             : std::nullopt;
  if (!report) {
    if (record.value) {
      this->metrics.Add("worker_entries_ignored_total");
    }
    this->Remove(record.key);
    return;
  }
  this->carrier.SetWorker(record.key, report->address);
  this->handlers.on_worker(*report);
  this->workers[record.key] = std::move(*report);
}

}  // namespace shallotbank::cell
