#pragma once

#include <unordered_map>
#include <vector>

#include "queueing/queue_policy.h"

namespace shallotbank::queueing {

struct FairShareTeam {
  TeamId id;
  std::size_t organisation = 0;  // Position in the policy.
  Resources need;                // Only the proportions matter.
};

/// Computes the ideal dominant shares of backlogged teams by progressive
/// filling with tiny tasks until a resource is exhausted.
inline auto FairShares(const QueuePolicy& policy,
                       const std::vector<FairShareTeam>& teams)
    -> std::unordered_map<TeamId, double> {
  struct State {
    double weight = 0;
    Resources use;
  };
  std::unordered_map<TeamId, State> by_team;
  std::vector<Resources> by_organisation(policy.organisations.size());
  for (const auto& organisation : policy.organisations) {
    for (const auto& team : organisation.teams) {
      by_team[team.id].weight = team.weight;
    }
  }
  const auto share = [&](const Resources& use, double weight) {
    return DominantShare(use, policy.capacity) / weight;
  };
  Resources used;
  while (true) {
    const FairShareTeam* first = nullptr;
    double first_organisation = 0;
    double first_team = 0;
    for (const auto& team : teams) {
      const auto& state = by_team[team.id];
      const double of_organisation =
          share(by_organisation[team.organisation],
                policy.organisations[team.organisation].weight);
      const double of_team = share(state.use, state.weight);
      if (first == nullptr || of_organisation < first_organisation ||
          (team.organisation == first->organisation && of_team < first_team)) {
        first = &team;
        first_organisation = of_organisation;
        first_team = of_team;
      }
    }
    used += first->need;
    if (!used.FitsIn(policy.capacity)) {
      break;
    }
    by_team[first->id].use += first->need;
    by_organisation[first->organisation] += first->need;
  }
  std::unordered_map<TeamId, double> shares;
  for (const auto& team : teams) {
    shares[team.id] = share(by_team[team.id].use, 1);
  }
  return shares;
}

}  // namespace shallotbank::queueing
