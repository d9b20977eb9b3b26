#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace shallotbank::journal {

/// The batch sequence numbers seen from one writer, stored as ranges. Writers
/// number their batches consecutively, so there is nearly always one range.
class SequenceSet {
 public:
  /// If there are more ranges than this, the two lowest are merged.
  static constexpr std::size_t kMaxRanges = 64;

  using Range = std::pair<std::uint64_t, std::uint64_t>;

  auto Contains(std::uint64_t sequence) const -> bool;
  /// Returns false if the number was already in the set.
  auto Insert(std::uint64_t sequence) -> bool;
  auto Ranges() const -> const std::vector<Range>& { return this->ranges; }
  /// Returns false, and changes nothing, unless the ranges are ordered and
  /// disjoint.
  auto Assign(std::vector<Range> new_ranges) -> bool;

 private:
  std::vector<Range> ranges;
};

}  // namespace shallotbank::journal
