#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/clock.h"
#include "cell/election.h"
#include "cell/peer_directory.h"
#include "cell/store_distance.h"
#include "runtime.h"
#include "store_gateway.h"

namespace shallotbank::cell {

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

  auto RecordStoreLatency(Duration latency) -> void {
    this->distance.Record(latency);
  }
  /// The shortest round trip to the store; empty if none is known.
  auto StoreLatency() const -> std::optional<std::chrono::microseconds> {
    return this->distance.Shortest();
  }
  /// Handles the start of this host's work as the leader.
  auto OnLeading(TimePoint now) -> void { this->leading_since = now; }
  /// Updates the handicap of this host in the election. Returns the reason why
  /// this host must release leadership, if there is one.
  auto CheckRelease(TimePoint now) -> std::optional<std::string>;
  /// Whether a much larger host is there, which would lead in place of this
  /// one.
  auto HasLargerPeer() const -> bool { return this->has_larger_peer; }
  /// Updates the claim delay in the election, if that is due. An observer waits
  /// for standbys, which need not read the topics first.
  auto UpdateClaimDelay(bool is_standby, TimePoint now) -> void;

 private:
  auto IsPeerNearerToStore(TimePoint now) const -> bool;
  auto ShouldYieldToLargerPeer(TimePoint now) const -> bool;

  Runtime& runtime;
  StoreGateway& store;
  PeerDirectory& peers;
  Election& election;
  StoreDistance distance;
  bool has_larger_peer = false;  ///< As of the last update of the claim delay.
  TimePoint leading_since;
  TimePoint yielded_to_larger_at;
  TimePoint next_claim_delay_update;
};

}  // namespace shallotbank::cell
