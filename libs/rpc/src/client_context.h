#pragma once

#include <kj/timer.h>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "peer_loads.h"
#include "pending_call.h"
#include "rpc/peer_client.h"

namespace shallotbank::rpc {

inline auto operator+=(Traffic& sum, const Traffic& part) -> Traffic& {
  sum.bytes_sent += part.bytes_sent;
  sum.bytes_received += part.bytes_received;
  sum.segments_sent += part.segments_sent;
  sum.segments_received += part.segments_received;
  return sum;
}

/// State shared by the channels of one client on its event loop.
struct ClientContext {
  const PeerClientOptions& options;
  PeerCallLimiter& call_limiter;
  kj::Timer& timer;
  std::mt19937_64 random;

  auto Count(const std::string& counter, const std::string& reason) const
      -> void {
    if (this->options.metrics != nullptr) {
      this->options.metrics->Add(counter, reason);
    }
  }

  /// Completes a call that was admitted. Does nothing if the call has already
  /// been completed.
  auto Finish(PendingCall& call, CallResult<AnyResponse> result) const -> void {
    if (std::exchange(call.is_finished, true)) {
      return;
    }
    // Released before `done` runs, which may start another call.
    this->call_limiter.Release(call.address, call.bytes);
    if (result.verdict == Verdict::kNotRun) {
      this->Count("rpc_calls_not_run_total", result.reason);
    } else if (result.verdict == Verdict::kMayHaveRun) {
      this->Count("rpc_calls_may_have_run_total", result.reason);
    }
    const auto done = std::exchange(call.done, nullptr);
    done(std::move(result));
  }

  /// Completes a call without a response. The verdict is kMayHaveRun if the
  /// call was sent on a connection.
  auto Fail(PendingCall& call, std::string reason, std::string message) const
      -> void {
    this->Finish(call, {.verdict = call.is_sent ? Verdict::kMayHaveRun
                                                : Verdict::kNotRun,
                        .response = std::nullopt,
                        .reason = std::move(reason),
                        .message = std::move(message)});
  }
};

}  // namespace shallotbank::rpc
