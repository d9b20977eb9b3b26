#pragma once

#include <chrono>

#include "daemon/log_view.h"
#include "journal/retention_planner.h"

namespace shallotbank::daemon {

/// Appends snapshots of the live state to the log before the records that hold
/// it expire. Runs at the owner of the first shard, on its core loop.
class SnapshotWriter {
 public:
  /// `retention`: how long the log keeps its records.
  SnapshotWriter(Duration retention, LogView& log, Metrics& metrics);

  /// Appends a snapshot if one is due. Checks this once a second.
  auto Tick(TimePoint now) -> void;

 private:
  LogView& log;
  Metrics& metrics;
  journal::RetentionPlanner planner;
  TimePoint next_check;
  std::uint64_t next_snapshot = 1;
};

}  // namespace shallotbank::daemon
