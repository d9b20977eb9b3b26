#include "outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace shallotbank::routing {
namespace {

// Averages over about the last 16 requests: if all minions fail 30% of their
// requests, the standard deviation is 0.08, well below the default failure rate
// margin of 0.3.
constexpr double kSampleWeight = 1.0 / 16;
// The probe delay is reset if a minion stays restored for longer than this.
constexpr Duration kBackoffResetAfter = std::chrono::minutes(5);
// With fewer compared minions, the median does not identify the outlier.
constexpr std::size_t kMinComparedMinions = 3;

auto Seconds(Duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto Median(std::vector<double> values) -> double {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

auto UpdateAverage(double& value, double sample, int samples) -> void {
  const double weight = std::max(kSampleWeight, 1.0 / samples);
  value += weight * (sample - value);
}

}  // namespace

auto IsSuccess(const Outcome& outcome) -> bool {
  return outcome.verdict == Verdict::kRan && !outcome.truncated &&
         outcome.status != 0 && outcome.status < 500;
}

auto OutlierDetector::Observe(MinionTable& table,
                              MinionIndex minion,
                              const Outcome& outcome,
                              bool probe,
                              Duration typical,
                              TimePoint now) -> Actions {
  auto& health = table.Health(minion);
  const bool success = IsSuccess(outcome);
  if (probe && health.ejected) {
    const auto limit = Duration(static_cast<Duration::rep>(
                           static_cast<double>(typical.count()) *
                           this->policy.slow_latency_ratio)) +
                       this->policy.slow_latency_margin;
    return this->ObserveProbe(
        table, minion,
        success && (typical == Duration::zero() || outcome.latency <= limit),
        now);
  }
  health.samples++;
  UpdateAverage(health.failure_rate, success ? 0 : 1, health.samples);
  UpdateAverage(health.truncation_rate, outcome.truncated ? 1 : 0,
                health.samples);
  // The latency of a failed request says nothing about the processing time; a
  // lost response gives a lower bound of it.
  const double latency = Seconds(outcome.latency);
  const bool lost = outcome.verdict == Verdict::kMayHaveRun;
  if (success || (lost && latency > health.latency)) {
    if (health.latency == 0) {
      health.latency = latency;
    }
    UpdateAverage(health.latency, latency, health.samples);
    health.last_sample = now;
  }
  return {};
}

auto OutlierDetector::ObserveProbe(MinionTable& table,
                                   MinionIndex minion,
                                   bool success,
                                   TimePoint now) -> Actions {
  auto& health = table.Health(minion);
  health.probe_running = false;
  if (!success) {
    health.successful_probes = 0;
    health.backoff_steps++;
    health.next_probe_at = now + this->ProbeDelay(health.backoff_steps);
    return {};
  }
  health.successful_probes++;
  health.next_probe_at = now;
  if (health.successful_probes < this->policy.probes_to_restore) {
    return {};
  }
  return {this->RestoreMinion(table, minion, now)};
}

auto OutlierDetector::RestoreMinion(MinionTable& table,
                                    MinionIndex minion,
                                    TimePoint now) -> Action {
  const int backoff_steps = table.Health(minion).backoff_steps;
  table.Health(minion) = MinionHealth{
      .ejected = true, .backoff_steps = backoff_steps, .restored_at = now};
  table.SetEjected(minion, false);
  return Restore{.minion = table.At(minion).minion.id};
}

auto OutlierDetector::ProbeDelay(int backoff_steps) const -> Duration {
  const double factor = std::pow(2.0, std::min(backoff_steps - 1, 30));
  const double delay =
      static_cast<double>(this->policy.initial_probe_delay.count()) * factor;
  const auto longest =
      static_cast<double>(this->policy.max_probe_delay.count());
  return Duration(static_cast<Duration::rep>(std::min(delay, longest)));
}

auto OutlierDetector::FindOutliers(const MinionTable& table) const
    -> std::vector<Outlier> {
  std::vector<MinionIndex> compared;
  std::vector<double> latencies;
  std::vector<double> failures;
  for (const auto index : table.Services()[this->service].live_minions) {
    const auto& health = table.At(index).health;
    if (health.ejected || health.samples < this->policy.min_ejection_samples) {
      continue;
    }
    compared.push_back(index);
    latencies.push_back(health.latency);
    failures.push_back(health.failure_rate);
  }
  if (compared.size() < kMinComparedMinions) {
    return {};
  }
  const double latency = Median(latencies);
  const double latency_limit =
      std::max(latency * this->policy.slow_latency_ratio,
               latency + Seconds(this->policy.slow_latency_margin));
  const double failure_limit =
      Median(failures) + this->policy.failure_rate_margin;
  std::vector<Outlier> outliers;
  for (const auto index : compared) {
    const auto& health = table.At(index).health;
    if (health.failure_rate > failure_limit) {
      const bool truncating = health.truncation_rate * 2 > health.failure_rate;
      outliers.push_back(Outlier{.severity = 1e6 + health.failure_rate,
                                 .minion = index,
                                 .reason = truncating
                                               ? EjectionReason::kTruncating
                                               : EjectionReason::kFailing});
    } else if (health.latency > latency_limit) {
      outliers.push_back(Outlier{.severity = health.latency / latency_limit,
                                 .minion = index,
                                 .reason = EjectionReason::kSlow});
    }
  }
  std::stable_sort(outliers.begin(), outliers.end(),
                   [](const Outlier& left, const Outlier& right) {
                     return left.severity > right.severity;
                   });
  return outliers;
}

auto OutlierDetector::Evaluate(MinionTable& table, TimePoint now) -> Actions {
  Actions actions;
  const auto& pool = table.Services()[this->service];
  const auto limit =
      static_cast<std::size_t>(static_cast<double>(pool.live_minions.size()) *
                               this->policy.max_ejected_fraction);
  // The limit decreases when minions leave.
  while (pool.ejected.size() > limit) {
    actions.push_back(this->RestoreMinion(table, pool.ejected.front(), now));
  }
  if (now < this->next_evaluation) {
    return actions;
  }
  this->next_evaluation = now + this->policy.ejection_interval;
  for (const auto& outlier : this->FindOutliers(table)) {
    if (pool.ejected.size() >= limit) {
      break;
    }
    auto& health = table.Health(outlier.minion);
    if (now - health.restored_at > kBackoffResetAfter) {
      health.backoff_steps = 0;
    }
    health.backoff_steps++;
    health.next_probe_at = now + this->ProbeDelay(health.backoff_steps);
    health.successful_probes = 0;
    health.probe_running = false;
    table.SetEjected(outlier.minion, true);
    actions.push_back(Eject{.minion = table.At(outlier.minion).minion.id,
                            .reason = outlier.reason});
  }
  return actions;
}

auto OutlierDetector::FindDueProbe(const MinionTable& table,
                                   const Request& request,
                                   TimePoint now)
    -> std::optional<MinionIndex> {
  for (const auto index : table.Services()[this->service].ejected) {
    const auto& health = table.At(index).health;
    const bool preferred = request.idempotent && !request.urgent;
    const auto due =
        preferred ? health.next_probe_at
                  : health.next_probe_at + this->policy.any_request_probe_delay;
    if (due <= now && table.CanProbe(index)) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace shallotbank::routing
