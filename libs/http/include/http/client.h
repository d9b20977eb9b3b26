#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/verdict.h"
#include "http/message.h"

namespace shallotbank::http {

struct Call {
  std::string method = "GET";
  std::string url;
  std::vector<Header> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);
  std::size_t max_response_bytes = 8 << 20;
  /// Whether the call may run twice. Such a call may use a kept connection and
  /// is repeated by libcurl if that turns out closed. Any other call gets a
  /// connection of its own and its request is sent at most once. GET and HEAD
  /// always count as idempotent.
  bool idempotent = false;
};

/// The outcome of a call. `verdict` is kRan only for a whole answer, kNotRun
/// only if no byte of the request can have left.
struct Reply {
  Verdict verdict = Verdict::kNotRun;
  int status = 0;  ///< 0 without a whole answer.
  std::vector<Header> headers;
  std::string body;
  std::string error;  ///< Empty for a whole answer.

  auto IsSuccess() const -> bool {
    return this->status >= 200 && this->status < 300;
  }
};

struct ClientOptions {
  std::size_t max_queued_calls = 10'000;
  long max_connections_per_host = 64;
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// A kept connection older than this is not used again.
  Duration max_connection_age = std::chrono::seconds(60);
};

/// Sends calls through libcurl on one thread of its own. Nothing is retried
/// except a call on a kept connection that was found closed before a byte of
/// the request left.
class Client {
 public:
  using Done = std::function<void(Reply)>;

  explicit Client(ClientOptions options = {});
  /// Ends open calls; their `done` gets verdict kMayHaveRun or kNotRun.
  ~Client();

  /// Starts a call; `done` runs once, on the client's thread, or at once with
  /// kNotRun if the queue is full.
  auto Send(Call call, Done done) -> void;
  /// Waits for the reply. Not to be called on the client's thread.
  auto SendAndWait(Call call) -> Reply;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace shallotbank::http
