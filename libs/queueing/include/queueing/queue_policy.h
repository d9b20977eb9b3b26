#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "base/ids.h"
#include "queueing/amount.h"
#include "queueing/scoring.h"

namespace shallotbank::queueing {

struct TeamPolicy {
  TeamId id;
  double weight = 1;  ///< Relative to the other teams of the organisation.
  Amount limit = kNoLimit;
};

struct OrganisationPolicy {
  OrganisationId id;
  double weight = 1;
  std::vector<TeamPolicy> teams;
};

/// Everything that operators decide about the order of waiting work.
struct QueuePolicy {
  std::vector<OrganisationPolicy> organisations;
  Resources capacity;  ///< Of all workers of the shard together.
  WeightedScoring scoring;
  /// Urgent work goes before all other work while the urgent use of its team is
  /// below this fraction of the team's entitlement; beyond that it counts as
  /// normal work. At most 1, so marking everything urgent gains no share.
  double urgent_allowance = 0.5;
  /// A job that smaller work has overtaken for this long is due a reservation.
  Duration reservation_after = std::chrono::seconds(30);
  /// The same for a job, other than a gang, whose team is below its
  /// entitlement. Teams with larger tasks only reach their share if the room of
  /// several ended tasks is gathered for them about as fast as tasks end.
  Duration reservation_after_below_share = Duration::zero();
  /// Only teams with a use of at least this multiple of their entitlement are
  /// named in preemption advice.
  double preemption_ratio = 1.5;
};

/// A policy that was refused as a whole.
struct PolicyError {
  std::string field;  ///< For example `organisations[2].teams[0].weight`.
  std::string message;
};

/// Checks the whole policy. Errors: `PolicyError`.
auto Validate(const QueuePolicy& policy) -> boost::leaf::result<void>;

}  // namespace shallotbank::queueing
