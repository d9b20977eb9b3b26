#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include <boost/circular_buffer.hpp>

#include "base/clock.h"
#include "cell/election.h"
#include "cell/peer_directory.h"
#include "runtime.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Number of recent round trips to the store that are kept. The shortest of
/// them is taken as the distance of this host from the store.
inline constexpr std::size_t kMaxLatencySamples = 5;

/// Decides when this host releases leadership in favour of a better placed one
/// and how long it waits before it claims leadership.
class LeadershipPolicy {
 public:
  LeadershipPolicy(Runtime& runtime,
                   StoreGateway& store,
                   PeerDirectory& peers,
                   Election& election);

  /// The claim delay until the first update.
  static auto InitialClaimDelay() -> Duration;

  auto RecordStoreLatency(Duration latency) -> void;
  /// The shortest of the latency samples; empty if there are none.
  auto StoreLatency() const -> std::optional<std::chrono::microseconds> {
    return this->store_latency;
  }
  /// Handles the start of this host's work as the leader.
  auto OnLeading(TimePoint now) -> void { this->leading_since = now; }
  /// Updates the handicap of this host in the election. Returns the reason why
  /// this host must release leadership, if there is one.
  auto CheckRelease(TimePoint now) -> std::optional<std::string>;
  /// Updates the claim delay in the election, if that is due.
  auto UpdateClaimDelay(TimePoint now) -> void;

 private:
  auto IsPeerNearerToStore(TimePoint now) const -> bool;
  auto ShouldYieldToLargerPeer(TimePoint now) const -> bool;

  Runtime& runtime;
  StoreGateway& store;
  PeerDirectory& peers;
  Election& election;
  /// The shortest of the latency samples.
  std::optional<std::chrono::microseconds> store_latency;
  boost::circular_buffer<std::chrono::microseconds> latency_samples{
      kMaxLatencySamples};
  TimePoint leading_since;
  TimePoint yielded_to_larger_at;
  TimePoint next_claim_delay_update;
};

}  // namespace shallotbank::cell
