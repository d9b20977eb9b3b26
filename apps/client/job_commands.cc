#include <algorithm>
#include <map>
#include <thread>

#include "command.h"
#include "table.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::chrono::seconds kDefaultWaitTimeout{30};
constexpr std::chrono::milliseconds kPollInterval{100};

// Restricts the characters of the id, which becomes part of the request path.
auto JobPath(const Options& options) -> leaf::result<std::string> {
  const auto& id = options.Arguments().front();
  const auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_';
  };
  if (!std::all_of(id.begin(), id.end(), is_allowed) || id.starts_with('.')) {
    return Fail(ExitStatus::kUsage, "'" + id + "' is not the id of a job");
  }
  return "/v1/jobs/" + id;
}

auto FetchJob(Session& session) -> leaf::result<json> {
  BOOST_LEAF_AUTO(path, JobPath(session.options));
  BOOST_LEAF_AUTO(headers, TeamHeaders(session.options));
  return session.entry.SendForJson({.path = path, .headers = headers});
}

auto IsFinished(const json& job) -> bool {
  const auto state = MemberText(job, "state");
  return state == "succeeded" || state == "failed" || state == "cancelled";
}

auto TasksText(const json& job) -> std::string {
  std::string text;
  const auto tasks = job.value("tasks", json::object());
  for (const char* name : {"waiting", "running", "finishing", "succeeded",
                           "failed", "cancelled"}) {
    const auto count = tasks.value(name, std::int64_t{0});
    if (count > 0) {
      text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + name;
    }
  }
  return text.empty() ? MemberText(tasks, "total") + " in all" : text;
}

// Lists each worker once, with the number of tasks that it runs.
auto WorkersText(const json& job) -> std::string {
  std::map<std::string, int> tasks;
  for (const auto& worker : job.value("workers", json::array())) {
    tasks[worker.get<std::string>()]++;
  }
  std::string text;
  for (const auto& [worker, count] : tasks) {
    text += (text.empty() ? "" : ", ") + worker;
    text += count > 1 ? " (" + std::to_string(count) + ")" : "";
  }
  return text;
}

// Names the source of the state. The log is correct but may not yet show which
// tasks run; only the owner of the shard knows that.
auto SourceText(const json& job) -> std::string {
  if (MemberText(job, "source") == "owner") {
    return "the owner of the job's shard";
  }
  if (IsFinished(job)) {
    return "the log (the outcome is final)";
  }
  return "the log (owner of the job's shard: " + MemberText(job, "owner") + ")";
}

auto PrintJob(Session& session, const json& job) -> void {
  if (session.options.Has("json")) {
    session.out << job.dump(2) << "\n";
    return;
  }
  Table table({"JOB", MemberText(job, "job")});
  table.AddRow({"team", MemberText(job, "team")});
  table.AddRow({"profile", MemberText(job, "profile")});
  table.AddRow({"state", MemberText(job, "state")});
  table.AddRow({"tasks", TasksText(job)});
  if (const auto workers = WorkersText(job); !workers.empty()) {
    table.AddRow({"workers", workers});
  }
  for (const char* name : {"reason", "why_waiting"}) {
    if (const auto text = MemberText(job, name); !text.empty()) {
      table.AddRow({name, text});
    }
  }
  table.AddRow({"source", SourceText(job)});
  table.Print(session.out);
}

