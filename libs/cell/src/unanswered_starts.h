#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "cell/job.h"

namespace shallotbank::cell {

/// The start orders that got no answer. A worker may execute such an order
/// seconds later. The incarnation that it was sent to has the run, has ended it
/// or rejects it after its lease, but a later incarnation knows nothing of it
/// and would start it, whatever became of the task meanwhile. A run that was
/// stopped on an incarnation is rejected there.
class UnansweredStarts {
 public:
  struct Run {
    TaskId task;
    int number = 0;
  };

  /// Adds a start that was sent to that incarnation of the worker.
  auto Add(const WorkerIncarnation& worker, Run run, TimePoint now) -> void;
  /// Records that the run was stopped on that incarnation.
  auto OnStopped(const WorkerIncarnation& worker, const Run& run) -> void;
  /// Whether the incarnation may still execute any of these starts.
  auto MayRunOn(const WorkerIncarnation& worker) const -> bool;
  /// Returns the runs that must be stopped on that incarnation and for which no
  /// stop was due within the last `interval`.
  auto TakeDueStops(const WorkerIncarnation& worker,
                    Duration interval,
                    TimePoint now) -> std::vector<Run>;
  /// Forgets the orders that are too old to be executed.
  auto Prune(TimePoint now) -> void;
  auto IsEmpty() const -> bool { return this->starts.empty(); }
  auto Workers() const -> std::vector<WorkerId>;

 private:
  struct Start {
    Run run;
    /// The incarnation on which the order has no effect any more.
    std::int64_t safe_born_unix_ms = 0;
    TimePoint expires;
    TimePoint stop_due_at;  ///< When a stop was last due.
  };

  std::unordered_map<WorkerId, std::vector<Start>> starts;
};

}  // namespace shallotbank::cell
