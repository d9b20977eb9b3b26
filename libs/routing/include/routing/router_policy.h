#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace shallotbank::routing {

/// Limits and thresholds of a router.
struct RouterPolicy {
  /// No request has a longer deadline, and no minion works on a request for
  /// longer. The slot of an unknown outcome is counted for this long.
  Duration longest_deadline = std::chrono::seconds(30);
  std::size_t queue_limit = 1000;  ///< Waiting requests of one service.
  bool admission = true;  ///< Refuse at once what cannot meet its deadline.
  /// The own failure domain is preferred up to this utilisation.
  double domain_overload = 0.8;
  /// What a hop to a peer adds to the time of a request.
  Duration peer_hop = std::chrono::milliseconds(4);
  /// Room that a peer reported is used for this long.
  Duration peer_room_age = std::chrono::seconds(1);

  int max_attempts = 3;
  double retry_fraction = 0.1;  ///< Retries per first dispatch in the window.
  /// Retries allowed in a window whatever the traffic: a service with fewer
  /// than ten requests a window could otherwise never retry.
  int retry_floor = 3;
  Duration retry_window = std::chrono::seconds(10);

  double ejected_fraction = 0.3;  ///< Of the live minions of a service.
  Duration ejection_interval = std::chrono::milliseconds(250);
  int ejection_samples = 8;  ///< Outcomes needed to judge a minion.
  double slow_ratio = 3.0;   ///< Latency against the median of its peers.
  /// Differences below this are noise at any ratio.
  Duration slow_margin = std::chrono::milliseconds(5);
  /// Fraction of failures above the median of its peers.
  double failure_margin = 0.3;
  Duration first_probe = std::chrono::seconds(1);  ///< Doubles with each fault.
  Duration longest_probe = std::chrono::seconds(60);
  int probes_to_restore = 3;
  /// Probes take requests that are idempotent and not urgent; after this long,
  /// any request, because a service may have no such requests.
  Duration probe_patience = std::chrono::seconds(5);

  std::uint64_t seed = 1;  ///< For the choice between minions.
};

}  // namespace shallotbank::routing
