#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cell/scheduler.h"
#include "free_cores_index.h"
#include "live_job.h"
#include "live_worker.h"
#include "unanswered_starts.h"

namespace shallotbank::cell {

/// Returns the estimated time of the critical path through the steps that are
/// not done.
auto CriticalPathTime(const std::vector<StepSpec>& steps,
                      const std::function<bool(std::size_t)>& is_done)
    -> Duration;

/// Why tasks of a step are not placed.
enum class WaitReason {
  kNone,
  kLimit,      ///< The organisation is at its limit.
  kNoAdvice,   ///< No worker is known to be permitted to run it.
  kNoRoom,     ///< The permitted workers have no free capacity.
  kFormerRun,  ///< The previous run of its gang has not ended on every worker.
  kPause,      ///< A worker recently refused a start.
};

/// Whether a worker of that pace is preferred for the queue. Queues with tight
/// objectives would be late on slow workers; other queues leave the fast
/// workers to them.
auto IsPreferredPace(const QueuePolicy& queue, const LiveWorker& worker)
    -> bool;

/// A step with waiting tasks and its sort key.
struct RankedStep {
  int tier = 0;
  int priority = 0;
  TimePoint objective;
  LiveStep* step = nullptr;
  const QueuePolicy* queue = nullptr;
};

class Scheduler::Core {
 public:
  Core(SchedulerOptions options, TimePoint now);

  // Defined in jobs.cc.
  auto OnConfiguration(const CellConfiguration& configuration) -> void;
  auto OnJob(JobSpec spec,
             const JobProgress& progress,
             TimePoint accepted_at,
             TimePoint now) -> void;
  auto OnCancel(const JobId& id, TimePoint now) -> void;

  // Defined in workers.cc.
  auto OnWorker(const WorkerReport& report, TimePoint now) -> void;
  auto OnWorkerGone(const WorkerId& id, TimePoint now) -> void;
  auto OnPollReply(const PollOrder& order,
                   const PollReply& reply,
                   TimePoint sent,
                   TimePoint now) -> void;

  // Defined in runs.cc.
  auto OnStartReply(const StartOrder& order,
                    const OrderReply& reply,
                    TimePoint now) -> void;
  auto OnStopReply(const StopOrder& order,
                   const OrderReply& reply,
                   TimePoint now) -> void;

  // Defined in advice.cc.
  auto OnAdvice(const AdviceQuery& query,
                const AdviceReply& reply,
                TimePoint now) -> void;

  // Defined in batches.cc.
  auto OnStored(std::uint64_t sequence, TimePoint now) -> void;

  auto Decide(TimePoint now,
              std::chrono::system_clock::time_point wall,
              Authority authority) -> Decisions;
  auto Count() const -> Counts;

  bool is_fenced = false;
  std::size_t advisor_count = 1;

 private:
  using Workers = std::unordered_map<WorkerId, LiveWorker>;

  struct PendingQuery {
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t advisor = 0;
    Duration cost{};
  };
  /// What becomes effective once the batch is stored.
  struct PendingBatch {
    std::vector<JobId> jobs;
    std::vector<std::pair<WorkerIncarnation, std::uint64_t>> completions;
  };
  /// A start that is not sent any more.
  struct WithdrawnStart {
    LiveTask* task = nullptr;
    const char* reason = "";
  };
  struct OrganisationUsage {
    double rate_tokens = 0;  ///< Token bucket of the organisation's job rate.
    TimePoint refilled_at;
    Resources used;
  };

