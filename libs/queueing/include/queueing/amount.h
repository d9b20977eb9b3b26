#pragma once

#include <cstdint>

#include "base/resources.h"

namespace shallotbank::queueing {

/// Resources and a number of tasks. Running work and upper limits are counted
/// in both.
struct Amount {
  Resources resources;
  std::int64_t tasks = 0;

  auto operator==(const Amount&) const -> bool = default;

  auto operator+=(const Amount& other) -> Amount& {
    this->resources += other.resources;
    this->tasks += other.tasks;
    return *this;
  }
  auto operator-=(const Amount& other) -> Amount& {
    this->resources -= other.resources;
    this->tasks -= other.tasks;
    return *this;
  }
  friend auto operator+(Amount left, const Amount& right) -> Amount {
    return left += right;
  }

  auto FitsIn(const Amount& available) const -> bool {
    return this->tasks <= available.tasks &&
           this->resources.FitsIn(available.resources);
  }
  auto IsNonNegative() const -> bool {
    return this->tasks >= 0 && this->resources.IsNonNegative();
  }
};

/// The highest value of each component of a limit; means "no limit".
inline constexpr std::int64_t kUnlimited = std::int64_t{1} << 40;

/// A limit that no running amount reaches.
inline constexpr Amount kNoLimit{{kUnlimited, kUnlimited, kUnlimited},
                                 kUnlimited};

}  // namespace shallotbank::queueing
