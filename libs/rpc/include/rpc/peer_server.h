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

/// The server could not listen on its address.
struct ListenError {
  std::string address;
  std::string message;
};

struct PeerServerOptions {
  std::string address = "127.0.0.1";  ///< Numeric IP address.
  std::uint16_t port = 0;             ///< 0 selects any free port.
  std::size_t max_connections = 1024;
  std::size_t max_calls_per_connection = 1024;
  /// Applies to the bytes of requests in flight and, separately, to those of
  /// responses that the peer has not read yet.
  std::size_t max_waiting_bytes_per_connection = 16 << 20;
  /// Replies held by the handler, including those whose caller has
  /// disconnected.
  std::size_t max_pending_replies = 16'384;
  /// Must be the same in all processes: a larger message makes the receiver
  /// close the connection.
  std::size_t max_message_bytes = 8 << 20;
  /// A connection is closed if no call arrives on it, or if the peer does not
  /// read, for this long. A PeerClient sends pings far more often.
  Duration inactivity_timeout = std::chrono::seconds(5);
  Metrics* metrics = nullptr;  ///< Optional; must outlive the server.
};

/// A handler with an overload of `Handle(request, reply)` for each kind of
/// call. `Handle` runs on the server's thread and must not block or throw.
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

/// A Cap'n Proto RPC server that runs on its own thread. Counters:
/// `rpc_server_refused_total`, `rpc_server_closed_total` and
/// `rpc_server_late_replies_total`.
class PeerServer {
 public:
  /// `handler` must remain valid until the server is stopped or destroyed.
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

  /// Starts to listen and returns. Errors: `ListenError`.
  auto Start() -> boost::leaf::result<void>;
  /// The port in use; valid after `Start`.
  auto Port() const -> std::uint16_t;
  /// Closes the port and all connections; the handler is not called afterwards.
  /// Must not be called by the handler.
  auto Stop() -> void;

 private:
  class Impl;

  PeerServer(PeerServerOptions options,
             std::function<void(IncomingCall)> handler);

  std::unique_ptr<Impl> impl;
};

}  // namespace shallotbank::rpc
