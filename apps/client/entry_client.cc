#include "entry_client.h"

#include <optional>

#include "json/parse.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// The error object of an entry host that did not complete a request.
struct EntryRefusal {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  std::string description;
};

auto StringMember(const json& object, const char* name) -> std::string {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

// A response without a valid `execution` member comes from a minion, whose
// responses may have any form.
auto ParseRefusal(const http::Reply& reply) -> std::optional<EntryRefusal> {
  if (reply.IsSuccess()) {
    return std::nullopt;
  }
  const auto body = shallotbank::json::Parse(reply.body);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return std::nullopt;
  }
  const auto& error = body["error"];
  EntryRefusal refusal;
  const auto execution = StringMember(error, "execution");
  if (execution == ToText(Verdict::kMayHaveRun)) {
    refusal.verdict = Verdict::kMayHaveRun;
  } else if (execution == ToText(Verdict::kRan)) {
    refusal.verdict = Verdict::kRan;
  } else if (execution != ToText(Verdict::kNotRun)) {
    return std::nullopt;
  }
  refusal.reason = StringMember(error, "reason");
  const auto field = StringMember(error, "field");
  refusal.description = refusal.reason + ": " + StringMember(error, "message") +
                        (field.empty() ? "" : " (" + field + ")");
  for (const auto& item_error : error.value("errors", json::array())) {
    if (item_error.is_object()) {
      refusal.description += "\n  " + StringMember(item_error, "field") + ": " +
                             StringMember(item_error, "message");
    }
  }
  return refusal;
}

auto NextStep(const EntryRefusal& refusal, int status) -> std::string {
  if (refusal.verdict == Verdict::kRan) {
    return "the work was done; do not repeat it";
  }
  if (refusal.reason == "version_conflict") {
    return "read the configuration again (shallotbank show) and retry";
  }
  if (refusal.reason == "invalid_key") {
    return "check SHALLOTBANK_TEAM and SHALLOTBANK_KEY; the key may have been "
           "withdrawn, or granted less than a few seconds ago";
  }
  if (refusal.reason == "missing_header") {
    return "give --team and set SHALLOTBANK_KEY";
  }
  if (refusal.reason == "no_owner") {
    return "a scheduler takes over within seconds unless the log is down; see "
           "shallotbank hosts";
  }
  if (refusal.reason == "invalid_operator_key") {
    return "check SHALLOTBANK_OPERATOR_KEY";
  }
  if (status == kUnavailable || status == kTooManyRequests) {
    return "nothing has happened; try again later or through another entry "
           "host (--entry URL,URL)";
  }
  return status == kNotFound
             ? "check the name; shallotbank list shows jobs, shallotbank show "
               "profiles and teams"
             : "nothing has happened; correct what the message names";
}

auto ExitStatusFor(const EntryRefusal& refusal, int status) -> ExitStatus {
  if (refusal.reason == "version_conflict") {
    return ExitStatus::kConflict;
  }
  if (refusal.verdict == Verdict::kMayHaveRun) {
    return ExitStatus::kMayHaveRun;
  }
  if (refusal.verdict == Verdict::kRan) {
    return ExitStatus::kFailed;
  }
  const bool is_missing = status == kNotFound && refusal.reason != "no_owner";
  return is_missing ? ExitStatus::kNotFound : ExitStatus::kNotRun;
}

auto MayHaveRunNextStep(const EntryRequest& request) -> std::string {
  return request.retry_hint.empty()
             ? "check whether the request took effect before a retry"
             : request.retry_hint;
}

auto MakeFailure(const EntryRequest& request,
                 const std::string& entry,
                 const http::Reply& reply) -> Failure {
  const auto context = request.method + " " + entry + request.path + ": ";
  if (const auto refusal = ParseRefusal(reply)) {
    const auto status = ExitStatusFor(*refusal, reply.status);
    return {status, context + refusal->description,
            status == ExitStatus::kMayHaveRun
                ? MayHaveRunNextStep(request)
                : NextStep(*refusal, reply.status)};
  }
  const auto cause = context + reply.error;
  if (reply.verdict == Verdict::kNotRun) {
    return {ExitStatus::kNotRun, cause,
            "check the address (--entry or SHALLOTBANK_ENTRY) and that the "
            "host is up"};
  }
  if (request.method == "GET") {
    return {ExitStatus::kTimeout, cause, "retry, or use another entry host"};
  }
  return {ExitStatus::kMayHaveRun, cause, MayHaveRunNextStep(request)};
}

// Whether the request did not run here and another host may accept it.
auto ShouldTryNextHost(const EntryRequest& request, const http::Reply& reply)
    -> bool {
  const auto refusal = ParseRefusal(reply);
  if (refusal) {
    return refusal->verdict == Verdict::kNotRun &&
           (reply.status == kUnavailable || reply.status == kTooManyRequests);
  }
  const bool is_response = reply.verdict == Verdict::kRan && reply.status != 0;
  return !is_response &&
         (reply.verdict == Verdict::kNotRun || request.method == "GET");
}

}  // namespace

EntryClient::EntryClient(std::vector<std::string> entries, Duration timeout)
    : entries(std::move(entries)), timeout(timeout) {}

auto EntryClient::Send(const EntryRequest& request)
    -> leaf::result<EntryResponse> {
  Failure failure{ExitStatus::kUsage, "no entry host is given",
                  "give --entry http://IP:PORT or set SHALLOTBANK_ENTRY"};
  for (const auto& entry : this->entries) {
    auto reply = this->client.SendAndWait({.method = request.method,
                                           .url = entry + request.path,
                                           .headers = request.headers,
                                           .body = request.body,
                                           .timeout = this->timeout});
    const bool is_response =
        reply.verdict == Verdict::kRan && reply.status != 0;
    if (is_response && !ParseRefusal(reply)) {
      return EntryResponse{reply.status, std::move(reply.headers),
                           std::move(reply.body), entry};
    }
    failure = MakeFailure(request, entry, reply);
    if (!ShouldTryNextHost(request, reply)) {
      break;
    }
  }
  return leaf::new_error(std::move(failure));
}

auto EntryClient::SendForJson(const EntryRequest& request)
    -> leaf::result<json> {
  BOOST_LEAF_AUTO(response, this->Send(request));
  auto body = shallotbank::json::Parse(response.body);
  if (response.IsSuccess() && body.is_object()) {
    return body;
  }
  const bool is_read = request.method == "GET";
  return Fail(is_read ? ExitStatus::kFailed : ExitStatus::kMayHaveRun,
              request.method + " " + response.entry + request.path +
                  ": unexpected answer with status " +
                  std::to_string(response.status),
              is_read ? "check that the address is that of an entry host"
                      : MayHaveRunNextStep(request));
}

}  // namespace shallotbank::client
