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

/// An index of workers by free capacity, grouped by free accelerators, then by
/// buckets of free cores and free memory, with four buckets for each power of
/// two. Within a bucket, workers are sorted by score. A search visits only
/// buckets that can contain a worker with enough free capacity and a better
/// score than the best one found so far.
class FitGrid {
 public:
  /// Adds a worker; no amount of `free_capacity` may be negative.
  auto Insert(Slot slot, std::uint32_t order, const Resources& free_capacity)
      -> void;
  /// Removes the worker that was inserted with this order and free capacity.
  auto Erase(std::uint32_t order, const Resources& free_capacity) -> void;

  /// Replaces `best` if a better worker has enough free capacity for `need` and
  /// is accepted by `accept(slot)`.
  template <typename Accept>
  auto UpdateBest(const Resources& need,
                  FitCandidate& best,
                  const Accept& accept) const -> void;

  /// Calls `visit(slot, free_capacity)` for each worker with enough free
  /// capacity for `need`, in unspecified order, until it returns false. Returns
  /// false in that case.
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
  /// Sorted with the best score last, since the best entry is inserted and
  /// removed most often.
  using Bucket = std::vector<Entry>;
  using Row = RankedArray<Bucket>;
  struct Plane {
    std::int64_t accelerators = 0;
    RankedArray<Row> rows;  ///< By free cores; each row is by free memory.
  };

  static constexpr unsigned kBucketCount = RankedArray<Row>::kSize;

  static constexpr auto BucketIndex(std::int64_t amount) -> unsigned {
    const auto value = static_cast<std::uint64_t>(amount);
    if (value < 4) {
      return static_cast<unsigned>(value);
    }
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - 3;
    const auto bucket = 4 * shift + static_cast<unsigned>(value >> shift);
    return std::min(bucket, kBucketCount - 1);
  }
  static constexpr auto BucketLowerBound(unsigned bucket) -> std::int64_t {
    if (bucket < 4) {
      return bucket;
    }
    return static_cast<std::int64_t>(4 + bucket % 4) << (bucket / 4 - 1);
  }
  static constexpr auto MakeBucketLowerBounds()
      -> std::array<std::int64_t, kBucketCount> {
    std::array<std::int64_t, kBucketCount> bounds{};
    for (unsigned bucket = 0; bucket < kBucketCount; ++bucket) {
      bounds[bucket] = BucketLowerBound(bucket);
    }
    return bounds;
  }

  static auto FindPosition(Bucket& bucket,
                           std::int64_t score,
                           std::uint32_t order) -> Bucket::iterator;
  static auto Fits(const Entry& entry, const Resources& need) -> bool {
    return entry.cores_milli >= need.cores_milli &&
           entry.memory_mib >= need.memory_mib;
  }
  auto FindPlane(std::int64_t accelerators) -> std::vector<Plane>::iterator;

  template <typename Accept>
  static auto UpdateBestFromBucket(const Bucket& bucket,
                                   const Resources& need,
                                   FitCandidate& best,
                                   const Accept& accept) -> void;

  std::vector<Plane> planes;  ///< In ascending order of free accelerators.
};

template <typename Accept>
auto FitGrid::UpdateBestFromBucket(const Bucket& bucket,
                                   const Resources& need,
                                   FitCandidate& best,
                                   const Accept& accept) -> void {
  for (auto entry = bucket.rbegin(); entry != bucket.rend(); ++entry) {
    if (best.IsBetterThan(entry->score, entry->order)) {
      return;
    }
    if (Fits(*entry, need) && accept(entry->slot)) {
      best = {entry->score, entry->order, entry->slot};
      return;
    }
  }
}

template <typename Accept>
auto FitGrid::UpdateBest(const Resources& need,
                         FitCandidate& best,
                         const Accept& accept) const -> void {
  static constexpr auto kBucketLowerBounds = MakeBucketLowerBounds();
  const auto first_row = BucketIndex(need.cores_milli);
  const auto first_column = BucketIndex(need.memory_mib);
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
      if (least_score(kBucketLowerBounds[row], 0) > best.score) {
        return false;
      }
      buckets.VisitFrom(
          first_column, [&](unsigned column, const Bucket& bucket) {
            if (least_score(kBucketLowerBounds[row],
                            kBucketLowerBounds[column]) > best.score) {
              return false;
            }
            UpdateBestFromBucket(bucket, need, best, accept);
            return true;
          });
      return true;
    });
  }
}

template <typename Visit>
auto FitGrid::VisitFits(const Resources& need, const Visit& visit) const
    -> bool {
  const auto first_row = BucketIndex(need.cores_milli);
  const auto first_column = BucketIndex(need.memory_mib);
  for (const auto& plane : this->planes) {
    if (plane.accelerators < need.accelerators) {
      continue;
    }
    const auto visit_bucket = [&](unsigned, const Bucket& bucket) {
      return std::all_of(bucket.begin(), bucket.end(), [&](const Entry& entry) {
        return !Fits(entry, need) ||
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
