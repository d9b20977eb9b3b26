#pragma once

#include <vector>

#include "base/ids.h"

namespace shallotbank::routing {

/// Capacity of one service that a process can offer to its peers.
struct ServiceCapacity {
  ServiceName service{};
  int free_slots = 0;  ///< Currently free slots minus queued requests.
  int free_queue_positions = 0;  ///< 0 without usable minions.

  auto operator==(const ServiceCapacity&) const -> bool = default;
};

/// Free capacity of one peer, from its latest message.
struct PeerCapacity {
  ProcessId peer{};
  FailureDomain domain{};
  std::vector<ServiceCapacity> services{};
};

}  // namespace shallotbank::routing
