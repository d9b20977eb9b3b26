#pragma once

#include <cstddef>

#include "base/clock.h"

namespace shallotbank::routing {

/// Estimates from observed completions when a new request would complete.
class AdmissionEstimate {
 public:
  /// A request is dispatched while no other request of the service runs.
  auto MarkBusy(TimePoint now) -> void { this->busy_since = now; }
  /// Records a request that completed after `latency`.
  auto Observe(Duration latency, TimePoint now) -> void;

  /// Expected time until `ahead + 1` requests have completed on `slots` busy
  /// slots. Zero before the first observation.
  auto EstimateWait(std::size_t ahead, int slots, TimePoint now) const
      -> Duration;
  /// 10th percentile of the latency: nine of ten requests take at least this
  /// long. Zero before the first observation.
  auto LatencyP10() const -> Duration;
  /// 90th percentile of the latency: nine of ten requests complete within it.
  auto LatencyP90() const -> Duration;
  auto MeanLatency() const -> Duration;

 private:
  double mean_latency = 0;  // Seconds.
  double latency_p10 = 0;   // Seconds.
  double latency_p90 = 0;   // Seconds.
  TimePoint busy_since;
  TimePoint last_completion;
};

}  // namespace shallotbank::routing
