#pragma once

#include <cstdint>

#include "queueing/amount.h"

namespace shallotbank::queueing {

// Bounds that keep sums of products of need and tasks far from overflow:
// 10^9 * 10^5 leaves room for 90,000 of the largest jobs in 63 bits.
inline constexpr std::int64_t kHighestNeed = 1'000'000'000;
inline constexpr std::int64_t kHighestTasks = 100'000;
inline constexpr double kLowestWeight = 0.001;
inline constexpr double kHighestWeight = 1'000'000;

inline auto IsLimit(const Amount& limit) -> bool {
  return limit.IsNonNegative() && limit.FitsIn(kNoLimit);
}

}  // namespace shallotbank::queueing
