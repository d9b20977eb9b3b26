#include "outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace shallotbank::routing {
namespace {

// About the last 16 requests: with 30% failures everywhere, the standard
// deviation is 0.08, well below the default failure margin of 0.3.
constexpr double kWeight = 1.0 / 16;
// After this long without an ejection, the delay of the probe starts anew.
constexpr Duration kForgiveAfter = std::chrono::minutes(5);
// With fewer judged minions, a median says nothing about who is the outlier.
constexpr std::size_t kFewestPeers = 3;

auto Seconds(Duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto Median(std::vector<double> values) -> double {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

auto Average(double& value, double sample, int samples) -> void {
  const double weight = std::max(kWeight, 1.0 / samples);
  value += weight * (sample - value);
}

}  // namespace

auto IsGood(const Outcome& outcome) -> bool {
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
  const bool good = IsGood(outcome);
  if (probe && health.ejected) {
    const auto limit =
        Duration(static_cast<Duration::rep>(
            static_cast<double>(typical.count()) * this->policy.slow_ratio)) +
        this->policy.slow_margin;
    return this->ObserveProbe(
        table, minion,
        good && (typical == Duration::zero() || outcome.latency <= limit), now);
  }
  health.samples++;
  Average(health.failure, good ? 0 : 1, health.samples);
  Average(health.truncation, outcome.truncated ? 1 : 0, health.samples);
  // A failure says how quick a minion fails, not how quick it works; a lost
  // answer says that the work takes at least that long.
  const double latency = Seconds(outcome.latency);
  const bool lost = outcome.verdict == Verdict::kMayHaveRun;
  if (good || (lost && latency > health.latency)) {
    if (health.latency == 0) {
      health.latency = latency;
    }
    Average(health.latency, latency, health.samples);
    health.last_sample = now;
  }
  return {};
}

auto OutlierDetector::ObserveProbe(MinionTable& table,
                                   MinionIndex minion,
                                   bool good,
                                   TimePoint now) -> Actions {
  auto& health = table.Health(minion);
  health.probe_running = false;
  if (!good) {
    health.probe_passes = 0;
    health.ejections++;
    health.probe_at = now + this->ProbeDelay(health.ejections);
    return {};
  }
  health.probe_passes++;
  health.probe_at = now;
  if (health.probe_passes < this->policy.probes_to_restore) {
    return {};
  }
  return {this->RestoreOne(table, minion, now)};
}

auto OutlierDetector::RestoreOne(MinionTable& table,
                                 MinionIndex minion,
                                 TimePoint now) -> Action {
  const int ejections = table.Health(minion).ejections;
  table.Health(minion) =
      MinionHealth{.ejected = true, .ejections = ejections, .restored_at = now};
  table.SetEjected(minion, false);
  return Restore{.minion = table.At(minion).minion.id};
}

auto OutlierDetector::ProbeDelay(int ejections) const -> Duration {
  const double factor = std::pow(2.0, std::min(ejections - 1, 30));
  const double delay =
      static_cast<double>(this->policy.first_probe.count()) * factor;
  const auto longest = static_cast<double>(this->policy.longest_probe.count());
  return Duration(static_cast<Duration::rep>(std::min(delay, longest)));
}

auto OutlierDetector::FindOutliers(const MinionTable& table) const
    -> std::vector<Outlier> {
  std::vector<MinionIndex> judged;
  std::vector<double> latencies;
  std::vector<double> failures;
  for (const auto index : table.Services()[this->service].members) {
    const auto& health = table.At(index).health;
    if (health.ejected || health.samples < this->policy.ejection_samples) {
      continue;
    }
    judged.push_back(index);
    latencies.push_back(health.latency);
    failures.push_back(health.failure);
  }
  if (judged.size() < kFewestPeers) {
    return {};
  }
  const double latency = Median(latencies);
  const double slow = std::max(latency * this->policy.slow_ratio,
                               latency + Seconds(this->policy.slow_margin));
  const double failing = Median(failures) + this->policy.failure_margin;
  std::vector<Outlier> outliers;
  for (const auto index : judged) {
    const auto& health = table.At(index).health;
    if (health.failure > failing) {
      const bool truncating = health.truncation * 2 > health.failure;
      outliers.push_back(Outlier{.severity = 1e6 + health.failure,
                                 .minion = index,
                                 .reason = truncating
                                               ? EjectionReason::kTruncating
                                               : EjectionReason::kFailing});
    } else if (health.latency > slow) {
      outliers.push_back(Outlier{.severity = health.latency / slow,
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
  const auto limit = static_cast<std::size_t>(
      static_cast<double>(pool.members.size()) * this->policy.ejected_fraction);
  // The limit falls when minions leave.
  while (pool.ejected.size() > limit) {
    actions.push_back(this->RestoreOne(table, pool.ejected.front(), now));
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
    if (now - health.restored_at > kForgiveAfter) {
      health.ejections = 0;
    }
    health.ejections++;
    health.probe_at = now + this->ProbeDelay(health.ejections);
    health.probe_passes = 0;
    health.probe_running = false;
    table.SetEjected(outlier.minion, true);
    actions.push_back(Eject{.minion = table.At(outlier.minion).minion.id,
                            .reason = outlier.reason});
  }
  return actions;
}

auto OutlierDetector::DueProbe(const MinionTable& table,
                               const Request& request,
                               TimePoint now) -> std::optional<MinionIndex> {
  for (const auto index : table.Services()[this->service].ejected) {
    const auto& health = table.At(index).health;
    const bool preferred = request.idempotent && !request.urgent;
    const auto due = preferred ? health.probe_at
                               : health.probe_at + this->policy.probe_patience;
    if (due <= now && table.CanProbe(index)) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace shallotbank::routing
