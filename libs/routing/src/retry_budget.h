#pragma once

#include <array>
#include <cstdint>

#include "base/clock.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

/// Limits the retries of one service to a fraction of its first dispatches in a
/// sliding window of ten buckets, so that a failure of all minions does not
/// multiply the load.
class RetryBudget {
 public:
  explicit RetryBudget(const RouterPolicy& policy) : policy(policy) {}

  auto RecordRequest(TimePoint now) -> void;
  /// Consumes one retry of the budget; false if the budget is exhausted.
  auto TryAcquireRetry(TimePoint now) -> bool;

 private:
  static constexpr std::int64_t kBuckets = 10;
  struct Bucket {
    std::int64_t index = -1;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };

  auto CurrentBucket(TimePoint now) -> Bucket&;

  const RouterPolicy& policy;
  std::array<Bucket, kBuckets> buckets{};
};

}  // namespace shallotbank::routing
