#pragma once

#include <vector>

#include "base/ids.h"

namespace shallotbank::routing {

/// How much of one service a process can take from its peers.
struct ServiceRoom {
  ServiceName service{};
  int free_slots = 0;  ///< Free now, less the requests that wait.
  int queue_room = 0;  ///< Requests that could wait; 0 without usable minions.

  auto operator==(const ServiceRoom&) const -> bool = default;
};

/// The room of one peer, as its latest message says.
struct PeerRoom {
  ProcessId peer{};
  FailureDomain domain{};
  std::vector<ServiceRoom> services{};
};

}  // namespace shallotbank::routing
