// Executes the actions of the router for the request service.

#include <algorithm>

#include "base/log.h"
#include "configuration/configuration.h"
#include "request_service.h"

namespace shallotbank::entry {
namespace {

using std::chrono::milliseconds;

constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

auto StatusFor(routing::RefusalReason reason, Verdict verdict) -> int {
  if (verdict != Verdict::kNotRun) {
    return kGatewayTimeout;
  }
  switch (reason) {
    case routing::RefusalReason::kQueueFull:
    case routing::RefusalReason::kTeamQueueShare:
    case routing::RefusalReason::kDisplaced:
    case routing::RefusalReason::kWouldMissDeadline:
      return kTooManyRequests;
    case routing::RefusalReason::kDuplicateRequest:
      return kConflict;
    default:
      return kUnavailable;
  }
}

}  // namespace

auto RequestService::Execute(const routing::Actions& actions) -> void {
  for (const auto& action : actions) {
    std::visit([this](const auto& one) { this->Execute(one); }, action);
  }
}

auto RequestService::Execute(const routing::Dispatch& dispatch) -> void {
  const auto sent_at = SystemClock().Now();
  const auto& hosts = this->context.hosts.Table().Hosts();
  const auto host = hosts.find(dispatch.minion.Text());
  const auto request = this->pending_requests.find(dispatch.request);
  if (host == hosts.end() || request == this->pending_requests.end() ||
      sent_at >= dispatch.authority_until) {
    this->CompleteUnsentAttempt(dispatch.attempt);
    return;
  }
  const auto& entry = request->second;
  http::Call call{.method = "POST",
                  .url = host->second.url + "/requests",
                  .headers = {{"Content-Type", "application/json"},
                              {header::kRequestId, entry.caller_id},
                              {header::kProfile, entry.profile.Text()}},
                  .body = entry.body,
                  .timeout = std::max(dispatch.deadline - sent_at,
                                      Duration(milliseconds(1))),
                  .idempotent = entry.request.idempotent};
  const auto attempt = dispatch.attempt;
  this->context.client.Send(
      std::move(call), [this, attempt, sent_at](http::Reply reply) {
        auto shared = std::make_shared<http::Reply>(std::move(reply));
        this->context.loop.PostBlocking([this, attempt, sent_at, shared] {
          this->Complete(attempt, sent_at, std::move(*shared));
        });
      });
}

auto RequestService::Execute(const routing::Overflow& overflow) -> void {
  const auto sent_at = SystemClock().Now();
  const auto* peer = this->context.peers.Find(overflow.peer);
  const auto request = this->pending_requests.find(overflow.request);
  if (peer == nullptr || request == this->pending_requests.end()) {
    this->CompleteUnsentAttempt(overflow.attempt);
    return;
  }
  const auto& entry = request->second;
  const auto time_left = overflow.deadline - sent_at;
  const auto attempt = overflow.attempt;
  this->context.peers.Call<rpc::ForwardRequest>(
      peer->address,
      {.service = entry.request.service,
       .team = entry.request.team,
       .profile = entry.profile,
       .request_id = RequestId(entry.caller_id),
       .deadline_left = time_left,
       .idempotent = entry.request.idempotent,
       .body = entry.body,
       .headers = {}},
      time_left,
      [this, attempt, sent_at](rpc::CallResult<rpc::ForwardResponse> result) {
        http::Reply reply{.verdict = result.verdict, .error = result.reason};
        if (result.response) {
          reply.verdict = result.response->verdict;
          reply.status = result.response->status;
          reply.body = std::move(result.response->body);
          reply.error = result.response->reason;
          for (auto& header : result.response->headers) {
            reply.headers.push_back({header.name, header.value});
          }
        }
        this->Complete(attempt, sent_at, std::move(reply));
      });
}

auto RequestService::CompleteUnsentAttempt(routing::AttemptId attempt) -> void {
  const routing::Outcome outcome{.verdict = Verdict::kNotRun, .not_sent = true};
  this->current_reply = {};
  this->Execute(this->router.Complete(attempt, outcome, SystemClock().Now()));
}

auto RequestService::Complete(routing::AttemptId attempt,
                              TimePoint sent_at,
                              http::Reply reply) -> void {
  const auto now = SystemClock().Now();
  const routing::Outcome outcome{.verdict = reply.verdict,
                                 .status = reply.status,
                                 .latency = now - sent_at};
  this->current_reply = std::move(reply);
  this->Execute(this->router.Complete(attempt, outcome, now));
}

auto RequestService::Execute(const routing::Answer& answer) -> void {
  auto found = this->pending_requests.extract(answer.request);
  if (found.empty()) {
    return;
  }
  auto& request = found.mapped();
  const auto& reply = this->current_reply;
  const auto* content_type_header =
      http::FindHeader(reply.headers, "Content-Type");
  const std::string content_type = content_type_header == nullptr
                                       ? "application/octet-stream"
                                       : *content_type_header;
  this->context.metrics.Observe("request_latency_seconds",
                                SystemClock().Now() - request.received_at);
  if (request.peer) {
    request.peer->Send({.verdict = Verdict::kRan,
                        .status = static_cast<std::uint16_t>(reply.status),
                        .headers = {{"Content-Type", content_type}},
                        .body = reply.body,
                        .reason = ""});
    return;
  }
  if (request.token) {
    this->RecordOutcome(request);
  }
  const bool is_sent = request.call->responder.Send(
      {reply.status,
       {{"Content-Type", content_type},
        {header::kRequestId, request.caller_id},
        {header::kHost, this->context.settings.host}},
       reply.body});
  if (!is_sent) {
    this->context.metrics.Add("http_answers_undeliverable_total");
  }
}

auto RequestService::RecordOutcome(const PendingRequest& request) -> void {
  const auto& reply = this->current_reply;
  const auto* content_type_header =
      http::FindHeader(reply.headers, "Content-Type");
  journal::RequestOutcome outcome;
  outcome.team = request.request.team;
  outcome.request = RequestId(request.caller_id);
  outcome.token = *request.token;
  outcome.status = reply.status;
  outcome.content_type =
      content_type_header == nullptr ? "" : *content_type_header;
  outcome.body_digest = configuration::Sha256Hex(reply.body);
  if (reply.body.size() <= journal::kMaxAnswerBytes) {
    outcome.body = reply.body;
  }
  this->context.log.Append({std::move(outcome)}, TimePoint::max(),
                           [](const daemon::RecordedResult&) {});
}

auto RequestService::Execute(const routing::Refuse& refuse) -> void {
  auto found = this->pending_requests.extract(refuse.request);
  if (found.empty()) {
    return;
  }
  auto& request = found.mapped();
  if (request.peer) {
    request.peer->Send({.verdict = refuse.refusal.verdict,
                        .status = 0,
                        .headers = {},
                        .body = "",
                        .reason = refuse.refusal.reason});
    return;
  }
  const auto status = StatusFor(refuse.reason, refuse.refusal.verdict);
  if (request.token && refuse.refusal.verdict == Verdict::kNotRun) {
    // The id is already in the log. Without an outcome record, the response to
    // a duplicate would say that the request may have run.
    this->current_reply = {.status = status,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = RefusalBody(refuse.refusal).dump()};
    this->RecordOutcome(request);
  }
  Refuse(this->context, *request.call, status, refuse.refusal);
}

auto RequestService::Execute(const routing::Eject& eject) -> void {
  LogEvent(Event::kMinionEjected,
           {{"minion", eject.minion.Text()},
            {"reason", std::string(routing::ToText(eject.reason))}});
}

auto RequestService::Execute(const routing::Restore& restore) -> void {
  LogEvent(Event::kMinionRestored, {{"minion", restore.minion.Text()}});
}

}  // namespace shallotbank::entry
