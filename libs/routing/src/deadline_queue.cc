#include "deadline_queue.h"

#include <algorithm>
#include <iterator>

namespace shallotbank::routing {

auto DeadlineQueue::ToEntry(RequestRecord* request) -> Entry {
  return Entry{.not_urgent = !request->request.urgent,
               .deadline = request->request.deadline,
               .sequence = request->sequence,
               .request = request};
}

auto DeadlineQueue::Insert(RequestRecord* request) -> void {
  const auto entry = ToEntry(request);
  this->by_deadline.insert(entry);
  this->teams[request->request.team].waiting.insert(entry);
}

auto DeadlineQueue::Erase(RequestRecord* request) -> void {
  const auto entry = ToEntry(request);
  this->by_deadline.erase(entry);
  const auto team = this->teams.find(request->request.team);
  team->second.waiting.erase(entry);
  if (team->second.waiting.empty() && team->second.running == 0) {
    this->teams.erase(team);
  }
}

auto DeadlineQueue::CountAhead(const Request& request) const -> std::size_t {
  const Entry entry{.not_urgent = !request.urgent,
                    .deadline = request.deadline};
  return this->by_deadline.upper_bound_rank(entry);
}

auto DeadlineQueue::AdjustRunning(const TeamId& team, int change) -> void {
  const auto entry = this->teams.try_emplace(team).first;
  entry->second.running += change;
  if (entry->second.waiting.empty() && entry->second.running == 0) {
    this->teams.erase(entry);
  }
}

auto DeadlineQueue::TeamShare(int capacity) const -> int {
  const int active = std::max<int>(1, static_cast<int>(this->teams.size()));
  return (capacity + active - 1) / active;
}

auto DeadlineQueue::WaitingCount(const TeamId& team) const -> std::size_t {
  const auto found = this->teams.find(team);
  return found == this->teams.end() ? 0 : found->second.waiting.size();
}

auto DeadlineQueue::FindEvictionCandidate(const TeamId& team) const
    -> RequestRecord* {
  const Team* largest = nullptr;
  for (const auto& [id, candidate] : this->teams) {
    if (largest == nullptr ||
        candidate.waiting.size() > largest->waiting.size()) {
      largest = &candidate;
    }
  }
  if (largest == nullptr ||
      largest->waiting.size() < this->WaitingCount(team) + 2) {
    return nullptr;
  }
  const auto evicted = std::find_if(
      largest->waiting.rbegin(), largest->waiting.rend(),
      [](const Entry& entry) {
        return entry.request->attempts == 0 && !entry.request->overflowed;
      });
  return evicted == largest->waiting.rend() ? nullptr : evicted->request;
}

auto DeadlineQueue::HasMostWaiting(const TeamId& team) const -> bool {
  const auto own = this->WaitingCount(team);
  return std::none_of(
      this->teams.begin(), this->teams.end(),
      [&](const auto& entry) { return entry.second.waiting.size() > own; });
}

}  // namespace shallotbank::routing
