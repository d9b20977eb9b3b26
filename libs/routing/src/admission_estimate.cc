#include "admission_estimate.h"

#include <algorithm>
#include <cmath>

namespace shallotbank::routing {
namespace {

// Averages over about the last 30 requests, so that the estimate of a service
// with 400 slots follows a change of its minions within one request latency.
constexpr double kMeanWeight = 1.0 / 32;
// Step size of the stochastic quantile estimate, relative to its value.
constexpr double kQuantileStep = 0.05;
constexpr double kLowQuantile = 0.1;
constexpr double kHighQuantile = 0.9;

/// Moves `estimate` one step towards the quantile `fraction` of the samples.
auto UpdateQuantile(double& estimate, double fraction, double sample) -> void {
  const double sample_below = sample < estimate ? 1 : 0;
  estimate *= std::exp(kQuantileStep * (fraction - sample_below));
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
  this->last_completion = now;
  if (this->mean_latency == 0) {
    this->mean_latency = sample;
    this->latency_p10 = sample;
    this->latency_p90 = sample;
    return;
  }
  this->mean_latency += kMeanWeight * (sample - this->mean_latency);
  UpdateQuantile(this->latency_p10, kLowQuantile, sample);
  UpdateQuantile(this->latency_p90, kHighQuantile, sample);
}

auto AdmissionEstimate::EstimateWait(std::size_t ahead,
                                     int slots,
                                     TimePoint now) const -> Duration {
  if (this->mean_latency == 0 || slots <= 0) {
    return Duration::zero();
  }
  // When minions stop responding, the mean of past completions is outdated; the
  // time since the last completion is then a lower bound of the latency.
  const auto time_without_completion =
      Seconds(now - std::max(this->last_completion, this->busy_since));
  const double latency = std::max(this->mean_latency, time_without_completion);
  return FromSeconds(latency * static_cast<double>(ahead + 1) / slots);
}

auto AdmissionEstimate::LatencyP10() const -> Duration {
  return FromSeconds(this->latency_p10);
}

auto AdmissionEstimate::LatencyP90() const -> Duration {
  return FromSeconds(this->latency_p90);
}

auto AdmissionEstimate::MeanLatency() const -> Duration {
  return FromSeconds(this->mean_latency);
}

}  // namespace shallotbank::routing
