#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "journal/records.h"
#include "journal/replica.h"

namespace shallotbank::journal {

/// Decides when a new snapshot must be written, before the log expires the
/// records that it replaces. Used by the owner of shard 0.
///
/// Everything before `Replica::ReplayStart()` is included in a snapshot, so the
/// oldest record without a snapshot, or the snapshot itself, was written at
/// `Replica::ReplayStartTime()`.
class RetentionPlanner {
 public:
  /// A snapshot that does not become complete is retried after this time, or
  /// after an eighth of the retention if that is shorter.
  static constexpr std::chrono::milliseconds kRetryAfter =
      std::chrono::minutes(1);

  explicit RetentionPlanner(std::chrono::milliseconds retention)
      : retention(retention) {}

  /// True if the records from the replay start on are older than half of the
  /// retention. For a log that expires records by size, also true if the log
  /// has begun to expire records and the replay start lies in the older half of
  /// the available offsets. `first` is the first offset that the log still has;
  /// `now` is the local wall-clock time.
  auto IsSnapshotDue(const Replica& replica, Offset first, WallTime now) const
      -> bool;

  /// To be called when a snapshot is passed to the appender.
  auto SnapshotStarted(WallTime now) -> void { this->started = now; }

 private:
  std::chrono::milliseconds retention;
  std::optional<WallTime> started;
};

/// Maximum size of a snapshot piece in bytes of JSON.
inline constexpr std::size_t kMaxPieceBytes = 256UL << 10U;

/// The pieces of a snapshot of a ready replica. Each piece goes into its own
/// batch; the batches may be appended in any order and interleaved with others.
/// A writer must not use a `snapshot` number twice.
auto MakeSnapshot(const Replica& replica,
                  std::uint64_t snapshot,
                  std::size_t max_piece_bytes = kMaxPieceBytes)
    -> std::vector<SnapshotPiece>;

}  // namespace shallotbank::journal
