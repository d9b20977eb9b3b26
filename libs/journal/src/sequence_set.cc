#include "journal/sequence_set.h"

#include <algorithm>

namespace shallotbank::journal {
namespace {

/// The first range that ends at or after `sequence`.
template <typename Ranges>
auto FirstNotBefore(Ranges& ranges, std::uint64_t sequence) {
  return std::partition_point(
      ranges.begin(), ranges.end(),
      [sequence](const auto& range) { return range.second < sequence; });
}

}  // namespace

auto SequenceSet::Contains(std::uint64_t sequence) const -> bool {
  const auto range = FirstNotBefore(this->ranges, sequence);
  return range != this->ranges.end() && range->first <= sequence;
}

auto SequenceSet::Insert(std::uint64_t sequence) -> bool {
  if (this->Contains(sequence)) {
    return false;
  }
  auto next = FirstNotBefore(this->ranges, sequence);
  const auto joins_next =
      next != this->ranges.end() && next->first == sequence + 1;
  const auto joins_previous =
      next != this->ranges.begin() && std::prev(next)->second + 1 == sequence;
  if (joins_next && joins_previous) {
    std::prev(next)->second = next->second;
    this->ranges.erase(next);
  } else if (joins_next) {
    next->first = sequence;
  } else if (joins_previous) {
    std::prev(next)->second = sequence;
  } else {
    this->ranges.insert(next, {sequence, sequence});
  }
  if (this->ranges.size() > kMaxRanges) {
    this->ranges[1].first = this->ranges[0].first;
    this->ranges.erase(this->ranges.begin());
  }
  return true;
}

auto SequenceSet::Assign(std::vector<Range> new_ranges) -> bool {
  for (std::size_t i = 0; i < new_ranges.size(); ++i) {
    const auto& range = new_ranges[i];
    if (range.first > range.second ||
        (i > 0 && new_ranges[i - 1].second >= range.first)) {
      return false;
    }
  }
  this->ranges = std::move(new_ranges);
  return true;
}

}  // namespace shallotbank::journal
