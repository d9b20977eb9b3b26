#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/metrics.h"
#include "http/message.h"
#include "http/responder.h"

namespace shallotbank::http {

/// The address of a server could not be used.
struct ListenError {
  std::string address;
  std::string message;
};

struct ServerOptions {
  std::string address = "127.0.0.1";  ///< Numeric IP address.
  std::uint16_t port = 0;             ///< 0 selects any free port.
  int threads = 2;
  std::size_t max_connections = 4096;  ///< Each takes two file descriptors.
  std::size_t max_header_bytes = 32 << 10;
  std::size_t max_request_bytes = 1 << 20;  ///< Of the body.
  std::size_t max_waiting_bytes_per_connection = 4 << 20;
  std::size_t max_pipelined_requests = 64;
  /// From the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(5);
  /// From the end of the header to the end of the body.
  Duration body_timeout = std::chrono::seconds(10);
  /// A connection that receives no request for this long is closed.
  Duration keep_alive_timeout = std::chrono::seconds(60);
  /// A connection whose client reads no byte of a response for this long is
  /// closed.
  Duration write_timeout = std::chrono::seconds(10);
  Metrics* metrics = nullptr;  ///< Optional; must outlive the server.
};

/// An HTTP/1.1 server on Pistache whose responses are written to a duplicate of
/// the socket that the request came from.
class Server {
 public:
  /// Runs on one of the server's threads; must not block.
  using Handler = std::function<void(Request, Responder)>;

  Server(ServerOptions options, Handler handler);
  ~Server();

  /// Listens and returns. Errors: `ListenError`.
  auto Start() -> boost::leaf::result<void>;
  /// The port in use, after Start.
  auto Port() const -> std::uint16_t;
  /// Requests passed to the handler whose response is not yet fully sent.
  auto OpenRequests() const -> std::size_t;
  /// Refuses new connections, closes idle ones and serves further requests on
  /// persistent ones with `Connection: close`. Waits until no request is in
  /// flight and no connection can deliver another, or `deadline` has passed.
  /// Returns the number of requests left, which get the response 504 "dropped".
  auto Drain(Duration deadline) -> std::size_t;
  /// Closes all connections.
  auto Stop() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace shallotbank::http