auto SubmitJob(Session& session) -> leaf::result<void> {
  const auto& options = session.options;
  BOOST_LEAF_AUTO(headers, TeamHeaders(options));
  const auto key = options.Has("idempotency-key")
                       ? options.String("idempotency-key")
                       : RandomId();
  headers.push_back({"Shallotbank-Profile", options.Arguments().front()});
  headers.push_back({"Idempotency-Key", key});
  headers.push_back({"Content-Type", "application/json"});
  auto body = json::object();
  if (const auto tasks = options.Number("tasks")) {
    body["tasks"] = *tasks;
  }
  if (options.Has("expected-run")) {
    body["expected_run_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            options.DurationOr("expected-run", {}))
            .count();
  }
  BOOST_LEAF_AUTO(response,
                  session.entry.SendForJson(
                      {.method = "POST",
                       .path = "/v1/jobs",
                       .headers = headers,
                       .body = body.dump(),
                       .retry_hint = "repeat with --idempotency-key " + key +
                                     ": if the job was accepted, its id "
                                     "is returned"}));
  if (options.Has("json")) {
    session.out << response.dump(2) << "\n";
    return {};
  }
  session.out << MemberText(response, "job") << "\n";
  if (response.value("repeated", false)) {
    session.err << "this job was accepted before; nothing new was submitted\n";
  }
  return {};
}

auto WaitForCompletion(Session& session) -> leaf::result<void> {
  const SystemClock clock;
  const auto deadline =
      clock.Now() + session.options.DurationOr("timeout", kDefaultWaitTimeout);
  while (true) {
    BOOST_LEAF_AUTO(job, FetchJob(session));
    if (IsFinished(job)) {
      PrintJob(session, job);
      if (MemberText(job, "state") == "succeeded") {
        return {};
      }
      return Fail(ExitStatus::kFailed,
                  "the job ended as " + MemberText(job, "state"));
    }
    if (clock.Now() >= deadline) {
      PrintJob(session, job);
      return Fail(ExitStatus::kTimeout, "the job has not ended yet",
                  "see shallotbank why " + MemberText(job, "job"));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

auto ShowJobStatus(Session& session) -> leaf::result<void> {
  if (session.options.Has("wait")) {
    return WaitForCompletion(session);
  }
  BOOST_LEAF_AUTO(job, FetchJob(session));
  PrintJob(session, job);
  return {};
}

auto CancelJob(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(path, JobPath(session.options));
  BOOST_LEAF_AUTO(headers, TeamHeaders(session.options));
  BOOST_LEAF_AUTO(
      response,
      session.entry.SendForJson(
          {.method = "DELETE",
           .path = path,
           .headers = headers,
           .retry_hint =
               "repeat the command: a cancellation may be repeated"}));
  if (session.options.Has("json")) {
    session.out << response.dump(2) << "\n";
  } else if (MemberText(response, "cancel") == "requested") {
    session.out << "cancellation requested\n";
  } else {
    session.out << "the job had already ended\n";
  }
  return {};
}

auto ListJobs(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(headers, TeamHeaders(session.options));
  BOOST_LEAF_AUTO(response, session.entry.SendForJson(
                                {.path = "/v1/jobs", .headers = headers}));
  if (session.options.Has("json")) {
    session.out << response.dump(2) << "\n";
    return {};
  }
  Table table({"JOB", "PROFILE", "STATE", "TASKS"});
  for (const auto& job : response.value("jobs", json::array())) {
    table.AddRow({MemberText(job, "job"), MemberText(job, "profile"),
                  MemberText(job, "state"), TasksText(job)});
  }
  table.Print(session.out);
  session.err << "states are those in the log; shallotbank status JOB also "
                 "says what runs\n";
  return {};
}

auto ExplanationText(const json& job) -> std::string {
  if (IsFinished(job)) {
    const auto reason = MemberText(job, "reason");
    return "the job has ended: " + MemberText(job, "state") +
           (reason.empty() ? "" : " (" + reason + ")");
  }
  if (const auto why = MemberText(job, "why_waiting"); !why.empty()) {
    return "the job waits: " + why;
  }
  if (MemberText(job, "source") != "owner") {
    return "the job is accepted; the owner of its shard: " +
           MemberText(job, "owner") + "; its current state is not known";
  }
  return "the job does not wait: " + TasksText(job);
}

auto ExplainJob(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(job, FetchJob(session));
  if (session.options.Has("json")) {
    session.out << json{{"job", MemberText(job, "job")},
                        {"state", MemberText(job, "state")},
                        {"why_waiting", MemberText(job, "why_waiting")},
                        {"reason", MemberText(job, "reason")},
                        {"source", MemberText(job, "source")}}
                       .dump(2)
                << "\n";
  } else {
    session.out << ExplanationText(job) << "\n";
  }
  return {};
}

}  // namespace

auto JobCommands() -> std::vector<Command> {
  return {{.name = "submit",
           .arguments = "PROFILE",
           .summary = "Submits a job and prints its id.",
           .details = "Returns once the job is accepted for good.\n",
           .flags = {"team", "key-file", "tasks", "expected-run",
                     "idempotency-key"},
           .min_arguments = 1,
           .max_arguments = 1,
           .run = SubmitJob},
          {.name = "status",
           .arguments = "JOB",
           .summary = "Shows the state of a job.",
           .details =
               "With --wait, waits until the job has ended; the exit code is\n"
               "then 1 unless the job succeeded.\n",
           .flags = {"team", "key-file", "wait"},
           .min_arguments = 1,
           .max_arguments = 1,
           .run = ShowJobStatus},
          {.name = "cancel",
           .arguments = "JOB",
           .summary = "Cancels a job.",
           .details = "",
           .flags = {"team", "key-file"},
           .min_arguments = 1,
           .max_arguments = 1,
           .run = CancelJob},
          {.name = "list",
           .arguments = "",
           .summary = "Lists the jobs of the team.",
           .details = "",
           .flags = {"team", "key-file"},
           .run = ListJobs},
          {.name = "why",
           .arguments = "JOB",
           .summary = "Explains why a job is waiting.",
           .details = "",
           .flags = {"team", "key-file"},
           .min_arguments = 1,
           .max_arguments = 1,
           .run = ExplainJob}};
}

}  // namespace shallotbank::client
