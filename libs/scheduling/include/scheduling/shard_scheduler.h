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
  /// After a change of owner, how long workers that do not answer are waited
  /// for before the others get work.
  Duration settle_time = std::chrono::milliseconds(500);
  /// How long the previous owner may act after the change (kAuthority).
  Duration previous_authority = std::chrono::seconds(3);
  /// A task on an unreachable worker is started elsewhere after this long if
  /// it may run twice. A single-run task may have finished there, so it is
  /// started again only when the worker has answered without it, or when the
  /// host list no longer has the worker and the lease has expired.
  Duration replacement_delay = std::chrono::seconds(10);
  int max_starts_per_tick = 2000;
  int max_tasks_per_command = 200;
};

/// A worker as the host list shows it.
struct ListedWorker {
  placement::Worker worker;
  bool is_leaving = false;
  /// It was listed a short while ago and is not any more. What it ran counts
  /// as running until its leases have expired.
  bool is_gone = false;
};

/// How far a job has come, at this moment.
struct JobStatus {
  int waiting = 0;
  int running = 0;
  int finishing = 0;  ///< Ended, but not yet recorded in the log.
  int ended = 0;
  bool is_cancelled = false;
  bool is_held = false;  ///< May still run on a worker that does not answer.
  std::string why_waiting;
  std::vector<WorkerId> workers;
};

struct WorkerSummary {
  WorkerId worker;
  placement::WorkerStatus status;
  bool is_attached = false;
};

/// The jobs, tasks and workers of one shard under one epoch: the process that
/// gains the shard makes a new one. No I/O; not safe for use by several
/// threads. Commands go out by `Tick`; the caller reports the answer to each
/// command by exactly one of the `Handle` functions.
class ShardScheduler {
 public:
  /// `metrics` may be null; it must outlive the scheduler.
  ShardScheduler(Epoch epoch,
                 SchedulingOptions options,
                 Metrics* metrics,
                 TimePoint now);
  ~ShardScheduler();

  auto CurrentEpoch() const -> Epoch;
  /// Until when this process may start work and renew leases.
  auto SetAuthority(TimePoint until) -> void;
  /// Errors: `queueing::PolicyError`; the earlier policy stays.
  auto SetPolicy(const queueing::QueuePolicy& policy)
      -> boost::leaf::result<void>;
  auto SetWorkers(const std::vector<ListedWorker>& listed, TimePoint now)
      -> void;

  /// Takes a job; `ended` are the tasks that have ended by the log. Errors:
  /// `queueing::JobError`.
  auto AddJob(const JobSpec& spec, const std::vector<int>& ended, TimePoint now)
      -> boost::leaf::result<void>;
  /// Idempotent.
  auto CancelJob(const JobId& job, TimePoint now) -> queueing::CancelOutcome;
  /// The end of the task is durable; its worker may forget it.
  auto TaskRecorded(const JobId& job, int index) -> void;
  /// The end of the job is durable.
  auto ForgetJob(const JobId& job) -> void;

  /// The answer to attach, stop or heartbeat.
  auto HandleReport(const WorkerId& worker,
                    TimePoint sent_at,
                    const worker_protocol::WorkerReport& report,
                    TimePoint now) -> void;
  auto HandleStartResults(
      const WorkerId& worker,
      const std::vector<worker_protocol::TaskStartResult>& results,
      TimePoint now) -> void;
  /// No answer that could be used. With kNotRun the command had no effect.
  auto HandleFailure(const WorkerId& worker, Verdict verdict, TimePoint now)
      -> void;

  /// Decides what to do next.
  auto Tick(TimePoint now) -> Output;

  auto Describe(const JobId& job, TimePoint now) const
      -> std::optional<JobStatus>;
  auto Workers() const -> std::vector<WorkerSummary>;
  auto Shares() const -> std::vector<queueing::TeamShare>;
  /// Workers that count as witnesses, and how many have accepted the epoch.
  auto WorkerCount() const -> std::size_t;
  auto AttachedCount() const -> std::size_t;
  /// Work is being placed: enough workers have been asked what they run.
  auto IsSettled() const -> bool;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace shallotbank::scheduling
