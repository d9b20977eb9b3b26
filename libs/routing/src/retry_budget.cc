#include "retry_budget.h"

#include <algorithm>

namespace shallotbank::routing {

auto RetryBudget::CurrentBucket(TimePoint now) -> Bucket& {
  const auto width = this->policy.retry_window / kBuckets;
  const std::int64_t index = now.time_since_epoch() / width;
  auto& bucket = this->buckets[static_cast<std::size_t>(index % kBuckets)];
  if (bucket.index != index) {
    bucket = Bucket{.index = index};
  }
  return bucket;
}

auto RetryBudget::RecordRequest(TimePoint now) -> void {
  this->CurrentBucket(now).requests++;
}

auto RetryBudget::TryAcquireRetry(TimePoint now) -> bool {
  auto& current = this->CurrentBucket(now);
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const auto& bucket : this->buckets) {
    if (bucket.index > current.index - kBuckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
  }
  const auto allowed = std::max<std::int64_t>(
      this->policy.min_retries_per_window,
      static_cast<std::int64_t>(static_cast<double>(requests) *
                                this->policy.retry_fraction));
  if (retries >= allowed) {
    return false;
  }
  current.retries++;
  return true;
}

}  // namespace shallotbank::routing
