#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <vector>

#include "base/resources.h"
#include "fit_score.h"
#include "ranked_array.h"

namespace shallotbank::placement {

/// Workers with room, grouped by free accelerators, then by buckets of free
/// cores and free memory, four buckets for each power of two. Inside a bucket
/// they are sorted by score. A search visits only buckets that can hold a
/// worker with enough room and a better score than the best found so far.
class FitGrid {
 public:
  /// Adds a worker; `room` must not be negative.
  auto Insert(Slot slot, std::uint32_t order, const Resources& room) -> void;
  /// Removes a worker that was added with this order and room.
  auto Erase(std::uint32_t order, const Resources& room) -> void;

  /// Replaces `best` by the best worker that has room for `need` and that
  /// `accept(slot)` admits, if that one is better.
  template <typename Accept>
  auto Improve(const Resources& need,
               FitCandidate& best,
               const Accept& accept) const -> void;

  /// Calls `visit(slot, room)` for each worker that has room for `need`, in no
  /// useful order, until it returns false.
  template <typename Visit>
  auto VisitFits(const Resources& need, const Visit& visit) const -> bool;

 private:
  struct Entry {
    std::int64_t score;
    std::uint32_t order;
    Slot slot;
    std::int64_t cores_milli;
    std::int64_t memory_mib;
  };
  /// Best score last, because taking and returning the best is most frequent.
  using Bucket = std::vector<Entry>;
  using Row = RankedArray<Bucket>;
  struct Plane {
    std::int64_t accelerators = 0;
    RankedArray<Row> rows;  ///< By free cores; each row by free memory.
  };

  static constexpr unsigned kBuckets = RankedArray<Row>::kSize;

  static constexpr auto BucketOf(std::int64_t amount) -> unsigned {
    const auto value = static_cast<std::uint64_t>(amount);
    if (value < 4) {
      return static_cast<unsigned>(value);
    }
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - 3;
    const auto bucket = 4 * shift + static_cast<unsigned>(value >> shift);
    return std::min(bucket, kBuckets - 1);
  }
  static constexpr auto LowestOf(unsigned bucket) -> std::int64_t {
    if (bucket < 4) {
      return bucket;
    }
    return static_cast<std::int64_t>(4 + bucket % 4) << (bucket / 4 - 1);
  }
  static constexpr auto MakeLowest() -> std::array<std::int64_t, kBuckets> {
    std::array<std::int64_t, kBuckets> lowest{};
    for (unsigned bucket = 0; bucket < kBuckets; ++bucket) {
      lowest[bucket] = LowestOf(bucket);
    }
    return lowest;
  }

  static auto Position(Bucket& bucket, std::int64_t score, std::uint32_t order)
      -> Bucket::iterator;
  static auto Has(const Entry& entry, const Resources& need) -> bool {
    return entry.cores_milli >= need.cores_milli &&
           entry.memory_mib >= need.memory_mib;
  }
  auto PlaneAt(std::int64_t accelerators) -> std::vector<Plane>::iterator;

  template <typename Accept>
  static auto ImproveFromBucket(const Bucket& bucket,
                                const Resources& need,
                                FitCandidate& best,
                                const Accept& accept) -> void;

  std::vector<Plane> planes;  ///< In ascending order of free accelerators.
};

template <typename Accept>
auto FitGrid::ImproveFromBucket(const Bucket& bucket,
                                const Resources& need,
                                FitCandidate& best,
                                const Accept& accept) -> void {
  for (auto entry = bucket.rbegin(); entry != bucket.rend(); ++entry) {
    if (best.IsBetterThan(entry->score, entry->order)) {
      return;
    }
    if (Has(*entry, need) && accept(entry->slot)) {
      best = {entry->score, entry->order, entry->slot};
      return;
    }
  }
}

template <typename Accept>
auto FitGrid::Improve(const Resources& need,
                      FitCandidate& best,
                      const Accept& accept) const -> void {
  static constexpr auto kLowest = MakeLowest();
  const auto first_row = BucketOf(need.cores_milli);
  const auto first_column = BucketOf(need.memory_mib);
  for (const auto& plane : this->planes) {
    if (plane.accelerators < need.accelerators) {
      continue;
    }
    const auto least_score = [&](std::int64_t cores, std::int64_t memory) {
      return FitScore({std::max(cores, need.cores_milli),
                       std::max(memory, need.memory_mib), plane.accelerators});
    };
    if (least_score(0, 0) > best.score) {
      return;
    }
    plane.rows.VisitFrom(first_row, [&](unsigned row, const Row& buckets) {
      if (least_score(kLowest[row], 0) > best.score) {
        return false;
      }
      buckets.VisitFrom(
          first_column, [&](unsigned column, const Bucket& bucket) {
            if (least_score(kLowest[row], kLowest[column]) > best.score) {
              return false;
            }
            ImproveFromBucket(bucket, need, best, accept);
            return true;
          });
      return true;
    });
  }
}

template <typename Visit>
auto FitGrid::VisitFits(const Resources& need, const Visit& visit) const
    -> bool {
  const auto first_row = BucketOf(need.cores_milli);
  const auto first_column = BucketOf(need.memory_mib);
  for (const auto& plane : this->planes) {
    if (plane.accelerators < need.accelerators) {
      continue;
    }
    const auto visit_bucket = [&](unsigned, const Bucket& bucket) {
      return std::all_of(bucket.begin(), bucket.end(), [&](const Entry& entry) {
        return !Has(entry, need) ||
               visit(entry.slot, Resources{entry.cores_milli, entry.memory_mib,
                                           plane.accelerators});
      });
    };
    const auto visit_row = [&](unsigned, const Row& row) {
      return row.VisitFrom(first_column, visit_bucket);
    };
    if (!plane.rows.VisitFrom(first_row, visit_row)) {
      return false;
    }
  }
  return true;
}

}  // namespace shallotbank::placement
