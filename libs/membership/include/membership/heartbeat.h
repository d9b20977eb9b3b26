#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::membership {

/// Where a process runs.
struct PeerInfo {
  ProcessId id{};
  /// Larger for each later start of the process.
  std::uint64_t incarnation = 0;
  std::string host{};
  std::vector<std::string> addresses{};
  FailureDomain domain{};
};

/// An epoch that a process claims to own a resource at.
struct ClaimedEpoch {
  ResourceId resource{};
  Epoch epoch = 0;
};

/// When the sender of a heartbeat, or one that told it, last heard from another
/// process.
struct Hearing {
  ProcessId peer{};
  std::uint64_t incarnation = 0;
  Duration age{};
  bool suspected = false;  ///< It has left heartbeats unanswered since.
};

/// What a process tells a peer, in a heartbeat or in the answer to one.
struct Heartbeat {
  PeerInfo from{};
  Offset head = 0;     ///< Next log offset that the process has not read.
  Duration log_age{};  ///< Since the sending of its last good log read.
  std::vector<ClaimedEpoch> epochs{};
  std::vector<Hearing> hearings{};
};

}  // namespace shallotbank::membership