  // Defined in jobs.cc.
  auto BeginOccurrence(LiveJob& job, std::size_t number) -> LiveOccurrence&;
  auto RestoreOccurrence(LiveJob& job,
                         const OccurrenceProgress& stored,
                         TimePoint now) -> void;
  /// Stops the members of a restored gang of which a previous leader gave up
  /// the run and returned the others to waiting.
  auto AbandonPartialGang(LiveStep& step) -> void;
  auto BeginDueOccurrences(std::chrono::system_clock::time_point wall) -> void;
  auto UpdateReady(LiveOccurrence& occurrence) -> void;
  auto OnStepDone(LiveStep& step) -> void;
  /// Removes the occurrences that are over from memory.
  static auto ForgetOccurrences(LiveJob& job) -> void;
  auto FinishJob(LiveJob& job, JobState state, const std::string& reason)
      -> void;
  auto MarkDirty(LiveJob& job) -> void;
  auto DropEndedJobs() -> void;
  auto TakeRateToken(const JobSpec& spec, TimePoint now) -> bool;
  auto QueueOf(const LiveJob& job) const -> const QueuePolicy*;

  // Defined in runs.cc.
  /// Counts the task's demand as used by the worker and the organisation.
  auto AddUsage(const LiveTask& task, LiveWorker& worker) -> void;
  auto RemoveUsage(const LiveTask& task, LiveWorker& worker) -> void;
  auto Assign(LiveTask& task, LiveWorker& worker, TimePoint now) -> void;
  auto ConfirmStart(LiveTask& task, TimePoint now) -> void;
  auto Unassign(LiveTask& task) -> void;
  auto OnRunEnded(LiveTask& task,
                  EndKind how,
                  const std::string& checkpoint,
                  LiveWorker& worker,
                  TimePoint now) -> void;
  /// Handles the completion of a run that was given up, for example because
  /// its lease had lapsed.
  auto OnLateCompletion(const TaskId& name, int run) -> void;
  /// Returns the task to waiting after a run that never started or was lost.
  auto OnRunLost(LiveTask& task, const char* reason) -> void;
  auto MarkDone(LiveTask& task) -> void;
  auto ReturnToWaiting(LiveTask& task) -> void;
  auto CountFailure(LiveTask& task) -> void;
  auto AbandonRun(LiveTask& task) -> void;
  /// Stops that run of all members.
  auto AbandonGang(LiveStep& step, int run) -> void;
  auto SaveCheckpoint(LiveTask& task, const std::string& checkpoint) -> void;
  auto RequestStop(LiveTask& task) -> void;
  static auto TargetOf(const LiveWorker& worker) -> OrderTarget;
  /// Records that a worker rejected the order for its fence.
  auto OnFenced(const OrderTarget& target) -> void;
  /// Stops what a later incarnation of a worker may start by an order that an
  /// earlier one did not answer.
  auto StopUnansweredStarts(TimePoint now, Decisions& decisions) -> void;
  /// To be called whenever the task starts to need a start or stop order.
  auto ExpectOrder(const LiveTask& task) -> void;
  auto SendDueOrders(TimePoint now, bool may_start, Decisions& decisions)
      -> void;
  auto SendDueOrdersTo(LiveWorker& worker,
                       TimePoint now,
                       bool may_start,
                       Decisions& decisions,
                       std::vector<WithdrawnStart>& withdrawn,
                       std::vector<LiveTask*>& overdue_members) -> void;
  auto SendStop(LiveWorker& worker,
                LiveTask& task,
                TimePoint now,
                Decisions& decisions) -> void;
  auto SendStart(LiveWorker& worker,
                 LiveTask& task,
                 TimePoint now,
                 Decisions& decisions) -> void;
  auto FindTask(const WorkerId& worker, const TaskId& name, int run)
      -> LiveTask*;
  /// Returns the task wherever its latest run is.
  auto FindTaskOfJob(const TaskId& name) -> LiveTask*;

