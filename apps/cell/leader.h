#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapter/operator_documents.h"
#include "cell/job_table.h"
#include "cell/peer_directory.h"
#include "cell/records.h"
#include "cell/scheduler.h"
#include "runtime.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// The duty of the elected host: runs the scheduler, stores its progress and
/// carries out its orders. One instance lives for one epoch.
class Leader {
 public:
  struct View {
    const JobTable& jobs;
    const adapter::OperatorConfiguration& configuration;
    const std::vector<WorkerReport>& workers;
    /// When a read of the topic of jobs last reached its end.
    TimePoint jobs_read_to_end;
  };

  /// Called with progress once it is stored.
  using OnProgress = std::function<void(const std::vector<ProgressNews>&)>;

  Leader(Runtime& runtime,
         StoreGateway& store,
         PeerDirectory& peers,
         Epoch epoch,
         TimePoint former_authority_end,
         OnProgress on_progress);
  ~Leader();

  /// Shuts out the former leader's writes; calls back with the offset from
  /// which on the topic of progress holds none of them.
  auto TakeOver() -> void;
  /// Called every few milliseconds. `progress_position` is up to where the
  /// topic of progress has been read here.
  auto Tick(const View& view, Offset progress_position, bool may_renew) -> void;

  auto OnConfiguration(const CellConfiguration& configuration) -> void;
  auto OnJob(const JobId& id, const StoredJob& job) -> void;
  auto OnWorker(const WorkerReport& report) -> void;
  auto OnWorkerGone(const WorkerId& worker) -> void;

  /// Whether it knows all progress and has started to schedule.
  auto HasBegun() const -> bool { return this->scheduler != nullptr; }
  auto IsFenced() const -> bool;
  auto GetEpoch() const -> Epoch { return this->epoch; }

 private:
  auto Begin(const View& view) -> void;
  auto AddJob(const JobId& id, const StoredJob& job) -> void;
  auto Carry(Decisions decisions) -> void;
  auto SendOrder(http::Call call, StoreGateway::Done done) -> void;
  auto SendStart(StartOrder order) -> void;
  auto SendStop(StopOrder order) -> void;
  auto SendHold(HoldOrder order) -> void;
  auto SendAdvice(AdviceQuery query) -> void;
  auto SendBatches() -> void;
  auto SendBatch(std::uint64_t number) -> void;
  auto OnBatchReply(std::uint64_t number, const http::Reply& reply) -> void;
  auto OnBatchStored(std::uint64_t number) -> void;
  auto TellProgress(std::uint64_t number, Offset offset) -> void;
  auto DropOldJobs(const View& view, TimePoint now) -> void;
  auto ReportState(TimePoint now) -> void;

  Runtime& runtime;
  StoreGateway& store;
  PeerDirectory& peers;
  const Epoch epoch;
  const TimePoint former_authority_end;
  const OnProgress on_progress;
  // Replies hold a weak pointer, so that those of an ended epoch are dropped.
  std::shared_ptr<bool> alive;
  /// Of its own, so that the connections to workers end with the duty: workers
  /// take few, and each leader would leave some behind.
  http::Client workers_client;
  std::optional<Offset> first_own_offset;
  TimePoint taken_over_at;  ///< When the former leader was shut out.
  std::unique_ptr<Scheduler> scheduler;
  std::vector<std::string> advisors;  ///< Empty text: this host itself.
  /// A batch on its way to the store.
  struct Outgoing {
    ProgressBatch batch;
    bool is_open = false;
    TimePoint next_send;
    TimePoint since;
  };
  std::map<std::uint64_t, Outgoing> outgoing;  ///< By number in the epoch.
  std::uint64_t next_number = 0;
  std::uint64_t sequence_base = 0;  ///< Added to a number on the wire.
  bool is_sequence_settled = false;
  bool is_fenced = false;
  bool is_append_open = false;
  TimePoint next_append;
  TimePoint next_drop;
  TimePoint next_report;
};

}  // namespace shallotbank::cell
