#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/core_loop.h"
#include "base/metrics.h"
#include "daemon/host_poller.h"
#include "daemon/log_view.h"
#include "http/client.h"
#include "membership/authority.h"
#include "scheduling/shard_scheduler.h"

namespace shallotbank::sched {

/// Runs one shard that this process owns: passes the records of the log and the
/// reports of the workers to the scheduler and carries out its decisions.
/// Exists from the time that the claim takes effect until the shard is lost or
/// released. Runs on the core loop's thread.
class ShardRunner : public std::enable_shared_from_this<ShardRunner> {
 public:
  struct Context {
    CoreLoop& loop;
    daemon::LogView& log;
    daemon::HostPoller& hosts;
    http::Client& client;
    Metrics& metrics;
  };

  ShardRunner(ShardId shard,
              std::int64_t number,
              Epoch epoch,
              bool is_takeover,
              Context context);

  /// Loads the unfinished jobs from the log. Must be called once, before any
  /// other function.
  auto Load(TimePoint now) -> void;
  /// Applies a batch of the log; to be called for each one.
  auto HandleBatch(const journal::AppliedBatch& applied,
                   const journal::Batch& batch,
                   TimePoint now) -> void;
  /// Updates the workers and witnesses; to be called when the host list has
  /// changed.
  auto HandleHosts(TimePoint now) -> void;
  /// Runs the scheduler and carries out its decisions.
  auto Tick(TimePoint now) -> void;

  auto CurrentEpoch() const -> Epoch { return this->scheduler.CurrentEpoch(); }
  auto Scheduler() const -> const scheduling::ShardScheduler& {
    return this->scheduler;
  }
  /// The time until which this process may act as the owner of the shard.
  auto AuthorityUntil() const -> TimePoint;
  /// Stops starting tasks, in preparation for the release of the shard.
  auto Drain() -> void { this->is_draining = true; }

 private:
  auto LoggedEpoch() const -> Epoch;
  auto AddJob(const journal::Job& job, TimePoint now) -> void;
  auto UpdatePolicy() -> void;
  auto Send(const scheduling::WorkerCommand& command) -> void;
  auto HandleReply(const scheduling::WorkerCommand& command,
                   TimePoint sent_at,
                   const http::Reply& reply) -> void;
  auto HandleReplyBody(const scheduling::WorkerCommand& command,
                       TimePoint sent_at,
                       const http::Reply& reply,
                       TimePoint now) -> bool;
  auto Record(const scheduling::TaskOutcome& outcome) -> void;
  auto FinishJob(const JobId& job,
                 journal::WorkOutcome outcome,
                 const std::string& reason) -> void;
  auto FinishIfComplete(const JobId& job) -> void;
  auto RetryRejectedAppends(TimePoint now) -> void;
  auto ApplyRecord(const journal::Record& record, TimePoint now) -> void;

  ShardId shard;
  std::int64_t number;
  Context context;
  scheduling::ShardScheduler scheduler;
  // The authority to act as owner; the workers are the witnesses.
  membership::Authority authority;
  std::set<WorkerId> witnesses;
  std::set<JobId> finishing;
  // Appends that the log rejected; retried after a delay.
  std::vector<std::function<void()>> rejected_appends;
  TimePoint next_append_retry;
  bool is_draining = false;
};

}  // namespace shallotbank::sched
