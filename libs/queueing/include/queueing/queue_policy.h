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

/// The operators' settings for the order of waiting work.
struct QueuePolicy {
  std::vector<OrganisationPolicy> organisations;
  Resources capacity;  ///< Total of all workers of the shard.
  WeightedScoring scoring;
  /// Urgent work precedes all normal work while the urgent use of its team is
  /// below this fraction of the team's entitlement; beyond that it is treated
  /// as normal work. At most 1, so that marking everything urgent gains no
  /// share.
  double urgent_allowance = 0.5;
  /// A job becomes due for a reservation once smaller work has overtaken it for
  /// this long.
  Duration reservation_after = std::chrono::seconds(30);
  /// The same for a job, other than a gang, whose team is below its
  /// entitlement. Teams with larger tasks reach their share only if the
  /// capacity of several ended tasks is reserved for them about as fast as
  /// tasks end.
  Duration reservation_after_below_share = Duration::zero();
  /// Preemption advice names only teams that use at least this multiple of
  /// their entitlement.
  double preemption_ratio = 1.5;
};

/// Describes a rejected policy; a policy is rejected as a whole.
struct PolicyError {
  std::string field;  ///< For example `organisations[2].teams[0].weight`.
  std::string message;
};

/// Validates the whole policy. Errors: `PolicyError`.
auto Validate(const QueuePolicy& policy) -> boost::leaf::result<void>;

}  // namespace shallotbank::queueing
