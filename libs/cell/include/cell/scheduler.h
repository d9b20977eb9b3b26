#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "cell/cell_configuration.h"
#include "cell/job.h"
#include "cell/orders.h"

namespace shallotbank::cell {

struct SchedulerOptions {
  Epoch fence = 0;  ///< Sent with every order.
  /// Lease that running work is given by every leader of the cell.
  Milliseconds lease{6000};
  /// When the former leader's last possible renewal was sent, at the latest.
  TimePoint former_authority_end;
};

/// Places the tasks of accepted jobs on workers, follows them to their end and
/// says what has to be stored first. It does no I/O: callers feed events in
/// and carry out the decisions of `Decide`. Not safe for use by several
/// threads.
///
/// The argument for "no task runs twice" is in docs/platform.md.
class Scheduler {
 public:
  Scheduler(SchedulerOptions options, TimePoint now);
  ~Scheduler();

  auto OnConfiguration(const CellConfiguration& configuration) -> void;
  /// The hosts that may ask for advice, each with its own queue there.
  auto SetAdvisors(std::size_t count) -> void;

  /// A job that was accepted, or one found in the store after a takeover; those
  /// are to come in the order in which they were accepted.
  auto OnJob(JobSpec job,
             const JobProgress& progress,
             TimePoint accepted_at,
             TimePoint now) -> void;
  /// A job that was accepted just now.
  auto OnJob(JobSpec job, const JobProgress& progress, TimePoint now) -> void {
    this->OnJob(std::move(job), progress, now, now);
  }
  auto OnCancel(const JobId& job, TimePoint now) -> void;

  auto OnWorker(const WorkerReport& report, TimePoint now) -> void;
  /// The platform no longer lists the worker.
  auto OnWorkerGone(const WorkerId& worker, TimePoint now) -> void;

  auto OnStartReply(const StartOrder& order,
                    const OrderReply& reply,
                    TimePoint now) -> void;
  auto OnStopReply(const StopOrder& order,
                   const OrderReply& reply,
                   TimePoint now) -> void;
  /// `sent` is when the order left; what the worker took in later is not in
  /// its answer.
  auto OnHoldReply(const HoldOrder& order,
                   const HoldReply& reply,
                   TimePoint sent,
                   TimePoint now) -> void;
  auto OnAdvice(const AdviceQuery& query,
                const AdviceReply& reply,
                TimePoint now) -> void;
  /// The batch, and each before it, is stored for good.
  auto OnStored(std::uint64_t sequence, TimePoint now) -> void;

  /// What is to be done now. `may_renew` is false once the authority over
  /// leases has ended; `wall` decides which recurring work is due.
  auto Decide(TimePoint now,
              std::chrono::system_clock::time_point wall,
              bool may_renew) -> Decisions;

  /// Whether a worker refused an order as fenced.
  auto IsFenced() const -> bool;

  struct Counts {
    std::size_t jobs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t assigned_tasks = 0;
    std::size_t workers = 0;
    std::size_t attached_workers = 0;
    std::int64_t cores_capacity = 0;  ///< Whole cores of attached workers.
    std::int64_t cores_used = 0;      ///< Of them, held by assigned tasks.
    std::size_t advice_queries = 0;   ///< Without an answer yet.
  };
  auto Count() const -> Counts;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace shallotbank::cell
