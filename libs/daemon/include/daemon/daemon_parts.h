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

/// Who a daemon is.
struct Identity {
  ProcessId process;
  std::uint64_t incarnation = 0;
  rpc::Role role = rpc::Role::kEntry;
};

/// What every daemon tells its peers about itself.
auto DescribeDaemon(const Identity& identity,
                    const CommonSettings& settings,
                    const http::Server& server,
                    const PeerHub& peers,
                    const LogView& log,
                    const ResourceClaimer& claimer) -> rpc::PeerState;

/// Serves recent records of the log to peers that cannot read it.
auto ServeRecords(const LogView& log)
    -> PeerHub::Handler<rpc::ReadRecordsRequest>;

/// Listens for peers and for HTTP; false, with a message on stderr, if an
/// address cannot be used.
auto StartServers(PeerHub& peers,
                  PeerHub::Handlers handlers,
                  http::Server& server) -> bool;

/// Runs `run` with the common settings and reports bad ones on stderr. Returns
/// the exit code.
auto RunWithSettings(
    const Settings& settings,
    const std::function<boost::leaf::result<int>(CommonSettings)>& run) -> int;

}  // namespace shallotbank::daemon
