#pragma once

#include <cstdint>

#include "queueing/amount.h"

namespace shallotbank::queueing {

// Bounds that keep sums of need times tasks far from overflow: at 10^9 * 10^5,
// 63 bits hold 90,000 of the largest jobs.
inline constexpr std::int64_t kMaxNeed = 1'000'000'000;
inline constexpr std::int64_t kMaxTasks = 100'000;
inline constexpr double kMinWeight = 0.001;
inline constexpr double kMaxWeight = 1'000'000;

inline auto IsValidLimit(const Amount& limit) -> bool {
  return limit.IsNonNegative() && limit.FitsIn(kNoLimit);
}

}  // namespace shallotbank::queueing
