#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <map>
#include <sstream>

#include "command.h"
#include "convergence.h"
#include "table.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr const char* kMinionGroupPrefix = "minion-group-";
constexpr int kDecimal = 10;

auto Fetch(Session& session, const std::string& path) -> leaf::result<json> {
  BOOST_LEAF_AUTO(headers, OperatorHeaders(session.options));
  return session.entry.SendForJson({.path = path, .headers = headers});
}

// What the owner of a shard knows of it. `member` names the list that the
// answer must hold; an owner that has just lost the shard leaves it out.
auto Explain(Session& session, const std::string& kind, const char* member)
    -> leaf::result<json> {
  std::string path = "/v1/explain/" + kind;
  if (session.options.Has("shard")) {
    path += "?shard=" + session.options.Text("shard");
  }
  BOOST_LEAF_AUTO(answer, Fetch(session, path));
  if (!answer.contains(member)) {
    return Fail(ExitStatus::kNotRun,
                "the owner of the shard has not taken over yet",
                "try again in a second");
  }
  return answer;
}

auto OwnedText(const json& host) -> std::string {
  std::string text;
  int groups = 0;
  for (const auto& entry : host.value("owned", json::array())) {
    const auto resource = TextOf(entry, "resource");
    if (resource.starts_with(kMinionGroupPrefix)) {
      ++groups;
    } else {
      text += (text.empty() ? "" : ",") + resource;
    }
  }
  if (groups > 0) {
    text +=
        (text.empty() ? "" : ",") + std::to_string(groups) + " minion groups";
  }
  return text;
}

auto HostState(const json& host) -> std::string {
  if (IsStopped(host)) {
    return "stopped";
  }
  if (host.value("suspected", false)) {
    return "suspected, silent for " + TextOf(host, "silence_ms") + " ms";
  }
  return host.value("draining", false) ? "draining" : "up";
}

auto Hosts(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(answer, Fetch(session, "/v1/hosts"));
  if (session.options.Has("json")) {
    session.out << answer.dump(2) << "\n";
    return {};
  }
  Table table({"HOST", "ROLE", "DOMAIN", "HTTP", "LOG HEAD", "LOG AGE", "STATE",
               "OWNS"});
  const auto all = answer.value("hosts", json::array());
  for (const auto& host : all) {
    if (IsReplaced(host, all)) {
      continue;
    }
    table.Add({TextOf(host, "host"), TextOf(host, "role"),
               TextOf(host, "domain"), TextOf(host, "http"),
               TextOf(host, "log_head"), TextOf(host, "log_age_ms") + " ms",
               HostState(host), OwnedText(host)});
  }
  table.Print(session.out);
  return {};
}

auto AmountText(const json& object, const char* name) -> std::string {
  const auto amount = object.value(name, json::object());
  auto text = TextOf(amount, "cores_milli") + "/" +
              TextOf(amount, "memory_mib") + "/" +
              TextOf(amount, "accelerators");
  if (amount.contains("tasks")) {
    text += "/" + TextOf(amount, "tasks");
  }
  return text;
}

auto Workers(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(answer, Explain(session, "workers", "workers"));
  if (session.options.Has("json")) {
    session.out << answer.dump(2) << "\n";
    return {};
  }
  Table table({"WORKER", "DOMAIN", "RACK", "STATE", "ATTACHED", "TASKS",
               "USED (mCORES/MiB/ACCEL)", "CAPACITY"});
  for (const auto& worker : answer["workers"]) {
    auto state = TextOf(worker, "state");
    if (worker.value("reserved", false)) {
      state += ", reserved";
    }
    table.Add({TextOf(worker, "worker"), TextOf(worker, "domain"),
               TextOf(worker, "rack"), state,
               worker.value("attached", false) ? "yes" : "no",
               TextOf(worker, "tasks"), AmountText(worker, "used"),
               AmountText(worker, "capacity")});
  }
  table.Print(session.out);
  return {};
}

auto Percent(const json& object, const char* name) -> std::string {
  std::ostringstream out;
  constexpr double kHundred = 100;
  out << std::fixed << std::setprecision(1)
      << object.value(name, 0.0) * kHundred << "%";
  return out.str();
}

auto Shares(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(answer, Explain(session, "shares", "teams"));
  if (session.options.Has("json")) {
    session.out << answer.dump(2) << "\n";
    return {};
  }
  Table table({"TEAM", "ORGANISATION", "SHARE", "ENTITLED TO",
               "RUNNING (mCORES/MiB/ACCEL/TASKS)", "LIMIT", "WAITING JOBS"});
  for (const auto& team : answer["teams"]) {
    table.Add({TextOf(team, "team"), TextOf(team, "organisation"),
               Percent(team, "share"), Percent(team, "entitlement"),
               AmountText(team, "running"), AmountText(team, "limit"),
               TextOf(team, "waiting_jobs")});
  }
  table.Print(session.out);
  return {};
}

// Entry hosts do not list minions yet; this shows who owns each minion group.
auto Minions(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(answer, Fetch(session, "/v1/hosts"));
  std::map<std::size_t, std::vector<std::string>> groups;
  auto list = json::array();
  const auto all = answer.value("hosts", json::array());
  for (const auto& host : all) {
    if (IsReplaced(host, all)) {
      continue;
    }
    for (const auto& entry : host.value("owned", json::array())) {
      const auto resource = TextOf(entry, "resource");
      if (resource.starts_with(kMinionGroupPrefix)) {
        const auto number =
            std::strtoul(resource.c_str() + std::strlen(kMinionGroupPrefix),
                         nullptr, kDecimal);
        groups[number] = {resource, TextOf(host, "host"),
                          TextOf(entry, "epoch"), HostState(host)};
        list.push_back({{"group", resource},
                        {"owner", TextOf(host, "host")},
                        {"epoch", entry.value("epoch", json())},
                        {"state", HostState(host)}});
      }
    }
  }
  if (session.options.Has("json")) {
    session.out << json{{"groups", list}}.dump(2) << "\n";
    return {};
  }
  Table table({"GROUP", "OWNER", "EPOCH", "STATE OF OWNER"});
  for (const auto& [number, row] : groups) {
    table.Add(row);
  }
  table.Print(session.out);
  return {};
}

}  // namespace

auto CellCommands() -> std::vector<Command> {
  return {{.name = "hosts",
           .arguments = "",
           .summary = "Lists the daemons, what they own and how far they have "
                      "read the log.",
           .details = "The table leaves out the past of processes that were "
                      "started again.\n",
           .flags = {"operator-key-file"},
           .run = Hosts},
          {.name = "workers",
           .arguments = "",
           .summary = "Lists the workers of a shard and their use.",
           .details = "",
           .flags = {"operator-key-file", "shard"},
           .run = Workers},
          {.name = "minions",
           .arguments = "",
           .summary = "Lists the minion groups and their owners.",
           .details = "",
           .flags = {"operator-key-file"},
           .run = Minions},
          {.name = "shares",
           .arguments = "",
           .summary = "Lists what each team uses and is entitled to.",
           .details = "",
           .flags = {"operator-key-file", "shard"},
           .run = Shares}};
}

}  // namespace shallotbank::client
