#include "reservation_turns.h"

#include <algorithm>

#include "placement/placer.h"

namespace shallotbank::placement {
namespace {

constexpr std::chrono::seconds kSearchRetryInterval{1};
constexpr std::chrono::minutes kMaxBackoff{10};
// How long an entry is kept for a gang that ended without a call of `Forget`.
constexpr std::chrono::minutes kEntryLifetime{30};

}  // namespace

auto ReservationBackoff::MayReserve(const JobId& job, TimePoint now) const
    -> bool {
  const auto backoff = this->backoffs.find(job);
  return backoff == this->backoffs.end() || backoff->second.not_before <= now;
}

auto ReservationBackoff::RecordFailedSearch(const JobId& job, TimePoint now)
    -> void {
  this->RemoveStale(now);
  this->backoffs[job].not_before = now + kSearchRetryInterval;
}

auto ReservationBackoff::RecordExpiry(const JobId& job, TimePoint now) -> void {
  this->RemoveStale(now);
  auto& backoff = this->backoffs[job];
  backoff.delay = std::clamp<Duration>(2 * backoff.delay, kStarvationThreshold,
                                       kMaxBackoff);
  backoff.not_before = now + backoff.delay;
}

auto ReservationBackoff::RemoveStale(TimePoint now) -> void {
  std::erase_if(this->backoffs, [now](const auto& entry) {
    return entry.second.not_before + kEntryLifetime < now;
  });
}

auto ReservationBackoff::Forget(const JobId& job) -> void {
  this->backoffs.erase(job);
}

}  // namespace shallotbank::placement
