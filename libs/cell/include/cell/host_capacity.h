#pragma once

#include <cstdint>

namespace shallotbank::cell {

/// What a host offers to the daemon. 0 if unknown.
struct HostCapacity {
  std::int64_t cores_milli = 0;  ///< Thousandths of a core.
  std::int64_t link_kbits = 0;   ///< Kilobits per second.

  auto operator==(const HostCapacity&) const -> bool = default;
};

/// Returns whether `host` offers clearly more than `other` of something and
/// clearly less of nothing. Small differences do not justify a change of the
/// leader, and what is unknown decides nothing.
auto IsMuchLarger(const HostCapacity& host, const HostCapacity& other) -> bool;

}  // namespace shallotbank::cell
