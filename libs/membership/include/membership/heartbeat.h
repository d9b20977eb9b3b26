#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::membership {

/// The identity and location of a process.
struct PeerInfo {
  ProcessId id{};
  /// Increases with each start of the process.
  std::uint64_t incarnation = 0;
  std::string host{};
  std::vector<std::string> addresses{};
  FailureDomain domain{};
};

/// The epoch at which a process claims to own a resource.
struct ClaimedEpoch {
  ResourceId resource{};
  Epoch epoch = 0;
};

/// When the sender of a heartbeat, or a process that reported to it, last heard
/// from another process.
struct PeerObservation {
  ProcessId peer{};
  std::uint64_t incarnation = 0;
  Duration age{};
  bool suspected = false;  ///< It has not answered heartbeats since.
};

/// The content of a heartbeat or of the answer to one.
struct Heartbeat {
  PeerInfo from{};
  Offset head = 0;     ///< First log offset that the process has not read.
  Duration log_age{};  ///< Since it sent its last successful log read.
  std::vector<ClaimedEpoch> epochs{};
  std::vector<PeerObservation> observations{};
};

}  // namespace shallotbank::membership
