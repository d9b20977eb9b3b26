#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/core_loop.h"
#include "base/ids.h"
#include "base/metrics.h"
#include "membership/peer_table.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

namespace shallotbank::daemon {

struct PeerHubOptions {
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  /// RPC addresses of other daemons, from the settings. Further daemons become
  /// known when they send a heartbeat to this one.
  std::vector<std::string> seeds;
  /// Interval between the heartbeats to seeds that are not known as peers yet.
  Duration seed_interval = std::chrono::milliseconds(250);
  /// A heartbeat that gets no response within this time has failed.
  Duration heartbeat_timeout = std::chrono::seconds(1);
};

/// The latest known state of another daemon.
struct PeerInfo {
  rpc::PeerState state;
  std::string address;
  TimePoint last_heard;
  /// The peer is suspected or has departed. The suspicion may be wrong.
  bool is_suspected = false;
};

/// Connects a daemon to its peers: serves their RPC calls, calls them and
/// exchanges heartbeats. Apart from the internal RPC threads, all functions and
/// handlers run on the core loop's thread.
class PeerHub {
 public:
  template <typename Request>
  using Handler =
      std::function<void(Request, rpc::Reply<typename Request::Response>)>;

  /// Handlers for the calls of peers. Calls without a handler fail with an
  /// error.
  struct Handlers {
    std::function<rpc::PeerState()> describe_self;
    Handler<rpc::WitnessRequest> witness;
    Handler<rpc::ReadRecordsRequest> read_records;
    Handler<rpc::JobStatusRequest> job_status;
    Handler<rpc::ListJobsRequest> list_jobs;
    Handler<rpc::ForwardRequest> forward;
    Handler<rpc::ExplainRequest> explain;
    /// Called after each accepted heartbeat or heartbeat response of a peer.
    std::function<void(const PeerInfo&)> peer_updated;
  };

  PeerHub(ProcessId self,
          PeerHubOptions options,
          CoreLoop& loop,
          Metrics& metrics);
  ~PeerHub();

  /// Starts the RPC server. Errors: `rpc::ListenError`.
  auto Start(Handlers new_handlers) -> boost::leaf::result<void>;
  /// The address and port on which the RPC server listens.
  auto Address() const -> std::string;
  /// Updates the suspicion of peers and sends the heartbeats that are due.
  auto Tick(TimePoint now) -> void;
  auto Stop() -> void;

  auto Peers() const -> const std::map<ProcessId, PeerInfo>& {
    return this->peers;
  }
  auto Find(const ProcessId& process) const -> const PeerInfo*;
  /// The liveness of the peers and the freshness of the local replica of the
  /// log.
  auto Table() -> membership::PeerTable& { return this->table; }

  /// Calls a peer; `callback` runs on the core loop.
  template <typename Request>
  auto Call(
      const std::string& address,
      Request request,
      Duration timeout,
      std::function<void(rpc::CallResult<typename Request::Response>)> callback)
      -> void {
    using Result = rpc::CallResult<typename Request::Response>;
    this->client.Call<Request>(
        address, std::move(request), timeout,
        [this, callback = std::move(callback)](Result result) {
          auto shared = std::make_shared<Result>(std::move(result));
          this->loop.PostBlocking(
              [callback, shared] { callback(std::move(*shared)); });
        });
  }

 private:
  class Dispatcher;

  auto UpdatePeer(const rpc::PeerState& state, TimePoint now) -> void;
  auto UpdateSuspicion(TimePoint now) -> void;
  auto SendHeartbeat(const std::string& address) -> void;

  PeerHubOptions options;
  CoreLoop& loop;
  Metrics& metrics;
  Handlers handlers;
  std::map<ProcessId, PeerInfo> peers;
  membership::PeerTable table;
  std::map<std::string, bool> heartbeat_in_flight;
  TimePoint next_seed_heartbeats;
  std::unique_ptr<Dispatcher> dispatcher;
  rpc::PeerClient client;
  std::unique_ptr<rpc::PeerServer> server;
};

}  // namespace shallotbank::daemon
