#include "retry_budget.h"

#include <algorithm>

namespace shallotbank::routing {

auto RetryBudget::Current(TimePoint now) -> Bucket& {
  const auto width = this->policy.retry_window / kBuckets;
  const std::int64_t number = now.time_since_epoch() / width;
  auto& bucket = this->buckets[static_cast<std::size_t>(number % kBuckets)];
  if (bucket.number != number) {
    bucket = Bucket{.number = number};
  }
  return bucket;
}

auto RetryBudget::CountRequest(TimePoint now) -> void {
  this->Current(now).requests++;
}

auto RetryBudget::TakeRetry(TimePoint now) -> bool {
  auto& current = this->Current(now);
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const auto& bucket : this->buckets) {
    if (bucket.number > current.number - kBuckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
  }
  const auto allowed = std::max<std::int64_t>(
      this->policy.retry_floor,
      static_cast<std::int64_t>(static_cast<double>(requests) *
                                this->policy.retry_fraction));
  if (retries >= allowed) {
    return false;
  }
  current.retries++;
  return true;
}

}  // namespace shallotbank::routing
