#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "minion_table.h"
#include "routing/action.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

/// Compares the minions of one service with each other, ejects those that are
/// slow, fail or truncate responses, and restores them after successful probes.
class OutlierDetector {
 public:
  OutlierDetector(const RouterPolicy& policy, ServiceIndex service)
      : policy(policy), service(service) {}

  /// Records the outcome of a request at a minion. `typical` is the mean
  /// latency of the service.
  auto Observe(MinionTable& table,
               MinionIndex minion,
               const Outcome& outcome,
               bool probe,
               Duration typical,
               TimePoint now) -> Actions;

  /// Ejects outliers, at most once per `RouterPolicy::ejection_interval`, and
  /// restores minions above the limit of ejected ones.
  auto Evaluate(MinionTable& table, TimePoint now) -> Actions;

  /// An ejected minion that this request may probe now.
  auto FindDueProbe(const MinionTable& table,
                    const Request& request,
                    TimePoint now) -> std::optional<MinionIndex>;

 private:
  struct Outlier {
    double severity = 0;
    MinionIndex minion = 0;
    EjectionReason reason = EjectionReason::kSlow;
  };

  auto ObserveProbe(MinionTable& table,
                    MinionIndex minion,
                    bool success,
                    TimePoint now) -> Actions;
  auto RestoreMinion(MinionTable& table, MinionIndex minion, TimePoint now)
      -> Action;
  auto FindOutliers(const MinionTable& table) const -> std::vector<Outlier>;
  auto ProbeDelay(int backoff_steps) const -> Duration;

  const RouterPolicy& policy;
  ServiceIndex service;
  TimePoint next_evaluation;
};

/// True if the outcome is a complete response without a server error.
auto IsSuccess(const Outcome& outcome) -> bool;

}  // namespace shallotbank::routing
