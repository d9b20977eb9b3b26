#pragma once

#include <cstddef>

#include "cell/scheduler.h"
#include "order_dispatcher.h"
#include "runtime.h"

namespace shallotbank::cell {

/// Writes the metrics and log lines on the scheduler's state and on the load of
/// the leader, at a fixed interval.
class LeaderReport {
 public:
  LeaderReport(Runtime& runtime, Epoch epoch)
      : runtime(runtime), epoch(epoch) {}

  /// Reports if the interval has passed. `advisors` is the number of hosts that
  /// send advice queries, including this one.
  auto Tick(const Scheduler& scheduler,
            const OrderDispatcher& dispatcher,
            std::size_t advisors,
            TimePoint now) -> void;

 private:
  auto ReportState(const Scheduler& scheduler, std::size_t advisors) -> void;
  /// Logs what the processor time of this host was spent on.
  auto ReportLoad(const OrderDispatcher& dispatcher) -> void;

  Runtime& runtime;
  const Epoch epoch;
  TimePoint next_report;
};

}  // namespace shallotbank::cell
