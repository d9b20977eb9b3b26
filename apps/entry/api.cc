#include "api.h"

#include "base/log.h"

namespace shallotbank::entry {
namespace {

auto WithCommonHeaders(const Context& context,
                       const ApiCall& call,
                       int status,
                       const nlohmann::json& body) -> http::Response {
  return {status,
          {{"Content-Type", "application/json"},
           {header::kRequestId, call.request_id},
           {header::kHost, context.settings.host}},
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace

auto ApiCall::Header(const char* name) const -> std::string {
  const auto* value = this->request.FindHeader(name);
  return value == nullptr ? "" : *value;
}

auto Reply(const Context& context,
           ApiCall& call,
           int status,
           const nlohmann::json& body) -> void {
  if (!call.responder.Send(WithCommonHeaders(context, call, status, body))) {
    context.metrics.Add("http_answers_undeliverable_total");
  }
}

auto Refuse(const Context& context,
            ApiCall& call,
            int status,
            const Refusal& refusal) -> void {
  context.metrics.Add("refusals_total", refusal.reason);
  LogEvent(Event::kRequestRefused,
           {{"request", call.request_id},
            {"reason", refusal.reason},
            {"execution", std::string(ToText(refusal.verdict))}});
  Reply(context, call, status, RefusalBody(refusal));
}

auto RefusalBody(const Refusal& refusal) -> nlohmann::json {
  return {{"error",
           {{"reason", refusal.reason},
            {"field", refusal.field},
            {"message", refusal.message},
            {"execution", ToText(refusal.verdict)}}}};
}

auto StatusOf(Verdict verdict) -> int {
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  return verdict == Verdict::kNotRun ? kUnavailable : kGatewayTimeout;
}

auto LogRefusal(const daemon::RecordedResult& result) -> Refusal {
  if (result.verdict == Verdict::kNotRun) {
    return {Verdict::kNotRun, "log_unavailable", "",
            "the platform's log does not take records now (" + result.reason +
                "); try again later"};
  }
  return {Verdict::kMayHaveRun, "log_answer_missing", "",
          "the platform's log has not answered; ask for the outcome later"};
}

}  // namespace shallotbank::entry
