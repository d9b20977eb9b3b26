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
  std::uint16_t port = 0;             ///< 0 takes any free port.
  int threads = 2;
  std::size_t max_request_bytes = 1 << 20;
  std::size_t max_waiting_bytes_per_connection = 4 << 20;
  std::size_t max_pipelined_requests = 64;
  Duration header_timeout = std::chrono::seconds(5);
  Duration body_timeout = std::chrono::seconds(10);
  Duration keep_alive_timeout = std::chrono::seconds(60);
  Metrics* metrics = nullptr;  ///< Optional; must outlive the server.
};

/// An HTTP/1.1 server on Pistache whose answers are written to a duplicate of
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
  /// Requests that were handed to the handler and are not yet fully answered.
  auto OpenRequests() const -> std::size_t;
  /// Answers from now on carry `Connection: close`; waits until no request is
  /// open or `deadline` has passed. Returns the number of requests left.
  auto Drain(Duration deadline) -> std::size_t;
  /// Closes all connections.
  auto Stop() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace shallotbank::http
