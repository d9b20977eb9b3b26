#include "daemon/daemon_parts.h"

#include <cstdio>

#include "base/process.h"

namespace shallotbank::daemon {

namespace leaf = boost::leaf;

auto DescribeDaemon(const Identity& identity,
                    const CommonSettings& settings,
                    const http::Server& server,
                    const PeerHub& peers,
                    const LogView& log,
                    const ResourceClaimer& claimer) -> rpc::PeerState {
  rpc::PeerState state;
  state.process = identity.process;
  state.incarnation = identity.incarnation;
  state.host = settings.host;
  state.role = identity.role;
  state.http_address =
      settings.http.address + ":" + std::to_string(server.Port());
  state.rpc_address = peers.Address();
  state.failure_domain = settings.domain;
  state.log_head = log.Head();
  state.log_age = SystemClock().Now() - log.LastCurrentRead();
  state.owned = claimer.Owned();
  return state;
}

auto ServeRecords(const LogView& log)
    -> PeerHub::Handler<rpc::ReadRecordsRequest> {
  return [&log](const rpc::ReadRecordsRequest& request,
                rpc::Reply<rpc::ReadRecordsResponse> reply) {
    rpc::ReadRecordsResponse response;
    for (auto& record : log.RecentRecords(request.from, request.max)) {
      response.records.push_back({record.offset, std::move(record.data)});
    }
    response.next = log.Head() + 1;
    reply.Send(std::move(response));
  };
}

auto StartServers(PeerHub& peers,
                  PeerHub::Handlers handlers,
                  http::Server& server) -> bool {
  const auto peers_started = peers.Start(std::move(handlers));
  if (!peers_started) {
    std::fprintf(stderr, "--rpc: the address cannot be used for listening\n");
    return false;
  }
  const auto server_started = server.Start();
  if (!server_started) {
    std::fprintf(stderr, "--http: the address cannot be used for listening\n");
    return false;
  }
  return true;
}

auto RunWithSettings(
    const Settings& settings,
    const std::function<leaf::result<int>(CommonSettings)>& run) -> int {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(common, ReadCommonSettings(settings));
        return run(std::move(common));
      },
      [](const SettingsError& error) {
        std::fprintf(stderr, "%s: %s\n", error.setting.c_str(),
                     error.message.c_str());
        return static_cast<int>(kExitUsage);
      },
      [] { return static_cast<int>(kExitFailure); });
}

}  // namespace shallotbank::daemon