  // Defined in crashes.cc.
  /// Records for later whether a poll without an answer shows that the worker
  /// has ended.
  auto OnPollUnanswered(LiveWorker& worker,
                        const PollOrder& order,
                        TimePoint sent,
                        TimePoint now) -> void;
  /// Returns the runs that may be the cause if the worker has crashed, without
  /// those that are counted already.
  static auto FindSuspects(const LiveWorker& worker, TimePoint now)
      -> std::vector<LiveTask*>;
  /// Counts the crash of a worker for the runs that may have caused it, and
  /// fails the job of one that is found to be the cause. To be called before
  /// the runs are given up.
  auto OnWorkerCrashed(LiveWorker& worker, TimePoint now) -> void;
  /// Forgets the crashes of a task that is seen to work.
  auto ClearSuspicion(LiveTask& task, LiveWorker& worker) -> void;
  /// Whether the task is given up at its next crash and waits for a leader that
  /// can be expected to see how the run goes on.
  auto AwaitsSettledLeader(const LiveTask& task, TimePoint now) const -> bool;
  /// Whether a run on the worker is too recent to be ruled out as the cause of
  /// a crash.
  static auto HasUnprovenRun(const LiveWorker& worker, TimePoint now) -> bool;
  /// Whether the task may be started on the worker without obscuring which run
  /// causes a crash: a suspect is started apart from other starts.
  static auto MayStartBeside(const LiveWorker& worker,
                             bool is_suspect,
                             TimePoint now) -> bool;
  /// Keeps the best of these workers free for a suspect that found none.
  /// Returns whether one is kept.
  auto HoldWorkerFor(LiveTask& suspect,
                     const std::vector<LiveWorker*>& workers,
                     TimePoint now) -> bool;

  // Defined in workers.cc.
  auto GetOrAddWorker(const WorkerId& id) -> LiveWorker&;
  /// Returns a fence above all earlier ones of this leader.
  auto NextFence() -> std::uint64_t;
  auto EraseWorker(Workers::iterator worker) -> Workers::iterator;
  auto ReconcileRuns(LiveWorker& worker,
                     const PollReply& reply,
                     TimePoint sent,
                     TimePoint now) -> void;
  /// Raises the fence of orders to the worker and polls it at once; until then
  /// nothing that depends on its incarnation is sent there.
  auto Detach(LiveWorker& worker, TimePoint now) -> void;
  /// `source` names what showed the restart, for the log.
  auto OnNewIncarnation(LiveWorker& worker,
                        std::int64_t born,
                        const char* source,
                        TimePoint now) -> void;
  auto UpdateClock(LiveWorker& worker, Milliseconds clock, TimePoint now)
      -> void;
  /// Takes the clock from an answer to a start sent at that time. A clock that
  /// went back is a sign of a restart.
  auto OnStartClock(LiveWorker& worker,
                    Milliseconds clock,
                    TimePoint sent,
                    TimePoint now) -> void;
  /// When all that runs by an order of that time has ended, whichever
  /// incarnation of the worker executed it, unless it did so late.
  auto LongestLeaseEnd(TimePoint sent) const -> TimePoint;
  auto ReleaseExpiredLeases(TimePoint now) -> void;
  auto SendPolls(TimePoint now, bool may_renew, Decisions& decisions) -> void;
  auto ExtendLease(LiveWorker& worker, TimePoint now) -> Milliseconds;
  auto RecordFailure(LiveWorker& worker, const JobId& job, TimePoint now)
      -> void;
  auto TrackProgress(LiveTask& task, int percent, TimePoint now) -> void;
  auto IsUsable(const LiveWorker& worker, TimePoint now) const -> bool;
  /// Updates the worker's pace with the task's progress up to `percent`.
  auto UpdatePace(LiveWorker& worker,
                  const LiveTask& task,
                  int percent,
                  TimePoint now) -> void;
  auto ClassifyWorkers(TimePoint now) -> void;

