#pragma once

#include <cstddef>
#include <cstdint>
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
  /// Whether the call may run twice. Such a call may reuse a persistent
  /// connection and is retried by libcurl if that connection turns out to be
  /// closed. Any other call gets a new connection and its request is sent at
  /// most once. GET and HEAD always count as idempotent.
  bool idempotent = false;
};

/// The outcome of a call. `verdict` is kRan only for a complete response,
/// kNotRun only if no byte of the request can have been sent.
struct Reply {
  Verdict verdict = Verdict::kNotRun;
  int status = 0;  ///< 0 without a complete response.
  std::vector<Header> headers;
  std::string body;
  std::string error;  ///< Empty for a complete response.
  /// How often the request was sent, without copies that were refused. With
  /// more than one, another copy got no response and may run as well, whatever
  /// the response says.
  int send_count = 0;

  /// Whether a copy of the request may have run, or may still run, that the
  /// response says nothing about.
  auto HasUnansweredCopy() const -> bool {
    return this->verdict == Verdict::kMayHaveRun || this->send_count > 1;
  }
  auto IsSuccess() const -> bool {
    return this->status >= 200 && this->status < 300;
  }
};

struct ClientOptions {
  std::size_t max_queued_calls = 10'000;
  long max_connections_per_host = 64;
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// A persistent connection older than this is not reused.
  Duration max_connection_age = std::chrono::seconds(60);
};

/// Work of a client's thread since its start.
struct ClientStats {
  std::uint64_t calls = 0;  ///< Ended, successfully or not.
  /// Returns from waiting for sockets, timers or new calls.
  std::uint64_t wakeups = 0;
  Duration busy{};            ///< Time outside of waiting.
  Duration processor_time{};  ///< Of the thread, including waits and wakeups.
};

/// Sends calls through libcurl on a dedicated thread. Nothing is retried
/// except a call on a reused connection that was found closed before a byte of
/// the request was sent.
class Client {
 public:
  using Done = std::function<void(Reply)>;

  explicit Client(ClientOptions options = {});
  /// Fails the calls in flight; their `done` gets verdict kMayHaveRun or
  /// kNotRun.
  ~Client();

  /// Starts a call; `done` runs once, on the client's thread, or at once with
  /// kNotRun if the queue is full.
  auto Send(Call call, Done done) -> void;
  /// Waits for the reply. Must not be called on the client's thread.
  auto SendAndWait(Call call) -> Reply;
  /// May be called on any thread.
  auto Stats() const -> ClientStats;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace shallotbank::http
