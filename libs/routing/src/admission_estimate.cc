#include "admission_estimate.h"

#include <algorithm>
#include <cmath>

namespace shallotbank::routing {
namespace {

// About the last 30 requests; a service with 400 slots follows a change of
// its minions within one latency.
constexpr double kMeanWeight = 1.0 / 32;
// Step of the stochastic quantile estimate, relative to its value.
constexpr double kQuantileStep = 0.05;
constexpr double kQuick = 0.1;
constexpr double kSlow = 0.9;

/// Moves `estimate` towards the quantile `fraction` of the samples.
auto Track(double& estimate, double fraction, double sample) -> void {
  const double above = sample < estimate ? 1 : 0;
  estimate *= std::exp(kQuantileStep * (fraction - above));
}

auto Seconds(Duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

auto AdmissionEstimate::Observe(Duration latency, TimePoint now) -> void {
  const double sample = std::max(Seconds(latency), 1e-6);
  this->last_end = now;
  if (this->mean == 0) {
    this->mean = sample;
    this->quickest = sample;
    this->slowest = sample;
    return;
  }
  this->mean += kMeanWeight * (sample - this->mean);
  Track(this->quickest, kQuick, sample);
  Track(this->slowest, kSlow, sample);
}

auto AdmissionEstimate::Wait(std::size_t ahead, int slots, TimePoint now) const
    -> Duration {
  if (this->mean == 0 || slots <= 0) {
    return Duration::zero();
  }
  // When minions stop answering, the mean of past ends says nothing; the time
  // without an end is then a lower bound of the present latency.
  const auto silence = Seconds(now - std::max(this->last_end, this->busy_from));
  const double latency = std::max(this->mean, silence);
  return FromSeconds(latency * static_cast<double>(ahead + 1) / slots);
}

auto AdmissionEstimate::Quickest() const -> Duration {
  return FromSeconds(this->quickest);
}

auto AdmissionEstimate::Slowest() const -> Duration {
  return FromSeconds(this->slowest);
}

auto AdmissionEstimate::Mean() const -> Duration {
  return FromSeconds(this->mean);
}

}  // namespace shallotbank::routing
