#include <algorithm>
#include <map>
#include <thread>

#include "command.h"
#include "table.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::chrono::seconds kDefaultWait{30};
constexpr std::chrono::milliseconds kPollInterval{100};

// The id becomes part of a path.
auto JobPath(const Options& options) -> leaf::result<std::string> {
  const auto& id = options.Arguments().front();
  const auto is_safe = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_';
  };
  if (!std::all_of(id.begin(), id.end(), is_safe) || id.starts_with('.')) {
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
  const auto state = TextOf(job, "state");
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
  return text.empty() ? TextOf(tasks, "total") + " in all" : text;
}

// Each worker once, with the number of tasks that it runs.
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

// Where the answer comes from matters: without the owner it is true but may not
// yet show what runs.
auto SourceText(const json& job) -> std::string {
  if (TextOf(job, "source") == "owner") {
    return "the owner of the job's shard";
  }
  if (IsFinished(job)) {
    return "the log (the outcome is final)";
  }
  return "the log (owner of the job's shard: " + TextOf(job, "owner") + ")";
}

auto PrintJob(Session& session, const json& job) -> void {
  if (session.options.Has("json")) {
    session.out << job.dump(2) << "\n";
    return;
  }
  Table table({"JOB", TextOf(job, "job")});
  table.Add({"team", TextOf(job, "team")});
  table.Add({"profile", TextOf(job, "profile")});
  table.Add({"state", TextOf(job, "state")});
  table.Add({"tasks", TasksText(job)});
  if (const auto workers = WorkersText(job); !workers.empty()) {
    table.Add({"workers", workers});
  }
  for (const char* name : {"reason", "why_waiting"}) {
    if (const auto text = TextOf(job, name); !text.empty()) {
      table.Add({name, text});
    }
  }
  table.Add({"source", SourceText(job)});
  table.Print(session.out);
}

auto Submit(Session& session) -> leaf::result<void> {
  const auto& options = session.options;
  BOOST_LEAF_AUTO(headers, TeamHeaders(options));
  const auto key = options.Has("idempotency-key")
                       ? options.Text("idempotency-key")
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
            options.Time("expected-run", {}))
            .count();
  }
  BOOST_LEAF_AUTO(answer,
                  session.entry.SendForJson(
                      {.method = "POST",
                       .path = "/v1/jobs",
                       .headers = headers,
                       .body = body.dump(),
                       .repeat = "repeat with --idempotency-key " + key +
                                 ": if the job was accepted, its id "
                                 "is returned"}));
  if (options.Has("json")) {
    session.out << answer.dump(2) << "\n";
    return {};
  }
  session.out << TextOf(answer, "job") << "\n";
  if (answer.value("repeated", false)) {
    session.err << "this job was accepted before; nothing new was submitted\n";
  }
  return {};
}

auto WaitForEnd(Session& session) -> leaf::result<void> {
  const SystemClock clock;
  const auto limit =
      clock.Now() + session.options.Time("timeout", kDefaultWait);
  while (true) {
    BOOST_LEAF_AUTO(job, FetchJob(session));
    if (IsFinished(job)) {
      PrintJob(session, job);
      if (TextOf(job, "state") == "succeeded") {
        return {};
      }
      return Fail(ExitStatus::kFailed,
                  "the job ended as " + TextOf(job, "state"));
    }
    if (clock.Now() >= limit) {
      PrintJob(session, job);
      return Fail(ExitStatus::kTimeout, "the job has not ended yet",
                  "see shallotbank why " + TextOf(job, "job"));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

auto Status(Session& session) -> leaf::result<void> {
  if (session.options.Has("wait")) {
    return WaitForEnd(session);
  }
  BOOST_LEAF_AUTO(job, FetchJob(session));
  PrintJob(session, job);
  return {};
}

auto Cancel(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(path, JobPath(session.options));
  BOOST_LEAF_AUTO(headers, TeamHeaders(session.options));
  BOOST_LEAF_AUTO(answer,
                  session.entry.SendForJson(
                      {.method = "DELETE",
                       .path = path,
                       .headers = headers,
                       .repeat = "repeat: a cancellation may be repeated"}));
  if (session.options.Has("json")) {
    session.out << answer.dump(2) << "\n";
  } else if (TextOf(answer, "cancel") == "requested") {
    session.out << "cancellation requested\n";
  } else {
    session.out << "the job had ended already\n";
  }
  return {};
}

auto List(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(headers, TeamHeaders(session.options));
  BOOST_LEAF_AUTO(answer, session.entry.SendForJson(
                              {.path = "/v1/jobs", .headers = headers}));
  if (session.options.Has("json")) {
    session.out << answer.dump(2) << "\n";
    return {};
  }
  Table table({"JOB", "PROFILE", "STATE", "TASKS"});
  for (const auto& job : answer.value("jobs", json::array())) {
    table.Add({TextOf(job, "job"), TextOf(job, "profile"), TextOf(job, "state"),
               TasksText(job)});
  }
  table.Print(session.out);
  session.err << "states are those in the log; shallotbank status JOB also "
                 "says what runs\n";
  return {};
}

auto WhyText(const json& job) -> std::string {
  if (IsFinished(job)) {
    const auto reason = TextOf(job, "reason");
    return "the job has ended: " + TextOf(job, "state") +
           (reason.empty() ? "" : " (" + reason + ")");
  }
  if (const auto why = TextOf(job, "why_waiting"); !why.empty()) {
    return "the job waits: " + why;
  }
  if (TextOf(job, "source") != "owner") {
    return "the job is accepted; the owner of its shard: " +
           TextOf(job, "owner") + ", so that nothing more is known now";
  }
  return "the job does not wait: " + TasksText(job);
}

auto Why(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(job, FetchJob(session));
  if (session.options.Has("json")) {
    session.out << json{{"job", TextOf(job, "job")},
                        {"state", TextOf(job, "state")},
                        {"why_waiting", TextOf(job, "why_waiting")},
                        {"reason", TextOf(job, "reason")},
                        {"source", TextOf(job, "source")}}
                       .dump(2)
                << "\n";
  } else {
    session.out << WhyText(job) << "\n";
  }
  return {};
}

}  // namespace

auto JobCommands() -> std::vector<Command> {
  return {{.name = "submit",
           .arguments = "PROFILE",
           .summary = "Submits a job and prints its id.",
           .details = "Returns when the job is accepted for good.\n",
           .flags = {"team", "key-file", "tasks", "expected-run",
                     "idempotency-key"},
           .least_arguments = 1,
           .most_arguments = 1,
           .run = Submit},
          {.name = "status",
           .arguments = "JOB",
           .summary = "Shows the state of a job.",
           .details =
               "With --wait, waits until the job has ended; the exit code is\n"
               "then 1 unless it succeeded.\n",
           .flags = {"team", "key-file", "wait"},
           .least_arguments = 1,
           .most_arguments = 1,
           .run = Status},
          {.name = "cancel",
           .arguments = "JOB",
           .summary = "Cancels a job.",
           .details = "",
           .flags = {"team", "key-file"},
           .least_arguments = 1,
           .most_arguments = 1,
           .run = Cancel},
          {.name = "list",
           .arguments = "",
           .summary = "Lists the jobs of the team.",
           .details = "",
           .flags = {"team", "key-file"},
           .run = List},
          {.name = "why",
           .arguments = "JOB",
           .summary = "Says why a job waits.",
           .details = "",
           .flags = {"team", "key-file"},
           .least_arguments = 1,
           .most_arguments = 1,
           .run = Why}};
}

}  // namespace shallotbank::client
