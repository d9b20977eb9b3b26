#pragma once

#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/peer_room.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

/// What the peers can take. An estimate between two messages of a peer: each
/// request sent there is taken off.
class PeerRooms {
 public:
  explicit PeerRooms(const RouterPolicy& policy) : policy(policy) {}

  auto Update(const PeerRoom& room, TimePoint now) -> void;
  auto Remove(const ProcessId& peer) -> void;

  /// True if a peer has said that it serves `service`.
  auto Knows(const ServiceName& service) const -> bool;

  /// Takes a free slot of a peer, of one in `domain` if there is any, and else
  /// of the peer with the most.
  auto TakeSlot(const ServiceName& service,
                const FailureDomain& domain,
                TimePoint now) -> std::optional<ProcessId>;
  /// Takes a place in the queue of a peer.
  auto TakeQueuePlace(const ServiceName& service,
                      const FailureDomain& domain,
                      TimePoint now) -> std::optional<ProcessId>;
  /// The peer refused a request: it has no room until its next message.
  auto SetFull(const ProcessId& peer, const ServiceName& service) -> void;

 private:
  struct Peer {
    FailureDomain domain{};
    std::unordered_map<ServiceName, ServiceRoom> services{};
    TimePoint updated{};
  };

  auto Take(const ServiceName& service,
            const FailureDomain& domain,
            int ServiceRoom::*kind,
            TimePoint now) -> std::optional<ProcessId>;

  const RouterPolicy& policy;
  std::unordered_map<ProcessId, Peer> peers{};
};

}  // namespace shallotbank::routing