  // Defined in placing.cc.
  auto Tier(const LiveJob& job,
            const LiveOccurrence& occurrence,
            Duration allowance,
            TimePoint now) const -> int;
  auto RankSteps(TimePoint now) -> std::vector<RankedStep>;
  /// Adds the job's ready steps that have waiting tasks.
  auto RankStepsOf(LiveJob& job,
                   TimePoint now,
                   std::vector<RankedStep>& ranked) const -> void;
  auto IsPlacementDue(TimePoint now) const -> bool;
  auto PlaceWaitingSteps(TimePoint now, Decisions& decisions) -> void;
  auto PlaceStep(const RankedStep& ranked, TimePoint now) -> WaitReason;
  auto PlaceGang(const RankedStep& ranked,
                 std::vector<LiveWorker*> workers,
                 TimePoint now) -> WaitReason;
  /// Returns a worker for each member of the gang, or nothing if it does not
  /// fit. Suspects are started apart from other starts.
  static auto ChooseGangWorkers(LiveStep& step,
                                const std::vector<LiveWorker*>& workers,
                                std::map<LiveWorker*, std::size_t> slots,
                                TimePoint now)
      -> std::vector<std::pair<LiveTask*, LiveWorker*>>;
  /// A lower one is better: whether and how many other runs it may take with
  /// it, whether the task failed there, is far from its data, prefers another
  /// pace, and the free cores that remain.
  using WorkerRank = std::tuple<std::size_t, bool, bool, bool, std::int64_t>;
  /// The best one is on top; equal ones in the order of the candidates.
  using WorkerHeap =
      std::vector<std::pair<std::pair<WorkerRank, std::size_t>, LiveWorker*>>;
  static auto RankFor(const RankedStep& ranked,
                      const LiveTask& task,
                      const LiveWorker& worker) -> WorkerRank;
  auto MayTake(const LiveWorker& worker,
               const LiveTask& task,
               TimePoint now) const -> bool;
  /// Returns null if no worker may take the task.
  auto BestWorkerFor(const RankedStep& ranked,
                     const LiveTask& task,
                     const std::vector<LiveWorker*>& workers,
                     TimePoint now) const -> LiveWorker*;
  /// The same for a task without a history. The heap is built for the first of
  /// them and serves the others of its step.
  auto NextWorkerFor(const RankedStep& ranked,
                     const LiveTask& task,
                     const std::vector<LiveWorker*>& workers,
                     std::optional<WorkerHeap>& heap,
                     TimePoint now) const -> LiveWorker*;
  auto PlaceSingles(const RankedStep& ranked,
                    const std::vector<LiveWorker*>& workers,
                    TimePoint now) -> WaitReason;
  auto LogWaiting(LiveStep& step, WaitReason reason, TimePoint now) -> void;
  auto EligibleWorkers(const RankedStep& ranked, TimePoint now)
      -> std::vector<LiveWorker*>;
  auto CountSlots(const LiveStep& step,
                  const LiveWorker& worker,
                  Resources available) const -> std::size_t;
  auto IsEligible(const LiveStep& step,
                  const QueuePolicy& queue,
                  const LiveWorker& worker,
                  TimePoint now) const -> bool;
  auto FitsLimit(const LiveJob& job, const Resources& demand) const -> bool;
  /// The worker's free resources minus those reserved in this pass for steps of
  /// higher rank.
  auto UnreservedResources(const LiveWorker& worker) const -> Resources;
  struct PermittedWorker {
    /// Number of the step's tasks that fit into the unreserved resources.
    std::size_t slots = 0;
    LiveWorker* worker = nullptr;
  };
  /// Returns the workers that are known to be permitted to run the step,
  /// whether or not their tickets are still valid, ordered by descending number
  /// of slots.
  auto PermittedWorkers(const RankedStep& ranked, TimePoint now)
      -> std::vector<PermittedWorker>;
  /// Chooses the capacity to keep for a gang against steps of lower rank.
  auto PlanReservation(const RankedStep& ranked, TimePoint now)
      -> GangReservation;
  auto ApplyReservation(const GangReservation& plan) -> void;

