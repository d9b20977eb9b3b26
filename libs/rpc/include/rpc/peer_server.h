#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/metrics.h"
#include "rpc/reply.h"

namespace shallotbank::rpc {

/// The address of a server could not be used.
struct ListenError {
  std::string address;
  std::string message;
};

struct PeerServerOptions {
  std::string address = "127.0.0.1";  ///< Numeric IP address.
  std::uint16_t port = 0;             ///< 0 takes any free port.
  std::size_t max_connections = 1024;
  std::size_t max_open_calls_per_connection = 1024;
  /// Bytes of open requests, and separately of answers that the peer has not
  /// read yet.
  std::size_t max_waiting_bytes_per_connection = 16 << 20;
  /// Replies held by the handler, including those whose caller has gone.
  std::size_t max_open_calls = 16'384;
  /// The same for all processes; a larger message costs the connection.
  std::size_t max_message_bytes = 8 << 20;
  /// A connection without a call for this long, or whose peer has not read for
  /// this long, is closed. A PeerClient pings far more often.
  Duration silence_limit = std::chrono::seconds(5);
  Metrics* metrics = nullptr;  ///< Optional; must outlive the server.
};

/// Handles each kind of call by `handler.Handle(request, reply)`. Runs on the
/// server's thread; must not block or throw.
template <typename T, typename Request>
concept Handles = requires(T& handler,
                           Request request,
                           Reply<typename Request::Response> reply) {
  handler.Handle(std::move(request), std::move(reply));
};
template <typename T>
concept PeerHandler = Handles<T, HeartbeatRequest> &&
    Handles<T, WitnessRequest> && Handles<T, ReadRecordsRequest> &&
    Handles<T, JobStatusRequest> && Handles<T, ListJobsRequest> &&
    Handles<T, ForwardRequest> && Handles<T, ExplainRequest>;

/// A Cap'n Proto RPC server on one thread of its own. Counters:
/// `rpc_server_refused_total`, `rpc_server_closed_total` and
/// `rpc_server_late_replies_total`.
class PeerServer {
 public:
  /// `handler` must outlive the server or its Stop.
  template <PeerHandler Handler>
  PeerServer(PeerServerOptions options, Handler& handler)
      : PeerServer(std::move(options), [&handler](IncomingCall call) {
          std::visit(
              [&handler](auto& incoming) {
                handler.Handle(std::move(incoming.request),
                               std::move(incoming.reply));
              },
              call);
        }) {}
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  auto operator=(const PeerServer&) -> PeerServer& = delete;

  /// Listens and returns. Errors: `ListenError`.
  auto Start() -> boost::leaf::result<void>;
  /// The port in use, after Start.
  auto Port() const -> std::uint16_t;
  /// Closes the port and all connections; no handler runs afterwards. Not to
  /// be called by the handler.
  auto Stop() -> void;

 private:
  class Impl;

  PeerServer(PeerServerOptions options,
             std::function<void(IncomingCall)> handler);

  std::unique_ptr<Impl> impl;
};

}  // namespace shallotbank::rpc
