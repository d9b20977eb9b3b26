#pragma once

#include <algorithm>

#include "base/resources.h"
#include "placement/worker.h"

namespace shallotbank::placement {

inline auto IsValidAmount(const Resources& amount) -> bool {
  return amount.IsNonNegative() && amount.FitsIn(kLargestAmount);
}

inline auto ClampAmount(const Resources& amount) -> Resources {
  return {
      std::clamp<std::int64_t>(amount.cores_milli, 0,
                               kLargestAmount.cores_milli),
      std::clamp<std::int64_t>(amount.memory_mib, 0, kLargestAmount.memory_mib),
      std::clamp<std::int64_t>(amount.accelerators, 0,
                               kLargestAmount.accelerators)};
}

}  // namespace shallotbank::placement
