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

/// How the bytes at one offset were processed.
enum class ApplyStatus {
  kApplied,
  kDuplicate,  ///< A batch or an offset that was read before.
  kMalformed,  ///< Not a valid batch; skipped and counted.
  kScanned,    ///< Read while scanning for a complete snapshot.
};

struct AppliedBatch {
  ApplyStatus status = ApplyStatus::kApplied;
  Offset offset = 0;
  ProcessId writer;
  std::uint64_t sequence = 0;
  /// One outcome per record; empty unless the batch was applied.
  std::vector<RecordOutcome> outcomes;
};

struct ReplicaCounters {
  std::uint64_t applied_batches = 0;
  std::uint64_t duplicate_batches = 0;
  std::uint64_t malformed_batches = 0;
  std::uint64_t unknown_records = 0;
  std::uint64_t malformed_records = 0;
  std::uint64_t invalid_records = 0;
  std::uint64_t gaps = 0;
  std::uint64_t snapshots_loaded = 0;
  std::uint64_t snapshots_refused = 0;
};

/// Rebuilds the state from the log. The caller reads the log from `Next()` and
/// passes the bytes at each offset to `Apply`. Assumes that offsets are
/// consecutive.
///
/// A replica that starts in the middle of the log or that misses an offset
/// needs a snapshot. It scans for a complete one that leaves no gap, loads it,
/// and sets `Next()` back to the offset after it. It is ready again only when
/// it has passed every offset read before, so its state never moves backwards.
class Replica {
 public:
  enum class Status { kReady, kNeedsSnapshot };

  /// `own_process` is the process whose applied batches the replica keeps for
  /// lookup. `log_begin` is the first offset that the log has ever had.
  explicit Replica(ProcessId own_process = {},
                   Offset log_begin = 0,
                   const ReplicaLimits& limits = {});
  ~Replica();
  Replica(const Replica&) = delete;
  auto operator=(const Replica&) -> Replica& = delete;

  /// The offset to read next.
  auto Next() const -> Offset { return this->next; }
  auto GetStatus() const -> Status;
  auto LogBegin() const -> Offset { return this->log_begin; }
  /// Null unless the replica is ready.
  auto State() const -> const ReplicaState*;

  auto Apply(Offset offset, std::string_view bytes) -> AppliedBatch;

  /// To be called with the first available offset if the log no longer has
  /// `Next()` (HTTP 410). Does nothing if `first` is not above `Next()`.
  auto RestartAt(Offset first) -> void;

  /// The batch of the own process with this sequence number, if this replica
  /// has applied it. The latest `kMaxOwnBatches` batches are kept. If a
  /// snapshot already includes the batch, only `State()->Writers().HasSeen()`
  /// can confirm that it is durable.
  auto FindOwnBatch(std::uint64_t sequence) const -> const AppliedBatch*;

  auto Counters() const -> const ReplicaCounters& { return this->counters; }

  /// The offset from which a replica without state must read, which is the one
  /// after the latest complete snapshot, and the time when the snapshot was
  /// written. Before the first snapshot, the start of the log and the time of
  /// its first batch.
  auto ReplayStart() const -> Offset { return this->replay_start; }
  auto ReplayStartTime() const -> std::optional<WallTime> {
    return this->replay_start_time;
  }

  static constexpr std::size_t kMaxOwnBatches = 4096;

 private:
  class SnapshotCollector;

  auto ApplyReady(const Batch& batch, AppliedBatch& result) -> void;
  auto Scan(const Batch& batch) -> void;
  auto TrackSnapshots(const Batch& batch) -> void;
  auto CountSkipped(const Batch& batch) -> void;
  auto StoreOwnBatch(const AppliedBatch& result) -> void;
  auto StartScan(Offset first) -> void;

  ProcessId own_process;
  Offset log_begin;
  ReplicaLimits limits;
  std::unique_ptr<ReplicaState> state;  // Null while scanning.
  std::unique_ptr<SnapshotCollector> collector;
  Offset next;
  Offset scan_start = 0;
  Offset ready_from = 0;
  Offset replay_start;
  std::optional<WallTime> replay_start_time;
  std::map<std::uint64_t, AppliedBatch> own_batches;
  ReplicaCounters counters;
};

}  // namespace shallotbank::journal
