#pragma once

#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::placement {

/// When each starving gang may try to reserve workers.
class ReservationTurns {
 public:
  auto MayTry(const JobId& job, TimePoint now) const -> bool;
  /// No workers were found that could be held; searching again is costly.
  auto RecordFailedSearch(const JobId& job, TimePoint now) -> void;
  /// The reservation expired unused. The wait doubles each time, so that any
  /// number of other gangs get their turn.
  auto RecordExpiry(const JobId& job, TimePoint now) -> void;
  auto Forget(const JobId& job) -> void;

 private:
  auto ForgetOld(TimePoint now) -> void;

  struct Turn {
    TimePoint not_before;
    Duration wait{};
  };
  std::unordered_map<JobId, Turn> turns;
};

}  // namespace shallotbank::placement
