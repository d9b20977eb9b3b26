#pragma once

#include <cstdint>
#include <functional>

#include <boost/leaf.hpp>

#include "base/settings.h"
#include "daemon/common_settings.h"
#include "daemon/log_view.h"
#include "daemon/peer_hub.h"
#include "daemon/resource_claimer.h"
#include "http/server.h"

namespace shallotbank::daemon {

/// Identifies one incarnation of a daemon.
struct Identity {
  ProcessId process;
  std::uint64_t incarnation = 0;
  rpc::Role role = rpc::Role::kEntry;
};

/// Returns the state that every daemon reports to its peers in heartbeats.
auto DescribeDaemon(const Identity& identity,
                    const CommonSettings& settings,
                    const http::Server& server,
                    const PeerHub& peers,
                    const LogView& log,
                    const ResourceClaimer& claimer) -> rpc::PeerState;

/// Returns a handler that serves recent log records to peers that cannot read
/// the log themselves.
auto ServeRecords(const LogView& log)
    -> PeerHub::Handler<rpc::ReadRecordsRequest>;

/// Starts the RPC and the HTTP server. If an address cannot be bound, prints an
/// error to stderr and returns false.
auto StartServers(PeerHub& peers,
                  PeerHub::Handlers handlers,
                  http::Server& server) -> bool;

/// Calls `run` with the common settings and returns its exit code. Prints
/// invalid settings to stderr and returns `kExitUsage`.
auto RunWithSettings(
    const Settings& settings,
    const std::function<boost::leaf::result<int>(CommonSettings)>& run) -> int;

}  // namespace shallotbank::daemon
