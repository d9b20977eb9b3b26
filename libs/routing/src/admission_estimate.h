#pragma once

#include <cstddef>

#include "base/clock.h"

namespace shallotbank::routing {

/// Estimates from the observed ends of requests when a new one would finish.
class AdmissionEstimate {
 public:
  /// A request starts while none of the service runs.
  auto BusyFrom(TimePoint now) -> void { this->busy_from = now; }
  /// A request ended after `latency`.
  auto Observe(Duration latency, TimePoint now) -> void;

  /// Time until `ahead + 1` of the requests on `slots` busy slots have ended.
  /// Zero before the first observation.
  auto Wait(std::size_t ahead, int slots, TimePoint now) const -> Duration;
  /// The time that nine of ten requests need at least. Zero before the first
  /// observation.
  auto Quickest() const -> Duration;
  /// The time within which nine of ten requests end.
  auto Slowest() const -> Duration;
  auto Mean() const -> Duration;

 private:
  double mean = 0;      // Seconds.
  double quickest = 0;  // Seconds.
  double slowest = 0;   // Seconds.
  TimePoint busy_from;
  TimePoint last_end;
};

}  // namespace shallotbank::routing
