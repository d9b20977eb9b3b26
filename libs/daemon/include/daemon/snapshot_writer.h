#pragma once

#include <chrono>

#include "daemon/log_view.h"
#include "journal/retention_planner.h"

namespace shallotbank::daemon {

/// Writes the live facts to the log again before the records that hold them
/// expire. Run by the owner of the first shard, on its core loop.
class SnapshotWriter {
 public:
  /// `retention`: how long the log keeps records.
  SnapshotWriter(Duration retention, LogView& log, Metrics& metrics);

  /// Appends a snapshot if one is due; looks once a second.
  auto Tick(TimePoint now) -> void;

 private:
  LogView& log;
  Metrics& metrics;
  journal::RetentionPlanner planner;
  TimePoint next_look;
  std::uint64_t next_snapshot = 1;
};

}  // namespace shallotbank::daemon
