#include "free_cores_index.h"

namespace shallotbank::cell {

auto FreeCoresIndex::Entry::operator<(const Entry& other) const -> bool {
  return this->free_cores_milli != other.free_cores_milli
             ? this->free_cores_milli > other.free_cores_milli
             : this->worker->report.id < other.worker->report.id;
}

auto FreeCoresIndex::Update(LiveWorker& worker) -> void {
  const auto free_cores_milli = worker.FreeResources().cores_milli;
  const auto [position, is_new] = this->positions.try_emplace(&worker);
  auto& [service, indexed_cores_milli] = position->second;
  if (!is_new && service == worker.report.service &&
      indexed_cores_milli == free_cores_milli) {
    return;
  }
  if (!is_new) {
    this->services[service].erase({indexed_cores_milli, &worker});
  }
  service = worker.report.service;
  indexed_cores_milli = free_cores_milli;
  this->services[service].insert({free_cores_milli, &worker});
}

auto FreeCoresIndex::Remove(const LiveWorker& worker) -> void {
  const auto position = this->positions.find(&worker);
  if (position == this->positions.end()) {
    return;
  }
  const auto& [service, free_cores_milli] = position->second;
  auto& entries = this->services[service];
  std::erase_if(entries, [&worker](const Entry& entry) {
    return entry.worker == &worker;
  });
  this->positions.erase(position);
}

auto FreeCoresIndex::WorkersOf(const ServiceName& service) const
    -> const std::set<Entry>& {
  static const std::set<Entry> kNone;
  const auto found = this->services.find(service);
  return found == this->services.end() ? kNone : found->second;
}

}  // namespace shallotbank::cell
