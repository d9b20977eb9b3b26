#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "base/resources.h"

namespace shallotbank::placement {

using Slot = std::uint32_t;
inline constexpr Slot kNoSlot = std::numeric_limits<Slot>::max();

// Weights of the fit score. A core counts as 4,000 MiB, which is about the
// ratio of the larger workers. A free accelerator outweighs any amount of cores
// and memory, so that tasks without accelerators use other workers where
// possible.
inline constexpr std::int64_t kCoresWeight = 4;
inline constexpr std::int64_t kMemoryWeight = 1;
inline constexpr std::int64_t kAcceleratorsWeight = std::int64_t{1} << 40;

/// Ranks an amount of free capacity; the best fit is the worker with the lowest
/// sufficient score. The score does not depend on the need, so workers can be
/// kept sorted by it.
inline auto FitScore(const Resources& free_capacity) -> std::int64_t {
  return free_capacity.cores_milli * kCoresWeight +
         free_capacity.memory_mib * kMemoryWeight +
         free_capacity.accelerators * kAcceleratorsWeight;
}

/// Returns how many times `need` fits into `free_capacity`, at most `limit`.
inline auto CountFits(const Resources& need,
                      const Resources& free_capacity,
                      std::int64_t limit) -> std::int64_t {
  if (!need.FitsIn(free_capacity)) {
    return 0;
  }
  auto bound = [&limit](std::int64_t amount, std::int64_t available) {
    if (amount > 0) {
      limit = std::min(limit, available / amount);
    }
  };
  bound(need.cores_milli, free_capacity.cores_milli);
  bound(need.memory_mib, free_capacity.memory_mib);
  bound(need.accelerators, free_capacity.accelerators);
  return limit;
}

/// The best worker found so far in a search.
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
