#pragma once

#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::placement {

/// Limits how often each starving gang may try to reserve workers.
class ReservationBackoff {
 public:
  auto MayReserve(const JobId& job, TimePoint now) const -> bool;
  /// Records that no workers could be reserved. Delays the next search, since
  /// it is expensive.
  auto RecordFailedSearch(const JobId& job, TimePoint now) -> void;
  /// Records that the reservation expired unused. The delay doubles each time,
  /// so that any number of other gangs get a turn.
  auto RecordExpiry(const JobId& job, TimePoint now) -> void;
  auto Forget(const JobId& job) -> void;

 private:
  auto RemoveStale(TimePoint now) -> void;

  struct Backoff {
    TimePoint not_before;
    Duration delay{};
  };
  std::unordered_map<JobId, Backoff> backoffs;
};

}  // namespace shallotbank::placement
