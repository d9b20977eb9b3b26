#pragma once

#include <cstddef>

#include "base/clock.h"

namespace shallotbank::membership {

/// How long an owner may act after its epoch was confirmed.
inline constexpr Duration kAuthorityDuration = std::chrono::seconds(3);
/// A new owner waits this much longer than the authority of the previous one
/// lasts: two steady clocks slewed by up to 500 ppm in opposite directions
/// differ by 3 ms after that time.
inline constexpr Duration kClockDriftMargin = std::chrono::milliseconds(10);

/// Timeouts and limits of a peer table.
struct MembershipPolicy {
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// A connection whose heartbeat is unanswered for this long is unresponsive;
  /// a peer that was not heard from for this long is suspected.
  Duration suspicion_timeout = std::chrono::seconds(1);
  /// The recovery of a suspected peer is reported for this long, so that it
  /// overtakes the suspicion as both spread around the ring.
  Duration recovery_report_time = std::chrono::seconds(10);
  Duration fresh_view_age = std::chrono::seconds(2);
  /// An isolated process refuses keyed work once its view is this old.
  Duration isolated_view_age = std::chrono::seconds(3);
  /// Up to this many peers, all are watched.
  std::size_t watch_all_limit = 16;
  /// With more peers, this many live successors on the ring are watched.
  std::size_t ring_successors = 3;
};

}  // namespace shallotbank::membership
