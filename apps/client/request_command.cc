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

auto PrintAnswer(Session& session, const EntryAnswer& answer, bool is_replayed)
    -> void {
  if (!session.options.Has("json")) {
    session.out << answer.body;
    if (!answer.body.ends_with("\n")) {
      session.out << "\n";
    }
    if (is_replayed) {
      session.err << "this is the answer of the first run; the request was "
                     "not run again\n";
    }
    return;
  }
  const auto* id = http::FindHeader(answer.headers, "Shallotbank-Request-Id");
  const auto* host = http::FindHeader(answer.headers, "Shallotbank-Host");
  session.out << json{{"status", answer.status},
                      {"request_id", id == nullptr ? "" : *id},
                      {"host", host == nullptr ? "" : *host},
                      {"replayed", is_replayed},
                      {"body", answer.body}}
                     .dump(2, ' ', false, json::error_handler_t::replace)
              << "\n";
}

auto Request(Session& session) -> leaf::result<void> {
  const auto& options = session.options;
  BOOST_LEAF_AUTO(body, ReadBody(session));
  BOOST_LEAF_AUTO(headers, TeamHeaders(options));
  const auto id =
      options.Has("request-id") ? options.Text("request-id") : RandomId();
  headers.push_back({"Shallotbank-Profile", options.Arguments().front()});
  headers.push_back({"Shallotbank-Request-Id", id});
  headers.push_back({"Content-Type", "application/json"});
  if (options.Has("deadline")) {
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
        options.Time("deadline", {}));
    headers.push_back(
        {"Shallotbank-Deadline-Ms", std::to_string(deadline.count())});
  }
  BOOST_LEAF_AUTO(
      answer,
      session.entry.Send(
          {.method = "POST",
           .path = "/v1/requests",
           .headers = headers,
           .body = body,
           .repeat = "repeat the same request with --request-id " + id +
                     ": a request of a non-idempotent profile is never run "
                     "twice under one id"}));
  const auto* replayed =
      http::FindHeader(answer.headers, "Shallotbank-Replayed");
  PrintAnswer(session, answer, replayed != nullptr && *replayed == "true");
  if (!answer.IsSuccess()) {
    return Fail(ExitStatus::kFailed, "the minion answered with status " +
                                         std::to_string(answer.status));
  }
  return {};
}

}  // namespace

auto RequestCommands() -> std::vector<Command> {
  return {
      {.name = "request",
       .arguments = "PROFILE [FILE]",
       .summary = "Sends a request to a minion and prints its answer.",
       .details =
           "The body is FILE, or standard input without FILE or with -. The\n"
           "answer is printed as it came. Profiles of open queues need no "
           "key.\n",
       .flags = {"team", "key-file", "request-id", "deadline"},
       .least_arguments = 1,
       .most_arguments = 2,
       .run = Request}};
}

}  // namespace shallotbank::client
