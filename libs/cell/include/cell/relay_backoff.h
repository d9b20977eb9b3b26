#pragma once

#include "base/clock.h"

namespace shallotbank::cell {

/// Whether a call that the store refused or left unanswered may be sent again
/// through a peer. If it fails there as well, the store is busy for all hosts,
/// and second copies of calls would keep it so.
class RelayBackoff {
 public:
  auto AllowsSecondCopy(TimePoint now) const -> bool {
    return now >= this->until;
  }

  /// Handles the store's answer to a relayed call.
  auto OnAnswered() -> void {
    this->delay = Duration::zero();
    this->until = TimePoint();
  }
  /// Handles a relayed call that the store refused or left unanswered, although
  /// the peer has made it.
  auto OnFailed(TimePoint now) -> void;

 private:
  TimePoint until;
  Duration delay{};  ///< Zero after an answer.
};

}  // namespace shallotbank::cell
