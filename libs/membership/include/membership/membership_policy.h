#pragma once

#include <cstddef>

#include "base/clock.h"

namespace shallotbank::membership {

/// How long an owner may act after a confirmation of its epoch.
inline constexpr Duration kAuthority = std::chrono::seconds(3);
/// Two steady clocks slewed by up to 500 ppm in opposite directions differ by
/// 3 ms after `kAuthority`; a new owner waits this much longer.
inline constexpr Duration kClockMargin = std::chrono::milliseconds(10);

/// Times and limits of a peer table.
struct MembershipPolicy {
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// A heartbeat without an answer for this long means that the connection is
  /// silent; a peer without word for this long is suspected.
  Duration silence = std::chrono::seconds(1);
  /// The recovery of a suspected peer is passed on for this long, so that it
  /// overtakes the suspicion on its way round the ring.
  Duration tell_recovery = std::chrono::seconds(10);
  Duration fresh_view = std::chrono::seconds(2);
  /// A process that is cut off refuses keyed work from this age of its view.
  Duration isolated_view = std::chrono::seconds(3);
  std::size_t watch_all = 16;  ///< Up to this many peers, watch each.
  std::size_t successors = 3;  ///< Else this many live successors on the ring.
};

}  // namespace shallotbank::membership
