#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/verdict.h"
#include "rpc/messages.h"

namespace shallotbank::rpc {

/// The outcome of a call. `verdict` is kRan only after a complete response and
/// kNotRun only if no part of the call was passed to a connection.
template <typename Response>
struct CallResult {
  Verdict verdict = Verdict::kNotRun;
  std::optional<Response> response{};  ///< Only with kRan.
  std::string reason{};  ///< Short stable identifier; empty with kRan.
  std::string message{};
};

struct PeerClientOptions {
  /// From the start of a connection attempt to the response to the first ping.
  Duration connect_timeout = std::chrono::milliseconds(1000);
  /// A ping is sent when no response has arrived for this long.
  Duration ping_interval = std::chrono::milliseconds(500);
  /// A connection is replaced if a ping gets no response for this long.
  Duration ping_deadline = std::chrono::milliseconds(1000);
  Duration initial_reconnect_delay = std::chrono::milliseconds(50);
  Duration max_reconnect_delay = std::chrono::seconds(2);
  /// A connection without calls for this long is closed.
  Duration idle_timeout = std::chrono::seconds(60);
  Duration max_call_timeout = std::chrono::seconds(300);
  std::size_t max_peers = 4096;
  /// Limits on the calls in flight to one peer and on their total size.
  std::size_t max_calls_per_peer = 512;
  std::size_t max_bytes_per_peer = 8 << 20;
  /// Must be the same in all processes: a larger message makes the receiver
  /// close the connection.
  std::size_t max_message_bytes = 8 << 20;
  std::uint64_t jitter_seed = 0;  ///< 0 selects a random seed.
  Metrics* metrics = nullptr;     ///< Optional; must outlive the client.
};

/// Data carried by the connections of a client, without IP and TCP headers.
struct Traffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t segments_sent = 0;
  std::uint64_t segments_received = 0;
};

/// Calls other processes over one connection per address and runs on its own
/// thread. No call is ever sent twice. Thread-safe. Counters by reason:
/// `rpc_calls_not_run_total`, `rpc_calls_may_have_run_total`,
/// `rpc_connections_lost_total` and `rpc_connects_failed_total`;
/// `rpc_connects_total` counts connections that were established.
class PeerClient {
 public:
  template <typename Request>
  using Done = std::function<void(CallResult<typename Request::Response>)>;

  explicit PeerClient(PeerClientOptions options = {});
  /// Calls `Stop`.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  auto operator=(const PeerClient&) -> PeerClient& = delete;

  /// Starts a call to `address` ("IP:port" or "[IP]:port"). `done` runs once:
  /// on the client's thread or, if the call is refused, immediately on the
  /// calling thread with kNotRun. It must not block or throw.
  ///
  /// Reasons with kNotRun: `bad_address`, `too_large`, `peer_calls`,
  /// `peer_bytes`, `peers`, `unreachable` (the last connection attempt
  /// failed and the next one is not due), `connect_failed`, `connect_timeout`,
  /// `deadline`, `connection_lost` and `stopped`. With kMayHaveRun:
  /// `deadline`, `connection_lost`, `peer_overloaded`, `unimplemented`,
  /// `peer_failed` and `stopped`.
  template <typename Request>
  auto Call(const std::string& address,
            Request request,
            Duration timeout,
            Done<Request> done) -> void {
    using Response = typename Request::Response;
    this->Submit(
        address, AnyRequest(std::move(request)), timeout,
        [done = std::move(done)](CallResult<AnyResponse> any) {
          CallResult<Response> result{.verdict = any.verdict,
                                      .response = std::nullopt,
                                      .reason = std::move(any.reason),
                                      .message = std::move(any.message)};
          if (any.response) {
            result.response = std::get<Response>(std::move(*any.response));
          }
          done(std::move(result));
        });
  }

  /// Blocks until the client's thread has responded; zeros after `Stop`.
  auto ReadTraffic() -> Traffic;

  /// Fails all calls in flight with reason `stopped`; later calls are refused.
  /// Must not be called by `done`.
  auto Stop() -> void;

 private:
  class Impl;

  auto Submit(const std::string& address,
              AnyRequest request,
              Duration timeout,
              std::function<void(CallResult<AnyResponse>)> done) -> void;

  std::unique_ptr<Impl> impl;
};

}  // namespace shallotbank::rpc
