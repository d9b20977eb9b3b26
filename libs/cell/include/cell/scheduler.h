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
  Epoch epoch = 0;  ///< Of the leader; orders are fenced by it.
  /// Lease of running tasks; the same for every leader of the cell.
  Milliseconds lease{6000};
  /// Longest lease that a worker grants, whatever an order says.
  Milliseconds max_lease{6000};
  /// Latest time at which the previous leader may have sent a lease renewal.
  TimePoint previous_authority_end;
  /// Longest record that the store takes.
  std::size_t max_record_bytes = 262'144;
};

/// What a leader may do at the moment.
struct Authority {
  bool may_renew = true;  ///< Extend the leases of workers.
  bool may_start = true;  ///< Place tasks and start them.
};

/// Places the tasks of accepted jobs on workers, tracks them until they end and
/// decides what must be stored before each action. Performs no I/O: callers
/// pass in events and execute the decisions of `Decide`. Not thread-safe.
///
/// docs/platform.md explains why no task runs twice.
class Scheduler {
 public:
  Scheduler(SchedulerOptions options, TimePoint now);
  ~Scheduler();

  auto OnConfiguration(const CellConfiguration& configuration) -> void;
  /// Sets the number of hosts that may send advice queries; the advice service
  /// has a separate queue for each.
  auto SetAdvisors(std::size_t count) -> void;

  /// Adds a job that was accepted, or one found in the store after a change of
  /// leader; the latter must be added in the order of acceptance.
  auto OnJob(JobSpec job,
             const JobProgress& progress,
             TimePoint accepted_at,
             TimePoint now) -> void;
  /// Adds a job that was accepted just now.
  auto OnJob(JobSpec job, const JobProgress& progress, TimePoint now) -> void {
    this->OnJob(std::move(job), progress, now, now);
  }
  auto OnCancel(const JobId& job, TimePoint now) -> void;

  auto OnWorker(const WorkerReport& report, TimePoint now) -> void;
  /// Handles the removal of a worker from the platform's list.
  auto OnWorkerGone(const WorkerId& worker, TimePoint now) -> void;

  auto OnStartReply(const StartOrder& order,
                    const OrderReply& reply,
                    TimePoint now) -> void;
  auto OnStopReply(const StopOrder& order,
                   const OrderReply& reply,
                   TimePoint now) -> void;
  /// `sent` is the time at which the order was sent; the reply does not include
  /// what the worker accepted later.
  auto OnPollReply(const PollOrder& order,
                   const PollReply& reply,
                   TimePoint sent,
                   TimePoint now) -> void;
  auto OnAdvice(const AdviceQuery& query,
                const AdviceReply& reply,
                TimePoint now) -> void;
  /// Handles the confirmation that the batch and all earlier ones are stored
  /// durably.
  auto OnStored(std::uint64_t sequence, TimePoint now) -> void;

  /// Returns the actions that are due. `wall` determines which recurring jobs
  /// are due.
  auto Decide(TimePoint now,
              std::chrono::system_clock::time_point wall,
              Authority authority) -> Decisions;

  /// Whether the leader must give up its office: a worker has seen the orders
  /// of a later one, or no fences are left.
  auto IsFenced() const -> bool;

  struct Counts {
    std::size_t jobs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t assigned_tasks = 0;
    std::size_t workers = 0;
    std::size_t attached_workers = 0;
    std::int64_t cores_capacity = 0;  ///< Whole cores of attached workers.
    std::int64_t cores_used = 0;  ///< The part of them that assigned tasks use.
    std::size_t advice_queries = 0;  ///< In flight.
    /// Workers that were considered for a step since the start, over all steps
    /// and placement passes: what placing costs.
    std::uint64_t worker_visits = 0;
  };
  auto Count() const -> Counts;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace shallotbank::cell
