#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapter/operator_documents.h"
#include "cell/job_table.h"
#include "cell/peer_directory.h"
#include "cell/records.h"
#include "cell/scheduler.h"
#include "leader_report.h"
#include "order_dispatcher.h"
#include "runtime.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// The work of the elected host: runs the scheduler, stores the progress of
/// jobs and sends the scheduler's orders to workers. An instance serves one
/// epoch.
class Leader {
 public:
  struct View {
    const JobTable& jobs;
    const adapter::OperatorConfiguration& configuration;
    const std::map<std::string, WorkerReport>& workers;  ///< By ID.
    /// When a read of the jobs topic last reached its end.
    TimePoint jobs_caught_up_at;
    /// The same for the topic of workers.
    TimePoint workers_caught_up_at;
    /// The same for the topic of progress.
    TimePoint progress_caught_up_at;
    /// All progress before this offset was handled.
    Offset progress_position = 0;
  };

  /// Called with progress updates once they are stored.
  using OnProgressStored =
      std::function<void(const std::vector<ProgressUpdate>&)>;

  Leader(Runtime& runtime,
         StoreGateway& store,
         PeerDirectory& peers,
         Epoch epoch,
         TimePoint previous_authority_end,
         OnProgressStored on_progress_stored);
  ~Leader();

  /// Fences off the previous leader's writes.
  auto FencePreviousLeader() -> void;
  /// Called every few milliseconds. Tasks are not started while the view of the
  /// workers is old.
  auto Tick(const View& view, Authority authority) -> void;

  auto OnConfiguration(const CellConfiguration& configuration) -> void;
  auto OnJob(const JobId& id, const StoredJob& job) -> void;
  auto OnWorker(const WorkerReport& report) -> void;
  auto OnWorkerGone(const WorkerId& worker) -> void;
  /// Handles replies of workers that other hosts have called for this one.
  auto OnCarriedReplies(const ReplyBatch& batch) -> void;

  /// Whether all earlier progress is known and scheduling has started.
  auto IsScheduling() const -> bool { return this->scheduler != nullptr; }
  auto IsFenced() const -> bool;
  auto GetEpoch() const -> Epoch { return this->epoch; }

 private:
  struct PendingBatch {
    ProgressBatch batch;
    bool is_in_flight = false;
    TimePoint next_send;
    TimePoint created_at;
    bool is_refusal_reported = false;
  };

  /// Whether all progress that the previous leader stored was read.
  auto HasReadProgress(const View& view) const -> bool;
  auto StartScheduling(const View& view) -> void;
  auto AddJob(const JobId& id, const StoredJob& job) -> void;
  /// Withholds the authority to start tasks while the view of the workers is
  /// old.
  auto RestrictStarts(const View& view, Authority& authority, TimePoint now)
      -> void;
  auto Execute(Decisions decisions) -> void;
  auto SendStart(StartOrder order) -> void;
  auto SendStop(StopOrder order) -> void;
  auto SendPoll(PollOrder order) -> void;
  auto SendAdviceQuery(AdviceQuery query) -> void;
  auto SendBatches() -> void;
  auto SendBatch(std::uint64_t number) -> void;
  /// Logs that the store refuses the batch as invalid.
  static auto ReportRefusal(PendingBatch& pending, const http::Reply& reply)
      -> void;
  auto OnBatchReply(std::uint64_t number, const http::Reply& reply) -> void;
  auto OnBatchStored(std::uint64_t number) -> void;
  auto PublishProgress(std::uint64_t number, Offset offset) -> void;
  /// Removes the specifications of ended jobs from the store.
  auto RemoveEndedSpecifications(TimePoint now) -> void;
  auto DeleteExpiredJobs(const View& view, TimePoint now) -> void;

  Runtime& runtime;
  StoreGateway& store;
  PeerDirectory& peers;
  const Epoch epoch;
  const TimePoint previous_authority_end;
  const OnProgressStored on_progress_stored;
  // Reply handlers hold a weak pointer to it, so that replies that arrive after
  // the epoch has ended are ignored.
  std::shared_ptr<bool> lifetime;
  OrderDispatcher dispatcher;
  LeaderReport report;
  /// From it on the progress topic has no record of the previous leader. The
  /// answer to a repeated fencing append does not name it.
  std::optional<Offset> first_own_offset;
  TimePoint fenced_at;  ///< When the previous leader was fenced off, or zero.
  std::unique_ptr<Scheduler> scheduler;
  /// Endpoints of the hosts that send advice queries; empty for this host.
  std::vector<std::string> advisors;
  /// A batch that is not known to be stored yet.
  /// By number within the epoch.
  std::map<std::uint64_t, PendingBatch> pending_batches;
  std::uint64_t next_batch_number = 0;
  /// Added to a batch's number to form its sequence number in the store.
  std::uint64_t sequence_base = 0;
  bool is_sequence_base_known = false;
  bool is_fenced = false;
  bool is_fencing_in_flight = false;
  bool are_starts_paused = false;
  TimePoint next_fencing;
  TimePoint next_deletion;
  /// Jobs whose end is stored, each with the time at which its specification
  /// may be removed; in the order of these times.
  std::deque<std::pair<TimePoint, JobId>> ended_jobs;
  TimePoint next_removal;
};

}  // namespace shallotbank::cell
