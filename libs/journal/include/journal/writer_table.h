#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "journal/records.h"
#include "journal/sequence_set.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

/// Which batches have been seen, and the time of the log.
///
/// The time of the log advances by the time that passes on the clock of any one
/// writer between its batches, by at most `kMaxStep` for a batch. It depends on
/// the log alone, so all replicas agree on it, and a writer whose clock is far
/// off cannot make facts expire early.
class WriterTable {
 public:
  static constexpr std::chrono::milliseconds kMaxStep = std::chrono::hours(1);

  explicit WriterTable(std::chrono::milliseconds window) : window(window) {}

  /// True once the batch took its place in the log.
  auto HasSeen(const ProcessId& writer, std::uint64_t sequence) const -> bool;
  auto LogTime() const -> WallTime { return this->log_time; }

  /// False if the batch is a repeat, which then has no effect.
  auto Observe(const ProcessId& writer, std::uint64_t sequence, WallTime at)
      -> bool;
  /// Forgets writers that have been silent for longer than the window.
  auto Expire() -> void;
  auto Save(const SnapshotSink& sink) const -> void;
  auto Load(const nlohmann::json& item) -> bool;

 private:
  struct Writer {
    SequenceSet seen;
    WallTime latest;
    std::chrono::milliseconds behind_log{0};  // Time of the log less its clock.
    WallTime last_seen;                       // Time of the log.
  };

  auto AdvanceLogTime(Writer& writer, WallTime at) -> void;

  std::chrono::milliseconds window;
  std::map<ProcessId, Writer> writers;
  WallTime log_time;
  bool is_started = false;
  WallTime next_expiry;
};

}  // namespace shallotbank::journal
