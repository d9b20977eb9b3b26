#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "base/resources.h"

namespace shallotbank::placement {

using Slot = std::uint32_t;
inline constexpr Slot kNoSlot = std::numeric_limits<Slot>::max();

// A core counts as 4,000 MiB, about the ratio of the larger workers. A free
// accelerator outweighs any amount of cores and memory, so that work without
// accelerators goes elsewhere while it can.
inline constexpr std::int64_t kCoresWeight = 4;
inline constexpr std::int64_t kMemoryWeight = 1;
inline constexpr std::int64_t kAcceleratorsWeight = std::int64_t{1} << 40;

/// How much room an amount is; the best fit is the least room that suffices.
/// It does not depend on the need, so workers can be kept in its order.
inline auto FitScore(const Resources& room) -> std::int64_t {
  return room.cores_milli * kCoresWeight + room.memory_mib * kMemoryWeight +
         room.accelerators * kAcceleratorsWeight;
}

/// How many times `need` fits into `room`, at most `limit`.
inline auto TimesIn(const Resources& need,
                    const Resources& room,
                    std::int64_t limit) -> std::int64_t {
  if (!need.FitsIn(room)) {
    return 0;
  }
  auto bound = [&limit](std::int64_t amount, std::int64_t available) {
    if (amount > 0) {
      limit = std::min(limit, available / amount);
    }
  };
  bound(need.cores_milli, room.cores_milli);
  bound(need.memory_mib, room.memory_mib);
  bound(need.accelerators, room.accelerators);
  return limit;
}

/// The best worker found so far.
struct FitCandidate {
  std::int64_t score = std::numeric_limits<std::int64_t>::max();
  std::uint32_t order = std::numeric_limits<std::uint32_t>::max();
  Slot slot = kNoSlot;

  auto Found() const -> bool { return this->slot != kNoSlot; }
  auto IsBetterThan(std::int64_t other_score, std::uint32_t other_order) const
      -> bool {
    return this->score < other_score ||
           (this->score == other_score && this->order < other_order);
  }
};

}  // namespace shallotbank::placement