  // Defined in advice.cc.
  auto QueryAdvice(const RankedStep& ranked,
                   TimePoint now,
                   Decisions& decisions) -> void;
  auto WorkersToQuery(const RankedStep& ranked, TimePoint now)
      -> std::vector<WorkerId>;
  auto SelectUnqueriedWorkers(const RankedStep& ranked, TimePoint now)
      -> std::vector<WorkerId>;
  /// Learned share of the workers that may run a step of the queue.
  auto ApprovalRate(const QueueName& queue) const -> double;
  auto ChooseAdvisor(Duration cost) const -> std::optional<std::size_t>;
  /// Number of advisors that take no query of that cost.
  auto ReservedAdvisors(Duration cost) const -> std::size_t;
  /// Number of advisors without a query in flight that may take one of that
  /// cost.
  auto CountIdleAdvisors(Duration cost) const -> std::size_t;
  /// Number of workers in each of the queries about `workers` workers.
  auto QuerySize(const AdvicePolicy& policy, std::size_t workers) const
      -> std::size_t;
  struct AdvisorLoad {
    std::size_t advisor = 0;
    Duration cost{};  ///< Of the query.
  };
  auto SendQuery(LiveStep& step,
                 std::span<const WorkerId> workers,
                 AdvisorLoad load,
                 TimePoint now,
                 Decisions& decisions) -> void;
  /// Total cost of the advisor's queries in flight.
  auto AdvisorBacklog(std::size_t advisor) const -> Duration;

  // Defined in batches.cc.
  auto BuildBatch() -> std::optional<ProgressBatch>;
  auto AddUnstoredCompletions(PendingBatch& batch) -> void;
  auto ToProgress(const LiveJob& job) const -> JobProgress;
  /// Encodes the job's progress, in segments if it is too large for a record.
  auto EncodeProgressOf(LiveJob& job) const -> std::string;
  /// Adds the segments that have changed or are not needed any more.
  static auto AddSegments(LiveJob& job, ProgressBatch& batch) -> void;

  auto AddNote(Event event,
               std::vector<std::pair<std::string, std::string>> fields) -> void;

  const SchedulerOptions options;
  const TimePoint took_over_at;
  CellConfiguration configuration;
  std::unordered_map<JobId, std::unique_ptr<LiveJob>> jobs;
  /// Jobs with occurrences that have not begun.
  std::unordered_set<LiveJob*> recurring_jobs;
  /// Jobs that may have ready steps with waiting tasks.
  std::unordered_set<LiveJob*> waiting_jobs;
  Workers workers;
  std::uint64_t fences = 0;  ///< Number of those that were given out.
  FreeCoresIndex free_cores;
  /// Workers with tasks that may need an order, see `ExpectOrder`.
  std::set<WorkerId> order_workers;
  /// Workers without a poll in flight.
  std::set<WorkerId> unpolled_workers;
  /// Workers whose latest completions are not known to be stored; a worker may
  /// remain for some time afterwards.
  std::set<WorkerId> unstored_completions;
  std::unordered_map<OrganisationId, OrganisationUsage> organisation_usage;
  std::vector<LiveJob*> dirty_jobs;
  std::vector<JobId> ended_jobs;
  std::unordered_map<const LiveWorker*, Resources> reserved;
  bool needs_placement = true;
  std::size_t placements_left = 0;  ///< In the current pass.
  TimePoint last_placement_at;
  TimePoint paces_classified_at;
  TimePoint leases_checked_at;
  /// Workers that were considered for a step, over all steps and passes.
  std::uint64_t worker_visits = 0;
  int last_waiting_steps = 0;  ///< Number of waiting steps in the last pass.

  std::uint64_t next_sequence = 1;
  std::map<std::uint64_t, PendingBatch> pending_batches;  ///< By sequence.

  std::uint64_t next_query = 1;
  std::unordered_map<std::uint64_t, PendingQuery> queries;
  /// Total cost of the queries in flight, by advisor.
  std::unordered_map<std::size_t, Duration> advisor_backlogs;
  std::unordered_map<QueueName, double> approval_rates;  ///< Learned, by queue.
  UnansweredStarts unanswered_starts;
  /// Stop orders for runs that belong to no known job.
  std::vector<StopOrder> orphaned_runs;
  std::vector<Note> notes;
};

}  // namespace shallotbank::cell
