#include "peer_rooms.h"

#include <algorithm>
#include <utility>

namespace shallotbank::routing {

auto PeerRooms::Update(const PeerRoom& room, TimePoint now) -> void {
  auto& peer = this->peers[room.peer];
  peer = Peer{.domain = room.domain, .updated = now};
  for (const auto& service : room.services) {
    peer.services[service.service] = service;
  }
}

auto PeerRooms::Remove(const ProcessId& peer) -> void {
  this->peers.erase(peer);
}

auto PeerRooms::Knows(const ServiceName& service) const -> bool {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [&](const auto& entry) {
                       return entry.second.services.contains(service);
                     });
}

auto PeerRooms::TakeSlot(const ServiceName& service,
                         const FailureDomain& domain,
                         TimePoint now) -> std::optional<ProcessId> {
  return this->Take(service, domain, &ServiceRoom::free_slots, now);
}

auto PeerRooms::TakeQueuePlace(const ServiceName& service,
                               const FailureDomain& domain,
                               TimePoint now) -> std::optional<ProcessId> {
  return this->Take(service, domain, &ServiceRoom::queue_room, now);
}

auto PeerRooms::SetFull(const ProcessId& peer, const ServiceName& service)
    -> void {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end()) {
    found->second.services.erase(service);
  }
}

auto PeerRooms::Take(const ServiceName& service,
                     const FailureDomain& domain,
                     int ServiceRoom::*kind,
                     TimePoint now) -> std::optional<ProcessId> {
  const ProcessId* best = nullptr;
  ServiceRoom* best_room = nullptr;
  std::pair<bool, int> best_rank;
  for (auto& [id, peer] : this->peers) {
    const auto room = peer.services.find(service);
    if (room == peer.services.end() || room->second.*kind <= 0 ||
        now - peer.updated > this->policy.peer_room_age) {
      continue;
    }
    const std::pair rank(peer.domain == domain, room->second.*kind);
    if (best == nullptr || best_rank < rank) {
      best = &id;
      best_room = &room->second;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  (best_room->*kind)--;
  return *best;
}

}  // namespace shallotbank::routing
