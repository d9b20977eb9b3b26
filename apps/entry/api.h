#pragma once

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "base/core_loop.h"
#include "base/metrics.h"
#include "base/verdict.h"
#include "daemon/common_settings.h"
#include "daemon/host_poller.h"
#include "daemon/log_view.h"
#include "daemon/peer_hub.h"
#include "http/client.h"
#include "http/message.h"
#include "http/responder.h"

namespace shallotbank::entry {

/// The objects that the services of the entry daemon share. To be used only on
/// the core loop.
struct Context {
  const daemon::CommonSettings& settings;
  ProcessId process;
  std::string operator_key_sha256;
  CoreLoop& loop;
  daemon::LogView& log;
  daemon::HostPoller& hosts;
  daemon::PeerHub& peers;
  http::Client& client;
  Metrics& metrics;
};

/// An HTTP request of a caller or operator, with the responder for its
/// response.
struct ApiCall {
  http::Request request;
  http::Responder responder;
  TimePoint received_at;
  std::string request_id;  ///< From the caller, or generated.

  /// Returns the value of a header, or an empty string.
  auto Header(const char* name) const -> std::string;
};

namespace header {
inline constexpr const char* kKey = "Shallotbank-Key";
inline constexpr const char* kTeam = "Shallotbank-Team";
inline constexpr const char* kProfile = "Shallotbank-Profile";
inline constexpr const char* kRequestId = "Shallotbank-Request-Id";
inline constexpr const char* kDeadline = "Shallotbank-Deadline-Ms";
inline constexpr const char* kOperatorKey = "Shallotbank-Operator-Key";
inline constexpr const char* kReplayed = "Shallotbank-Replayed";
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
inline constexpr const char* kHost = "Shallotbank-Host";
}  // namespace header

/// Sends a JSON response with the common headers, among them the request id.
auto Reply(const Context& context,
           ApiCall& call,
           int status,
           const nlohmann::json& body) -> void;

/// Returns the JSON body of a refusal.
auto RefusalBody(const Refusal& refusal) -> nlohmann::json;

/// Sends a refusal as the response, logs it and counts it by its reason.
auto Refuse(const Context& context,
            ApiCall& call,
            int status,
            const Refusal& refusal) -> void;

/// Returns the HTTP status for an append that did not succeed.
auto StatusOf(Verdict verdict) -> int;

/// Returns the refusal for an append to the log that failed or whose outcome is
/// unknown.
auto LogRefusal(const daemon::RecordedResult& result) -> Refusal;

}  // namespace shallotbank::entry
