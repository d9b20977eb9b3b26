#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace shallotbank {

/// Resources that a worker offers or a task requires.
struct Resources {
  std::int64_t cores_milli = 0;   ///< Thousandths of a core.
  std::int64_t memory_mib = 0;    ///< Mebibytes.
  std::int64_t accelerators = 0;  ///< Whole devices.

  auto operator==(const Resources&) const -> bool = default;

  auto operator+=(const Resources& other) -> Resources&;
  auto operator-=(const Resources& other) -> Resources&;

  friend auto operator+(Resources left, const Resources& right) -> Resources {
    return left += right;
  }
  friend auto operator-(Resources left, const Resources& right) -> Resources {
    return left -= right;
  }

  /// True if each amount is at most the corresponding amount of `available`.
  auto FitsIn(const Resources& available) const -> bool;
  /// True if no amount is below zero.
  auto IsNonNegative() const -> bool;
};

/// Component-wise maximum.
auto Max(const Resources& left, const Resources& right) -> Resources;

/// Multiplies each amount by `count`.
auto Times(const Resources& amount, std::int64_t count) -> Resources;

/// The largest of the three fractions `use / total`; a dimension with a zero
/// total is ignored. This is the dominant share of dominant resource fairness.
auto DominantShare(const Resources& use, const Resources& total) -> double;

auto operator<<(std::ostream& out, const Resources& amount) -> std::ostream&;

}  // namespace shallotbank
