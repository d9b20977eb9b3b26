#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "placement/placer.h"
#include "placement/quarantine.h"
#include "placement/worker_index.h"
#include "queueing/fair_queue.h"
#include "records.h"
#include "scheduling/shard_scheduler.h"

namespace shallotbank::scheduling {

// The functions are defined in core.cc (jobs), placing.cc (placement of tasks),
// reports.cc (responses of workers), commands.cc (commands to workers) and
// recovery.cc (ownership changes and lost workers).
class ShardScheduler::Core {
 public:
  Core(Epoch epoch, SchedulingOptions options, Metrics* metrics, TimePoint now);

  // core.cc
  auto SetPolicy(const queueing::QueuePolicy& policy)
      -> boost::leaf::result<void>;
  auto SetWorkers(const std::vector<ListedWorker>& listed, TimePoint now)
      -> void;
  auto AddJob(const JobSpec& spec,
              const std::vector<int>& ended_task_indexes,
              TimePoint now) -> boost::leaf::result<void>;
  auto CancelJob(const JobId& id, TimePoint now) -> queueing::CancelOutcome;
  auto OnTaskRecorded(const JobId& id, int index) -> void;
  auto ForgetJob(const JobId& id) -> void;
  auto Tick(TimePoint now) -> Output;
  auto Describe(const JobId& id, TimePoint now) const
      -> std::optional<JobStatus>;
  auto Workers() const -> std::vector<WorkerSummary>;

  // reports.cc
  auto HandleReport(const WorkerId& id,
                    TimePoint sent_at,
                    const worker_protocol::WorkerReport& report,
                    TimePoint now) -> void;
  auto HandleStartResults(
      const WorkerId& id,
      const std::vector<worker_protocol::TaskStartResult>& results,
      TimePoint now) -> void;
  auto HandleFailure(const WorkerId& id, Verdict verdict, TimePoint now)
      -> void;

  Epoch epoch;
  TimePoint authority_until;
  std::unordered_map<WorkerId, WorkerRecord> workers;
  queueing::FairQueue queue;
  bool is_recovered = false;

 private:
  // core.cc
  auto FindJob(const JobId& id) -> JobRecord*;
  auto EnqueueJob(JobRecord& job) -> boost::leaf::result<void>;
  auto Count(const char* name, const std::string& reason = "") -> void;
  auto ReportCancelled() -> void;
  auto ExpireJobs(TimePoint now) -> void;

  // placing.cc
  auto PlaceWork(TimePoint now) -> void;
  auto PlaceTask(JobRecord& job,
                 const queueing::Candidate& candidate,
                 TimePoint now) -> bool;
  auto PlaceGang(JobRecord& job,
                 const queueing::Candidate& candidate,
                 TimePoint now) -> bool;
  // Starts a queued task on each quarantined worker that is due for a probe, to
  // test whether the worker has recovered.
  auto PlaceProbes(TimePoint now) -> void;
  auto MakeRequest(const JobRecord& job, int index, const TaskId& attempt) const
      -> placement::TaskRequest;
  auto StartAttempt(JobRecord& job,
                    int index,
                    const TaskId& attempt,
                    const WorkerId& worker) -> void;
  auto PreemptTasksFor(const JobRecord& job,
                       const placement::TaskRequest& request,
                       TimePoint now) -> void;

  // reports.cc
  auto ApplyTaskReport(WorkerRecord& worker,
                       const worker_protocol::WorkerTask& reported,
                       TimePoint now) -> void;
  auto AdoptTask(WorkerRecord& worker,
                 const worker_protocol::WorkerTask& reported,
                 TimePoint now) -> void;
  auto EndMissingAttempts(WorkerRecord& worker,
                          TimePoint sent_at,
                          const std::set<TaskId>& reported,
                          TimePoint now) -> void;
  auto FinishAttempt(Attempt& attempt, bool succeeded, TimePoint now) -> void;
  auto FailAttempt(Attempt& attempt, TimePoint now) -> void;
  auto ApplyQuarantine(const placement::QuarantineChange& change) -> void;
  // Ends the attempt without a result. Its task is queued again, or dropped if
  // its job is cancelled.
  auto LoseAttempt(const TaskId& id, const char* reason) -> void;
  auto EraseAttempt(const TaskId& id) -> void;
  auto StopAttempt(Attempt& attempt, bool requeue) -> void;
  auto EndTask(JobRecord& job, int index, bool succeeded, std::string message)
      -> void;
  auto RequeueTask(JobRecord& job, int index, queueing::TaskEnd end) -> void;

  // commands.cc
  auto EmitCommands(TimePoint now) -> void;
  auto EmitCommand(WorkerRecord& worker, TimePoint now) -> void;
  auto EmitStarts(WorkerRecord& worker, TimePoint now) -> bool;
  auto EmitHeartbeat(WorkerRecord& worker, TimePoint now) -> void;
  auto Emit(WorkerRecord& worker, CommandKind kind, WorkerCommand command)
      -> void;
  auto ScheduleContact(WorkerRecord& worker, TimePoint when) -> void;
  auto ToWorkerClock(const WorkerRecord& worker, TimePoint when) const
      -> std::chrono::milliseconds;
  auto HasAuthority(TimePoint now) const -> bool;

  // recovery.cc. A worker is attached once it has reported its tasks in this
  // epoch.
  auto UpdateRecovery(TimePoint now) -> void;
  auto ReleaseHeldJobs(TimePoint now) -> void;
  auto MayRunOnUnattachedWorker(const JobRecord& job, TimePoint now) const
      -> bool;
  auto LastCommandOfPreviousOwner() const -> TimePoint;
  auto LeasesExpireBy() const -> TimePoint;
  auto HasUnattachedWorkers() const -> bool;
  auto HasUnattachedListedWorkers() const -> bool;
  auto UnattachedCapacity() const -> Resources;
  // Recomputes `unconfirmed_use` and passes it to the queue.
  auto UpdateUnconfirmedUse() -> void;
  auto ReplaceLostTasks(TimePoint now) -> void;
  auto ReplaceTasksOnWorker(WorkerRecord& worker, TimePoint now) -> void;
  auto MoveServicesFrom(WorkerRecord& worker) -> void;

  SchedulingOptions options;
  Metrics* metrics;
  TimePoint created_at;
  TimePoint recovered_at;
  placement::WorkerIndex index;
  placement::Placer placer;
  placement::Quarantine quarantine;
  std::unordered_map<JobId, JobRecord> jobs;
  std::unordered_map<TaskId, Attempt> attempts;
  std::set<std::pair<TimePoint, WorkerId>> contact_schedule;
  // Jobs that are not queued until none of their waiting tasks may run, or may
  // have finished, on an unattached worker.
  std::set<JobId> held_jobs;
  std::set<JobId> cancelling;
  std::set<WorkerId> unreachable;
  // Use that counts against a team's limits in addition to the queue's own
  // count: the tasks of held jobs, which may run on unattached workers, and
  // earlier attempts of restarted tasks, which may still run.
  std::map<TeamId, queueing::Amount> unconfirmed_use;
  std::vector<UnconfirmedWork> unconfirmed_work;
  Duration longest_lease{};
  std::uint64_t next_attempt = 1;
  int pending_preemptions = 0;
  Output output;
};

}  // namespace shallotbank::scheduling
