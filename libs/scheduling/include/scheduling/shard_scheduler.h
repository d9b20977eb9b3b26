#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/ids.h"
#include "base/metrics.h"
#include "base/verdict.h"
#include "placement/worker.h"
#include "queueing/decision.h"
#include "queueing/queue_policy.h"
#include "scheduling/job_spec.h"
#include "scheduling/output.h"
#include "worker_protocol/worker_protocol.h"

namespace shallotbank::scheduling {

struct SchedulingOptions {
  Duration heartbeat_interval = std::chrono::seconds(1);
  Duration command_timeout = std::chrono::seconds(1);
  /// After an ownership change, the maximum time to wait for workers that do
  /// not respond before the others receive work.
  Duration recovery_wait = std::chrono::milliseconds(500);
  /// How long the previous owner may still act after the ownership change: the
  /// duration of an authority in libs/membership.
  Duration previous_authority = std::chrono::seconds(3);
  /// Delay after which a task on an unreachable worker is started elsewhere if
  /// it may run twice. A single-run task may have finished there, so it is
  /// started again only when the worker has reported that it does not have the
  /// task, or when the worker has left the host list and the lease has expired.
  Duration replacement_delay = std::chrono::seconds(10);
  int max_starts_per_tick = 2000;
  int max_tasks_per_command = 200;
};

/// A worker of the host list.
struct ListedWorker {
  placement::Worker worker;
  bool is_leaving = false;
  /// The worker was removed from the list recently. Its tasks count as running
  /// until their leases have expired.
  bool is_gone = false;
};

/// The current progress of a job.
struct JobStatus {
  int waiting = 0;
  int running = 0;
  int finishing = 0;  ///< Ended, but not yet durable in the log.
  int ended = 0;
  bool is_cancelled = false;
  bool is_held = false;  ///< May run on a worker that does not respond.
  std::string why_waiting;
  std::vector<WorkerId> workers;
};

struct WorkerSummary {
  WorkerId worker;
  placement::WorkerStatus status;
  bool is_attached = false;
};

/// The jobs, tasks and workers of one shard in one epoch. The process that
/// acquires the shard creates a new scheduler. Performs no I/O and is not
/// thread-safe. `Tick` returns the commands to send; the caller passes the
/// outcome of each command to exactly one of the `Handle` functions.
class ShardScheduler {
 public:
  /// `metrics` may be null; otherwise it must outlive the scheduler.
  ShardScheduler(Epoch epoch,
                 SchedulingOptions options,
                 Metrics* metrics,
                 TimePoint now);
  ~ShardScheduler();

  auto CurrentEpoch() const -> Epoch;
  /// Sets the time until which this process may start tasks and renew leases.
  auto SetAuthority(TimePoint until) -> void;
  /// Errors: `queueing::PolicyError`, in which case the previous policy remains
  /// in force.
  auto SetPolicy(const queueing::QueuePolicy& policy)
      -> boost::leaf::result<void>;
  auto SetWorkers(const std::vector<ListedWorker>& listed, TimePoint now)
      -> void;

  /// Adds a job; `ended_task_indexes` lists the tasks that have ended according
  /// to the log. Errors: `queueing::JobError`.
  auto AddJob(const JobSpec& spec,
              const std::vector<int>& ended_task_indexes,
              TimePoint now) -> boost::leaf::result<void>;
  /// Idempotent.
  auto CancelJob(const JobId& job, TimePoint now) -> queueing::CancelOutcome;
  /// Confirms that the end of the task is durable, so that its worker may drop
  /// the task.
  auto OnTaskRecorded(const JobId& job, int index) -> void;
  /// Confirms that the end of the job is durable, and drops the job.
  auto ForgetJob(const JobId& job) -> void;

  /// Handles the response to an attach, stop or heartbeat command.
  auto HandleReport(const WorkerId& worker,
                    TimePoint sent_at,
                    const worker_protocol::WorkerReport& report,
                    TimePoint now) -> void;
  auto HandleStartResults(
      const WorkerId& worker,
      const std::vector<worker_protocol::TaskStartResult>& results,
      TimePoint now) -> void;
  /// Handles a command without a usable response. With kNotRun the command had
  /// no effect.
  auto HandleFailure(const WorkerId& worker, Verdict verdict, TimePoint now)
      -> void;

  /// Makes all scheduling decisions that are due and returns the resulting
  /// actions.
  auto Tick(TimePoint now) -> Output;

  auto Describe(const JobId& job, TimePoint now) const
      -> std::optional<JobStatus>;
  auto Workers() const -> std::vector<WorkerSummary>;
  auto Shares() const -> std::vector<queueing::TeamShare>;
  /// The number of workers that count as witnesses of the ownership, and of
  /// those that have accepted the epoch.
  auto WorkerCount() const -> std::size_t;
  auto AttachedCount() const -> std::size_t;
  /// True once enough workers have reported their tasks after the ownership
  /// change, so that work is being placed.
  auto IsRecovered() const -> bool;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace shallotbank::scheduling
