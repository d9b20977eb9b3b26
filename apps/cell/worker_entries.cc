#include "worker_entries.h"

#include <optional>
#include <set>
#include <utility>

namespace shallotbank::cell {

WorkerEntries::WorkerEntries(Metrics& metrics,
                             OrderCarrier& carrier,
                             Handlers handlers)
    : metrics(metrics), carrier(carrier), handlers(std::move(handlers)) {}

auto WorkerEntries::Remove(const std::string& id) -> bool {
  this->carrier.RemoveWorker(id);
  if (this->workers.erase(id) == 0) {
    return false;
  }
  this->handlers.on_gone(id);
  return true;
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
    if (this->Remove(record.key)) {
      this->changed_offsets[record.key] = record.offset;
    }
    return;
  }
  this->carrier.SetWorker(record.key, report->address);
  this->handlers.on_worker(*report);
  auto& known = this->workers[record.key];
  if (known != *report) {
    this->changed_offsets[record.key] = record.offset;
  }
  known = std::move(*report);
}

auto WorkerEntries::MakeDigest(const adapter::KeyedRecord& record) const
    -> std::optional<DigestRecord> {
  const auto changed = this->changed_offsets.find(record.key);
  if (changed == this->changed_offsets.end() ||
      changed->second != record.offset) {
    return std::nullopt;
  }
  return DigestRecord{record.offset, record.key, record.value};
}

}  // namespace shallotbank::cell
