#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "journal/replica_state.h"

namespace shallotbank::journal {

/// What became of the bytes at one offset.
enum class ApplyStatus {
  kApplied,
  kRepeat,     ///< A batch that was seen before, or an offset read again.
  kMalformed,  ///< Not a batch; skipped and counted.
  kScanned,    ///< Read while looking for a complete snapshot.
};

struct AppliedBatch {
  ApplyStatus status = ApplyStatus::kApplied;
  Offset offset = 0;
  ProcessId writer;
  std::uint64_t sequence = 0;
  /// One for each record of an applied batch.
  std::vector<RecordOutcome> outcomes;
};

struct ReplicaCounters {
  std::uint64_t applied_batches = 0;
  std::uint64_t repeated_batches = 0;
  std::uint64_t malformed_batches = 0;
  std::uint64_t unknown_records = 0;
  std::uint64_t malformed_records = 0;
  std::uint64_t invalid_records = 0;
  std::uint64_t gaps = 0;
  std::uint64_t snapshots_loaded = 0;
  std::uint64_t snapshots_refused = 0;
};

/// Follows the log. The caller reads from `Next()` and hands the bytes of each
/// offset to `Apply`. Assumes that offsets count up by one.
///
/// A replica that starts in the middle of the log, or that misses an offset,
/// needs a snapshot: it scans for a complete one that leaves no hole, loads it,
/// and sets `Next()` back to the offset after it. It is ready again once it is
/// past everything it has read before, so its view never moves backwards.
class Replica {
 public:
  enum class Status { kReady, kNeedsSnapshot };

  /// `own` is the process whose batches `FindOwn` can find. `log_begin` is the
  /// first offset that the log has ever had.
  explicit Replica(ProcessId own = {},
                   Offset log_begin = 0,
                   const ReplicaLimits& limits = {});
  ~Replica();
  Replica(const Replica&) = delete;
  auto operator=(const Replica&) -> Replica& = delete;

  /// The offset to read from.
  auto Next() const -> Offset { return this->next; }
  auto GetStatus() const -> Status;
  auto LogBegin() const -> Offset { return this->log_begin; }
  /// Null unless the replica is ready.
  auto State() const -> const ReplicaState*;

  auto Apply(Offset offset, std::string_view bytes) -> AppliedBatch;

  /// To be called if the log no longer holds `Next()` (HTTP 410), with the
  /// first offset that it holds. Does nothing if `first` is not above `Next()`.
  auto RestartAt(Offset first) -> void;

  /// The batch of the own process with this number, if it was applied by this
  /// replica. The latest `kOwnBatches` are kept. For a batch that is covered by
  /// a snapshot only, `State()->Writers().HasSeen()` tells that it is durable.
  auto FindOwn(std::uint64_t sequence) const -> const AppliedBatch*;

  auto Counters() const -> const ReplicaCounters& { return this->counters; }

  /// The first offset that a replica with empty memory needs, that is the one
  /// after the latest complete snapshot, and when that was written.
  auto NeededFrom() const -> Offset { return this->needed_from; }
  auto NeededSince() const -> std::optional<WallTime> {
    return this->needed_since;
  }

  static constexpr std::size_t kOwnBatches = 4096;

 private:
  class SnapshotCollector;

  auto ApplyReady(const Batch& batch, AppliedBatch& result) -> void;
  auto Scan(const Batch& batch) -> void;
  auto NotePieces(const Batch& batch) -> void;
  auto CountSkipped(const Batch& batch) -> void;
  auto RememberOwn(const AppliedBatch& result) -> void;
  auto StartScan(Offset first) -> void;

  ProcessId own;
  Offset log_begin;
  ReplicaLimits limits;
  std::unique_ptr<ReplicaState> state;  // Null while scanning.
  std::unique_ptr<SnapshotCollector> collector;
  Offset next;
  Offset scan_start = 0;
  Offset ready_from = 0;
  Offset needed_from;
  std::optional<WallTime> needed_since;
  std::map<std::uint64_t, AppliedBatch> own_batches;
  ReplicaCounters counters;
};

}  // namespace shallotbank::journal
