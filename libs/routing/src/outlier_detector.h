#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "minion_table.h"
#include "routing/action.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

/// Compares the minions of one service with each other, ejects those that
/// became slow, failing or truncating, and lets them back after good probes.
class OutlierDetector {
 public:
  OutlierDetector(const RouterPolicy& policy, ServiceIndex service)
      : policy(policy), service(service) {}

  /// Takes the end of a request at a minion into account. `typical` is the
  /// mean latency of the service.
  auto Observe(MinionTable& table,
               MinionIndex minion,
               const Outcome& outcome,
               bool probe,
               Duration typical,
               TimePoint now) -> Actions;

  /// Ejects outliers, if the interval since the last time has passed.
  auto Evaluate(MinionTable& table, TimePoint now) -> Actions;

  /// An ejected minion that is due for a probe by this request.
  auto DueProbe(const MinionTable& table, const Request& request, TimePoint now)
      -> std::optional<MinionIndex>;

 private:
  struct Outlier {
    double severity = 0;
    MinionIndex minion = 0;
    EjectionReason reason = EjectionReason::kSlow;
  };

  auto ObserveProbe(MinionTable& table,
                    MinionIndex minion,
                    bool good,
                    TimePoint now) -> Actions;
  auto RestoreOne(MinionTable& table, MinionIndex minion, TimePoint now)
      -> Action;
  auto FindOutliers(const MinionTable& table) const -> std::vector<Outlier>;
  auto ProbeDelay(int ejections) const -> Duration;

  const RouterPolicy& policy;
  ServiceIndex service;
  TimePoint next_evaluation;
};

/// True if the outcome is a whole answer without a server error.
auto IsGood(const Outcome& outcome) -> bool;

}  // namespace shallotbank::routing
