#include "leader_report.h"

#include <chrono>
#include <string>

#include "base/log.h"

namespace shallotbank::cell {
namespace {

/// Each report is one log line. The interval is short enough to see a backlog
/// grow.
constexpr std::chrono::seconds kReportInterval(1);

}  // namespace

auto LeaderReport::Tick(const Scheduler& scheduler,
                        const OrderDispatcher& dispatcher,
                        std::size_t advisors,
                        TimePoint now) -> void {
  if (now < this->next_report) {
    return;
  }
  this->next_report = now + kReportInterval;
  this->ReportState(scheduler, advisors);
  this->ReportLoad(dispatcher);
}

auto LeaderReport::ReportState(const Scheduler& scheduler, std::size_t advisors)
    -> void {
  const auto counts = scheduler.Count();
  auto& metrics = this->runtime.metrics;
  metrics.Set("cell_jobs", static_cast<double>(counts.jobs));
  metrics.Set("cell_waiting_tasks", static_cast<double>(counts.waiting_tasks));
  metrics.Set("cell_cores_capacity",
              static_cast<double>(counts.cores_capacity));
  metrics.Set("cell_cores_used", static_cast<double>(counts.cores_used));
  metrics.Set("cell_advice_queries_open",
              static_cast<double>(counts.advice_queries));
  LogEvent(Event::kSchedulerState,
           {{"epoch", std::to_string(this->epoch)},
            {"jobs", std::to_string(counts.jobs)},
            {"waiting_tasks", std::to_string(counts.waiting_tasks)},
            {"assigned_tasks", std::to_string(counts.assigned_tasks)},
            {"workers", std::to_string(counts.attached_workers)},
            {"cores", std::to_string(counts.cores_capacity)},
            {"cores_used", std::to_string(counts.cores_used)},
            {"advice_open", std::to_string(counts.advice_queries)},
            {"advisors", std::to_string(advisors)},
            {"worker_visits", std::to_string(counts.worker_visits)}});
}

auto LeaderReport::ReportLoad(const OrderDispatcher& dispatcher) -> void {
  const auto& busy = this->runtime.busy;
  const auto workers = dispatcher.DirectStats();
  const auto others = this->runtime.client.Stats();
  const auto lag = this->runtime.loop.TakeMaxTickDelay();
  this->runtime.metrics.Observe("core_loop_lag_seconds", lag);
  LogEvent(
      Event::kLeaderLoad,
      {{"epoch", std::to_string(this->epoch)},
       {"callers_ms", MillisecondsText(busy.Total(Duty::kCallers))},
       {"store_replies_ms", MillisecondsText(busy.Total(Duty::kStoreReplies))},
       {"worker_replies_ms",
        MillisecondsText(busy.Total(Duty::kWorkerReplies))},
       {"deciding_ms", MillisecondsText(busy.Total(Duty::kDeciding))},
       {"sending_ms", MillisecondsText(busy.Total(Duty::kSending))},
       {"feeding_ms", MillisecondsText(busy.Total(Duty::kFeeding))},
       {"worker_calls", std::to_string(workers.calls)},
       {"worker_client_wakeups", std::to_string(workers.wakeups)},
       {"worker_client_ms", MillisecondsText(workers.busy)},
       {"other_calls", std::to_string(others.calls)},
       {"other_client_wakeups", std::to_string(others.wakeups)},
       {"other_client_ms", MillisecondsText(others.busy)},
       {"max_tick_delay_ms", MillisecondsText(lag)}});
}

}  // namespace shallotbank::cell
