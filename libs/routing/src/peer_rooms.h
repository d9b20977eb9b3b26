#pragma once

#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/peer_room.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

/// Free capacity of the peers. Between two messages of a peer this is an
/// estimate, reduced by one with each request forwarded to it.
class PeerCapacityTable {
 public:
  explicit PeerCapacityTable(const RouterPolicy& policy) : policy(policy) {}

  auto Update(const PeerCapacity& capacity, TimePoint now) -> void;
  auto Remove(const ProcessId& peer) -> void;

  /// True if a peer has reported that it serves `service`.
  auto HasService(const ServiceName& service) const -> bool;

  /// Acquires a free slot of a peer. Prefers peers in `domain`, then the peer
  /// with the most free slots.
  auto AcquireSlot(const ServiceName& service,
                   const FailureDomain& domain,
                   TimePoint now) -> std::optional<ProcessId>;
  /// Acquires a position in the queue of a peer, chosen in the same way.
  auto AcquireQueuePosition(const ServiceName& service,
                            const FailureDomain& domain,
                            TimePoint now) -> std::optional<ProcessId>;
  /// The peer refused a request: it counts as full until its next message.
  auto MarkFull(const ProcessId& peer, const ServiceName& service) -> void;

 private:
  struct Peer {
    FailureDomain domain{};
    std::unordered_map<ServiceName, ServiceCapacity> services{};
    TimePoint updated{};
  };

  auto Acquire(const ServiceName& service,
               const FailureDomain& domain,
               int ServiceCapacity::*capacity_field,
               TimePoint now) -> std::optional<ProcessId>;

  const RouterPolicy& policy;
  std::unordered_map<ProcessId, Peer> peers{};
};

}  // namespace shallotbank::routing
