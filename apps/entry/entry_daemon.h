#pragma once

#include <atomic>
#include <string>

#include "api.h"
#include "authorization.h"
#include "configuration_service.h"
#include "daemon/resource_claimer.h"
#include "http/server.h"
#include "job_service.h"
#include "minion_groups.h"
#include "request_service.h"
#include "status_service.h"

namespace shallotbank::entry {

/// The daemon of an entry host: serves the HTTP interface for callers and
/// operators and forwards requests to minions.
class EntryDaemon {
 public:
  EntryDaemon(daemon::CommonSettings settings,
              std::string operator_key_sha256,
              std::int64_t max_request_bytes);

  /// Runs until a stop signal and the graceful shutdown after it; returns the
  /// exit code.
  auto Run() -> int;

 private:
  auto MakeHandlers() -> daemon::PeerHub::Handlers;
  auto DescribeSelf() -> rpc::PeerState;
  auto HandleHttp(http::Request request, http::Responder responder) -> void;
  auto Route(ApiCall call) -> void;
  auto RouteJob(ApiCall call, const std::string& id) -> void;
  auto Tick() -> void;
  auto CheckStop(TimePoint now) -> void;
  auto IsReady() -> bool;

  daemon::CommonSettings settings;
  ProcessId process;
  std::uint64_t incarnation = daemon::MakeIncarnation();
  Metrics metrics;
  CoreLoop loop;
  http::Client client;
  daemon::LogView log;
  daemon::HostPoller hosts;
  daemon::PeerHub peers;
  Context context;
  Authorization authorization;
  MinionGroups groups;
  RequestService requests;
  JobService jobs;
  ConfigurationService configuration;
  StatusService status;
  daemon::ResourceClaimer claimer;
  http::Server server;
  std::atomic<bool> is_stopping{false};
  std::atomic<bool> is_ready{false};
  std::atomic<std::uint64_t> next_call{1};
  TimePoint stop_requested_at;
  bool is_release_requested = false;
};

}  // namespace shallotbank::entry
