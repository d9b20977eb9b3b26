#include <fstream>
#include <sstream>

#include "command.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

auto ReadBody(Session& session) -> leaf::result<std::string> {
  const auto& arguments = session.options.Arguments();
  std::ostringstream body;
  if (arguments.size() < 2 || arguments[1] == "-") {
    body << session.in.rdbuf();
    return body.str();
  }
  std::ifstream file(arguments[1], std::ios::binary);
  if (!file) {
    return Fail(ExitStatus::kUsage, "cannot read " + arguments[1]);
  }
  body << file.rdbuf();
  return body.str();
}

auto PrintResponse(Session& session,
                   const EntryResponse& response,
                   bool is_replayed) -> void {
  if (!session.options.Has("json")) {
    session.out << response.body;
    if (!response.body.ends_with("\n")) {
      session.out << "\n";
    }
    if (is_replayed) {
      session.err << "this is the answer of the first run; the request was "
                     "not run again\n";
    }
    return;
  }
  const auto* id = http::FindHeader(response.headers, "Shallotbank-Request-Id");
  const auto* host = http::FindHeader(response.headers, "Shallotbank-Host");
  session.out << json{{"status", response.status},
                      {"request_id", id == nullptr ? "" : *id},
                      {"host", host == nullptr ? "" : *host},
                      {"replayed", is_replayed},
                      {"body", response.body}}
                     .dump(2, ' ', false, json::error_handler_t::replace)
              << "\n";
}

auto SendRequest(Session& session) -> leaf::result<void> {
  const auto& options = session.options;
  BOOST_LEAF_AUTO(body, ReadBody(session));
  BOOST_LEAF_AUTO(headers, TeamHeaders(options));
  const auto id =
      options.Has("request-id") ? options.String("request-id") : RandomId();
  headers.push_back({"Shallotbank-Profile", options.Arguments().front()});
  headers.push_back({"Shallotbank-Request-Id", id});
  headers.push_back({"Content-Type", "application/json"});
  if (options.Has("deadline")) {
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
        options.DurationOr("deadline", {}));
    headers.push_back(
        {"Shallotbank-Deadline-Ms", std::to_string(deadline.count())});
  }
  BOOST_LEAF_AUTO(
      response,
      session.entry.Send(
          {.method = "POST",
           .path = "/v1/requests",
           .headers = headers,
           .body = body,
           .retry_hint = "repeat the same request with --request-id " + id +
                         ": a request of a non-idempotent profile is never run "
                         "twice under one id"}));
  const auto* replayed =
      http::FindHeader(response.headers, "Shallotbank-Replayed");
  PrintResponse(session, response, replayed != nullptr && *replayed == "true");
  if (!response.IsSuccess()) {
    return Fail(ExitStatus::kFailed, "the minion answered with status " +
                                         std::to_string(response.status));
  }
  return {};
}

}  // namespace

auto RequestCommands() -> std::vector<Command> {
  return {{.name = "request",
           .arguments = "PROFILE [FILE]",
           .summary = "Sends a request to a minion and prints its answer.",
           .details =
               "The body is read from FILE, or from standard input if FILE is\n"
               "missing or -. The answer is printed unchanged.\n"
               "Profiles of open queues need no key.\n",
           .flags = {"team", "key-file", "request-id", "deadline"},
           .min_arguments = 1,
           .max_arguments = 2,
           .run = SendRequest}};
}

}  // namespace shallotbank::client
