#pragma once

#include <array>
#include <cstdint>

#include "base/clock.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

/// Bounds the retries of one service to a fraction of its first dispatches in
/// a sliding window of ten buckets, so that a fault of all minions cannot
/// multiply the load.
class RetryBudget {
 public:
  explicit RetryBudget(const RouterPolicy& policy) : policy(policy) {}

  auto CountRequest(TimePoint now) -> void;
  /// Takes one retry out of the budget; false if it is spent.
  auto TakeRetry(TimePoint now) -> bool;

 private:
  static constexpr std::int64_t kBuckets = 10;
  struct Bucket {
    std::int64_t number = -1;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };

  auto Current(TimePoint now) -> Bucket&;

  const RouterPolicy& policy;
  std::array<Bucket, kBuckets> buckets{};
};

}  // namespace shallotbank::routing
