#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace shallotbank::routing {

/// Limits and thresholds of a `MinionRouter`.
struct RouterPolicy {
  /// Upper bound of a request's deadline and of the time that a minion works on
  /// a request. The slot of an attempt with an unknown outcome is held for this
  /// long.
  Duration max_deadline = std::chrono::seconds(30);
  std::size_t queue_limit = 1000;  ///< Queued requests of one service.
  /// Refuse requests that would miss their deadline.
  bool admission_control = true;
  /// The local failure domain is preferred up to this utilisation.
  double local_domain_max_utilisation = 0.8;
  /// Latency that forwarding to a peer adds to a request.
  Duration peer_hop_latency = std::chrono::milliseconds(4);
  /// Free capacity that a peer reported is ignored after this time.
  Duration max_peer_capacity_age = std::chrono::seconds(1);

  int max_attempts = 3;
  /// Retries per first dispatch in `retry_window`.
  double retry_fraction = 0.1;
  /// Retries allowed per window regardless of traffic. Without this minimum, a
  /// service with fewer than ten requests per window could never retry.
  int min_retries_per_window = 3;
  Duration retry_window = std::chrono::seconds(10);

  double max_ejected_fraction = 0.3;  ///< Of a service's live minions.
  Duration ejection_interval = std::chrono::milliseconds(250);
  int min_ejection_samples = 8;     ///< Outcomes needed before comparison.
  double slow_latency_ratio = 3.0;  ///< Against the median of the minions.
  /// Smaller latency differences are treated as noise whatever the ratio.
  Duration slow_latency_margin = std::chrono::milliseconds(5);
  /// Excess of the failure rate over the median of the minions.
  double failure_rate_margin = 0.3;
  /// Doubles with each failed probe and ejection.
  Duration initial_probe_delay = std::chrono::seconds(1);
  Duration max_probe_delay = std::chrono::seconds(60);
  int probes_to_restore = 3;
  /// Probes use idempotent requests that are not urgent. After this additional
  /// delay they use any request, because a service may have no such requests.
  Duration any_request_probe_delay = std::chrono::seconds(5);

  std::uint64_t seed = 1;  ///< Of the random choice between minions.
};

}  // namespace shallotbank::routing
