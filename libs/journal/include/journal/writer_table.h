#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "journal/records.h"
#include "journal/sequence_set.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

/// The batches seen from each writer, and the log time.
///
/// Log time advances by the time that elapses on the clock of any one writer
/// between its batches, by at most `kMaxStep` per batch. It depends on the log
/// alone, so all replicas agree on it, and a writer with a wrong clock cannot
/// make entries expire early.
class WriterTable {
 public:
  static constexpr std::chrono::milliseconds kMaxStep = std::chrono::hours(1);

  explicit WriterTable(std::chrono::milliseconds window) : window(window) {}

  /// True if the batch has been read from the log.
  auto HasSeen(const ProcessId& writer, std::uint64_t sequence) const -> bool;
  auto LogTime() const -> WallTime { return this->log_time; }

  /// Returns false if the batch is a duplicate, which must have no effect.
  auto Observe(const ProcessId& writer, std::uint64_t sequence, WallTime at)
      -> bool;
  /// Removes writers that have been inactive for longer than the window.
  auto Expire() -> void;
  auto Save(const SnapshotSink& sink) const -> void;
  auto Load(const nlohmann::json& item) -> bool;

 private:
  struct Writer {
    SequenceSet seen;
    WallTime latest;
    std::chrono::milliseconds clock_offset{0};  // Log time minus its clock.
    WallTime last_seen;                         // Log time.
  };

  auto AdvanceLogTime(Writer& writer, WallTime at) -> void;

  std::chrono::milliseconds window;
  std::map<ProcessId, Writer> writers;
  WallTime log_time;
  bool is_started = false;
  WallTime next_expiry;
};

}  // namespace shallotbank::journal
