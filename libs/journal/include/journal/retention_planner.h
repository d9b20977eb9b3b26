#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "journal/records.h"
#include "journal/replica.h"

namespace shallotbank::journal {

/// Decides when the live facts must be written again, before the log forgets
/// them. Used by the owner of shard 0.
///
/// Everything before `Replica::NeededFrom()` is covered by a snapshot, so the
/// oldest fact that only the log holds, or the snapshot itself, is that old.
class RetentionPlanner {
 public:
  /// A snapshot that does not become complete is tried again after this time,
  /// or after an eighth of the retention if that is shorter.
  static constexpr std::chrono::milliseconds kRetryAfter =
      std::chrono::minutes(1);

  explicit RetentionPlanner(std::chrono::milliseconds retention)
      : retention(retention) {}

  /// True if the oldest needed record is older than half of the retention, or,
  /// in case the log forgets by size, if the log has begun to forget and the
  /// record lies in the older half of what it holds. `first` is the first
  /// offset that the log holds; `now` is the own wall clock.
  auto IsDue(const Replica& replica, Offset first, WallTime now) const -> bool;

  /// To be called when a snapshot is handed to the appender.
  auto Started(WallTime now) -> void { this->started = now; }

 private:
  std::chrono::milliseconds retention;
  std::optional<WallTime> started;
};

/// Largest piece of a snapshot, in bytes of JSON.
inline constexpr std::size_t kMaxPieceBytes = 256UL << 10U;

/// The pieces of a snapshot of a ready replica. Each goes into a batch of its
/// own, in any order, mixed with other batches as the appender likes.
/// `snapshot` must not be used twice by a writer.
auto MakeSnapshot(const Replica& replica,
                  std::uint64_t snapshot,
                  std::size_t max_piece_bytes = kMaxPieceBytes)
    -> std::vector<SnapshotPiece>;

}  // namespace shallotbank::journal
