#include "peer_rooms.h"

#include <algorithm>
#include <utility>

namespace shallotbank::routing {

auto PeerCapacityTable::Update(const PeerCapacity& capacity, TimePoint now)
    -> void {
  auto& peer = this->peers[capacity.peer];
  peer = Peer{.domain = capacity.domain, .updated = now};
  for (const auto& service : capacity.services) {
    peer.services[service.service] = service;
  }
}

auto PeerCapacityTable::Remove(const ProcessId& peer) -> void {
  this->peers.erase(peer);
}

auto PeerCapacityTable::HasService(const ServiceName& service) const -> bool {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [&](const auto& entry) {
                       return entry.second.services.contains(service);
                     });
}

auto PeerCapacityTable::AcquireSlot(const ServiceName& service,
                                    const FailureDomain& domain,
                                    TimePoint now) -> std::optional<ProcessId> {
  return this->Acquire(service, domain, &ServiceCapacity::free_slots, now);
}

auto PeerCapacityTable::AcquireQueuePosition(const ServiceName& service,
                                             const FailureDomain& domain,
                                             TimePoint now)
    -> std::optional<ProcessId> {
  return this->Acquire(service, domain, &ServiceCapacity::free_queue_positions,
                       now);
}

auto PeerCapacityTable::MarkFull(const ProcessId& peer,
                                 const ServiceName& service) -> void {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end()) {
    found->second.services.erase(service);
  }
}

auto PeerCapacityTable::Acquire(const ServiceName& service,
                                const FailureDomain& domain,
                                int ServiceCapacity::*capacity_field,
                                TimePoint now) -> std::optional<ProcessId> {
  const ProcessId* best = nullptr;
  ServiceCapacity* best_capacity = nullptr;
  std::pair<bool, int> best_rank;
  for (auto& [id, peer] : this->peers) {
    const auto capacity = peer.services.find(service);
    if (capacity == peer.services.end() ||
        capacity->second.*capacity_field <= 0 ||
        now - peer.updated > this->policy.max_peer_capacity_age) {
      continue;
    }
    const std::pair rank(peer.domain == domain,
                         capacity->second.*capacity_field);
    if (best == nullptr || best_rank < rank) {
      best = &id;
      best_capacity = &capacity->second;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  (best_capacity->*capacity_field)--;
  return *best;
}

}  // namespace shallotbank::routing
