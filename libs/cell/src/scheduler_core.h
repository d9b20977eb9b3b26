#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cell/scheduler.h"
#include "live_job.h"
#include "live_worker.h"

namespace shallotbank::cell {

/// The longest time through the steps that are not done, by their estimates.
auto LongestChain(const std::vector<StepSpec>& steps,
                  const std::function<bool(std::size_t)>& is_done) -> Duration;

/// Why a step's tasks wait.
enum class WaitReason {
  kNone,
  kLimit,      ///< The organisation's limit.
  kNoAdvice,   ///< No worker is known that may run it.
  kNoRoom,     ///< The workers that may run it have no room.
  kFormerRun,  ///< The former run of its gang has not ended everywhere.
  kPause,      ///< A worker refused a start a moment ago.
};

/// Whether a worker of that pace is a good choice for the queue. Work with a
/// tight objective is late on a slow worker; patient work leaves the quick ones
/// to it.
auto HasRightPace(const QueuePolicy& queue, const LiveWorker& worker) -> bool;

/// A step with waiting tasks and its place in the order.
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

  // jobs.cc
  auto OnConfiguration(const CellConfiguration& configuration) -> void;
  auto OnJob(JobSpec spec,
             const JobProgress& progress,
             TimePoint accepted_at,
             TimePoint now) -> void;
  auto OnCancel(const JobId& id, TimePoint now) -> void;

  // workers.cc
  auto OnWorker(const WorkerReport& report, TimePoint now) -> void;
  auto OnWorkerGone(const WorkerId& id, TimePoint now) -> void;
  auto OnHoldReply(const HoldOrder& order,
                   const HoldReply& reply,
                   TimePoint sent,
                   TimePoint now) -> void;

  // runs.cc
  auto OnStartReply(const StartOrder& order,
                    const OrderReply& reply,
                    TimePoint now) -> void;
  auto OnStopReply(const StopOrder& order,
                   const OrderReply& reply,
                   TimePoint now) -> void;

  // advice.cc
  auto OnAdvice(const AdviceQuery& query,
                const AdviceReply& reply,
                TimePoint now) -> void;

  // batches.cc
  auto OnStored(std::uint64_t sequence, TimePoint now) -> void;

  auto Decide(TimePoint now,
              std::chrono::system_clock::time_point wall,
              bool may_renew) -> Decisions;
  auto Count() const -> Counts;

  bool is_fenced = false;
  std::size_t advisor_count = 1;

 private:
  struct OpenQuery {
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t advisor = 0;
    Duration cost{};
  };
  /// What rests on a batch that is being stored.
  struct OpenBatch {
    std::vector<JobId> jobs;
    std::vector<std::pair<WorkerLife, std::uint64_t>> ends;
  };
  struct Share {
    double jobs_left = 0;  ///< Token bucket of jobs within the rate.
    TimePoint refilled;
    Resources used;
  };

  // jobs.cc
  auto BeginOccurrence(LiveJob& job, std::size_t number) -> LiveOccurrence&;
  auto Restore(LiveJob& job, const OccurrenceProgress& kept, TimePoint now)
      -> void;
  auto BeginDueOccurrences(std::chrono::system_clock::time_point wall) -> void;
  auto UpdateReady(LiveOccurrence& occurrence) -> void;
  auto OnStepDone(LiveStep& step) -> void;
  auto Finish(LiveJob& job, JobState state, const std::string& reason) -> void;
  auto MarkDirty(LiveJob& job) -> void;
  auto DropEndedJobs() -> void;
  auto TakeShare(const JobSpec& spec, TimePoint now) -> bool;
  auto QueueOf(const LiveJob& job) const -> const QueuePolicy*;

  // runs.cc
  auto Assign(LiveTask& task, LiveWorker& worker, TimePoint now) -> void;
  auto ConfirmStart(LiveTask& task, TimePoint now) -> void;
  auto Release(LiveTask& task) -> void;
  auto RunEnded(LiveTask& task,
                EndKind how,
                const std::string& checkpoint,
                LiveWorker& worker,
                TimePoint now) -> void;
  /// The run never started or is lost; the task waits again.
  auto RunLost(LiveTask& task, const char* reason) -> void;
  auto MarkDone(LiveTask& task) -> void;
  auto CountFailure(LiveTask& task) -> void;
  auto AbandonRun(LiveTask& task) -> void;
  auto AbandonGang(LiveStep& step) -> void;
  auto SendDueOrders(TimePoint now, Decisions& decisions) -> void;
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

