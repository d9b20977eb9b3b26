#include "fit_grid.h"

namespace shallotbank::placement {

auto FitGrid::Position(Bucket& bucket, std::int64_t score, std::uint32_t order)
    -> Bucket::iterator {
  return std::partition_point(
      bucket.begin(), bucket.end(), [score, order](const Entry& entry) {
        return entry.score > score ||
               (entry.score == score && entry.order > order);
      });
}

auto FitGrid::PlaneAt(std::int64_t accelerators)
    -> std::vector<Plane>::iterator {
  return std::partition_point(this->planes.begin(), this->planes.end(),
                              [accelerators](const Plane& plane) {
                                return plane.accelerators < accelerators;
                              });
}

auto FitGrid::Insert(Slot slot, std::uint32_t order, const Resources& room)
    -> void {
  auto plane = this->PlaneAt(room.accelerators);
  if (plane == this->planes.end() || plane->accelerators != room.accelerators) {
    plane = this->planes.insert(plane, Plane{room.accelerators, {}});
  }
  auto& row = plane->rows.At(BucketOf(room.cores_milli));
  auto& bucket = row.At(BucketOf(room.memory_mib));
  const auto score = FitScore(room);
  bucket.insert(Position(bucket, score, order),
                {score, order, slot, room.cores_milli, room.memory_mib});
}

auto FitGrid::Erase(std::uint32_t order, const Resources& room) -> void {
  const auto plane = this->PlaneAt(room.accelerators);
  const auto row_number = BucketOf(room.cores_milli);
  const auto column = BucketOf(room.memory_mib);
  auto* row = plane->rows.Find(row_number);
  auto* bucket = row->Find(column);
  bucket->erase(Position(*bucket, FitScore(room), order));
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
