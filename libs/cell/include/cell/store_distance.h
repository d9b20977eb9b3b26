#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include <boost/circular_buffer.hpp>

#include "base/clock.h"

namespace shallotbank::cell {

/// A longer round trip means that the store itself is slow; it says nothing
/// about the network path to it.
inline constexpr std::chrono::milliseconds kMaxNormalLatency{60};

/// The network distance of this host from the store, from the round trips of
/// its calls. A host that is busy measures longer round trips, so the shortest
/// one of a long time counts.
class StoreDistance {
 public:
  auto Record(Duration round_trip) -> void;
  /// Empty without a sample.
  auto Shortest() const -> std::optional<std::chrono::microseconds>;
  /// Whether a host whose shortest round trip is `other` is so much nearer that
  /// it is a better leader. False while too little is known or the store is
  /// slow.
  auto IsMuchFartherThan(std::chrono::microseconds other) const -> bool;

 private:
  /// Ten minutes of announcements.
  static constexpr std::size_t kMaxSamples = 200;

  boost::circular_buffer<std::chrono::microseconds> samples{kMaxSamples};
};

}  // namespace shallotbank::cell
