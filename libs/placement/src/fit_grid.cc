#include "fit_grid.h"

namespace shallotbank::placement {

auto FitGrid::FindPosition(Bucket& bucket,
                           std::int64_t score,
                           std::uint32_t order) -> Bucket::iterator {
  return std::partition_point(
      bucket.begin(), bucket.end(), [score, order](const Entry& entry) {
        return entry.score > score ||
               (entry.score == score && entry.order > order);
      });
}

auto FitGrid::FindPlane(std::int64_t accelerators)
    -> std::vector<Plane>::iterator {
  return std::partition_point(this->planes.begin(), this->planes.end(),
                              [accelerators](const Plane& plane) {
                                return plane.accelerators < accelerators;
                              });
}

auto FitGrid::Insert(Slot slot,
                     std::uint32_t order,
                     const Resources& free_capacity) -> void {
  auto plane = this->FindPlane(free_capacity.accelerators);
  if (plane == this->planes.end() ||
      plane->accelerators != free_capacity.accelerators) {
    plane = this->planes.insert(plane, Plane{free_capacity.accelerators, {}});
  }
  auto& row = plane->rows.At(BucketIndex(free_capacity.cores_milli));
  auto& bucket = row.At(BucketIndex(free_capacity.memory_mib));
  const auto score = FitScore(free_capacity);
  bucket.insert(FindPosition(bucket, score, order),
                {score, order, slot, free_capacity.cores_milli,
                 free_capacity.memory_mib});
}

auto FitGrid::Erase(std::uint32_t order, const Resources& free_capacity)
    -> void {
  const auto plane = this->FindPlane(free_capacity.accelerators);
  const auto row_number = BucketIndex(free_capacity.cores_milli);
  const auto column = BucketIndex(free_capacity.memory_mib);
  auto* row = plane->rows.Find(row_number);
  auto* bucket = row->Find(column);
  bucket->erase(FindPosition(*bucket, FitScore(free_capacity), order));
  if (!bucket->empty()) {
    return;
  }
  row->Remove(column);
  if (!row->empty()) {
    return;
  }
  plane->rows.Remove(row_number);
  if (plane->rows.empty()) {
    this->planes.erase(plane);
  }
}

}  // namespace shallotbank::placement