  // workers.cc
  auto GetWorker(const WorkerId& id) -> LiveWorker&;
  auto Resolve(LiveWorker& worker,
               const HoldReply& reply,
               TimePoint sent,
               TimePoint now) -> void;
  auto OnNewLife(LiveWorker& worker, std::int64_t born, TimePoint now) -> void;
  auto TakeClock(LiveWorker& worker, Milliseconds clock, TimePoint now) -> void;
  auto ReleaseLapsed(TimePoint now) -> void;
  auto SendHolds(TimePoint now, bool may_renew, Decisions& decisions) -> void;
  auto LeaseUntil(LiveWorker& worker, TimePoint now) -> Milliseconds;
  auto NoteFailure(LiveWorker& worker, const JobId& job, TimePoint now) -> void;
  auto WatchProgress(LiveTask& task, int percent, TimePoint now) -> void;
  auto IsUsable(const LiveWorker& worker, TimePoint now) const -> bool;
  /// Takes in that the task has done `percent` of its work by now.
  auto MeasurePace(LiveWorker& worker,
                   const LiveTask& task,
                   int percent,
                   TimePoint now) -> void;
  auto ComparePaces(TimePoint now) -> void;

  // placing.cc
  auto Tier(const LiveJob& job,
            const LiveOccurrence& occurrence,
            Duration allowance,
            TimePoint now) const -> int;
  auto Rank(TimePoint now) -> std::vector<RankedStep>;
  auto IsPassDue(TimePoint now) const -> bool;
  auto Place(TimePoint now, Decisions& decisions) -> void;
  auto PlaceStep(const RankedStep& ranked, TimePoint now) -> WaitReason;
  auto PlaceGang(const RankedStep& ranked,
                 std::vector<LiveWorker*> workers,
                 TimePoint now) -> WaitReason;
  auto PlaceSingles(const RankedStep& ranked,
                    const std::vector<LiveWorker*>& workers,
                    TimePoint now) -> WaitReason;
  auto NoteWaiting(LiveStep& step, WaitReason reason, TimePoint now) -> void;
  auto Candidates(const RankedStep& ranked, TimePoint now)
      -> std::vector<LiveWorker*>;
  auto Slots(const LiveStep& step,
             const LiveWorker& worker,
             Resources room) const -> std::size_t;
  auto SuitsStep(const LiveStep& step,
                 const QueuePolicy& queue,
                 const LiveWorker& worker,
                 TimePoint now) const -> bool;
  auto FitsLimit(const LiveJob& job, const Resources& demand) const -> bool;
  /// The worker's room less what steps of higher rank hold in this pass.
  auto RoomLeft(const LiveWorker& worker) const -> Resources;
  struct KnownWorker {
    std::size_t slots = 0;  ///< For tasks of the step, in the room left.
    LiveWorker* worker = nullptr;
  };
  /// Workers that are known to be allowed to run the step, with valid tickets
  /// or not; those with most slots first.
  auto KnownWorkers(const RankedStep& ranked, TimePoint now)
      -> std::vector<KnownWorker>;
  /// Keeps room for a gang from steps of lower rank. True if there is room for
  /// all of it.
  auto HoldRoom(const RankedStep& ranked, TimePoint now) -> bool;
  auto TasksOn(const LiveStep& step, const LiveWorker& worker) const
      -> std::size_t;

  // advice.cc
  auto AskAdvice(const RankedStep& ranked, TimePoint now, Decisions& decisions)
      -> void;
  auto WorkersToAsk(const RankedStep& ranked, TimePoint now)
      -> std::vector<WorkerId>;
  auto UnaskedWorkers(const RankedStep& ranked, TimePoint now)
      -> std::vector<WorkerId>;
  auto ChooseAdvisor(Duration cost) const -> std::optional<std::size_t>;
  /// Cost of the questions that the advisor has not answered.
  auto AdvisorBacklog(std::size_t advisor) const -> Duration;

  // batches.cc
  auto BuildBatch() -> std::optional<ProgressBatch>;
  auto ToProgress(const LiveJob& job) const -> JobProgress;

  auto AddNote(Event event,
               std::vector<std::pair<std::string, std::string>> fields) -> void;

  const SchedulerOptions options;
  CellConfiguration configuration;
  std::unordered_map<JobId, std::unique_ptr<LiveJob>> jobs;
  std::map<WorkerId, LiveWorker> workers;
  std::unordered_map<OrganisationId, Share> shares;
  std::vector<LiveJob*> dirty;
  std::vector<JobId> ended_jobs;
  std::unordered_map<const LiveWorker*, Resources> held;
  bool is_placing_due = true;
  TimePoint placed_at;
  TimePoint paces_compared_at;
  int last_backlog = 0;  ///< Waiting steps at the last pass.

  std::uint64_t next_sequence = 1;
  std::map<std::uint64_t, OpenBatch> open_batches;  ///< By sequence.

  std::uint64_t next_query = 1;
  std::unordered_map<std::uint64_t, OpenQuery> queries;
  std::unordered_map<QueueName, double> good_share;  ///< Learned by queue.
  std::vector<StopOrder> strays;  ///< Runs that no live job accounts for.
  std::vector<Note> notes;
};

}  // namespace shallotbank::cell
