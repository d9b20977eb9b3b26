#pragma once

#include <atomic>
#include <map>
#include <memory>

#include "base/core_loop.h"
#include "base/metrics.h"
#include "daemon/common_settings.h"
#include "daemon/host_poller.h"
#include "daemon/log_view.h"
#include "daemon/peer_hub.h"
#include "daemon/resource_claimer.h"
#include "daemon/snapshot_writer.h"
#include "http/client.h"
#include "http/server.h"
#include "shard_runner.h"

namespace shallotbank::sched {

/// The scheduler daemon of an entry host: claims shards and runs a
/// `ShardRunner` for each shard that it owns.
class SchedDaemon {
 public:
  SchedDaemon(daemon::CommonSettings settings, Duration log_retention);

  /// Runs until a stop signal and the graceful shutdown after it; returns the
  /// exit code.
  auto Run() -> int;

 private:
  auto MakeHandlers() -> daemon::PeerHub::Handlers;
  auto DescribeSelf() -> rpc::PeerState;
  auto Tick() -> void;
  auto CheckStop(TimePoint now) -> void;
  auto UpdateResources() -> void;
  auto HandleGained(const ResourceId& resource, Epoch epoch, bool is_takeover)
      -> void;
  auto HandleHttp(const http::Request& request, http::Responder responder)
      -> void;
  auto FindRunner(const ShardId& shard) const -> const ShardRunner*;
  auto HandleJobStatus(const rpc::JobStatusRequest& request)
      -> rpc::JobStatusResponse;
  auto HandleListJobs(const rpc::ListJobsRequest& request)
      -> rpc::ListJobsResponse;
  auto HandleExplain(const rpc::ExplainRequest& request)
      -> rpc::ExplainResponse;

  daemon::CommonSettings settings;
  ProcessId process;
  std::uint64_t incarnation = daemon::MakeIncarnation();
  Metrics metrics;
  CoreLoop loop;
  http::Client client;
  daemon::LogView log;
  daemon::HostPoller hosts;
  daemon::PeerHub peers;
  daemon::ResourceClaimer claimer;
  std::map<ResourceId, std::shared_ptr<ShardRunner>> runners;
  daemon::SnapshotWriter snapshots;
  http::Server server;
  TimePoint stop_requested_at;
  std::atomic<bool> is_stopping{false};
  bool is_release_requested = false;
};

}  // namespace shallotbank::sched
