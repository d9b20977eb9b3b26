#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace shallotbank::journal {

/// The batch numbers of one writer that have been seen, as ranges. Writers
/// count up, so there is nearly always one range.
class SequenceSet {
 public:
  /// More ranges than this are joined from the lowest on.
  static constexpr std::size_t kMaxRanges = 64;

  using Range = std::pair<std::uint64_t, std::uint64_t>;

  auto Contains(std::uint64_t sequence) const -> bool;
  /// False if the number was there before.
  auto Insert(std::uint64_t sequence) -> bool;
  auto Ranges() const -> const std::vector<Range>& { return this->ranges; }
  /// False unless the ranges are ordered and disjoint.
  auto Assign(std::vector<Range> new_ranges) -> bool;

 private:
  std::vector<Range> ranges;
};

}  // namespace shallotbank::journal
