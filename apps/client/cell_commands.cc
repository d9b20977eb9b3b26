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

auto FetchJson(Session& session, const std::string& path)
    -> leaf::result<json> {
  BOOST_LEAF_AUTO(headers, OperatorHeaders(session.options));
  return session.entry.SendForJson({.path = path, .headers = headers});
}

// Asks the owner of a shard for its state. `member` names the list that the
// response must contain; an owner that has just lost the shard omits it.
auto FetchExplanation(Session& session,
                      const std::string& kind,
                      const char* member) -> leaf::result<json> {
  std::string path = "/v1/explain/" + kind;
  if (session.options.Has("shard")) {
    path += "?shard=" + session.options.String("shard");
  }
  BOOST_LEAF_AUTO(response, FetchJson(session, path));
  if (!response.contains(member)) {
    return Fail(ExitStatus::kNotRun,
                "the new owner of the shard is not ready yet",
                "retry in a second");
  }
  return response;
}

auto OwnedText(const json& host) -> std::string {
  std::string text;
  int groups = 0;
  for (const auto& entry : host.value("owned", json::array())) {
    const auto resource = MemberText(entry, "resource");
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
    return "suspected, silent for " + MemberText(host, "silence_ms") + " ms";
  }
  return host.value("draining", false) ? "draining" : "up";
}

auto ListHosts(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(response, FetchJson(session, "/v1/hosts"));
  if (session.options.Has("json")) {
    session.out << response.dump(2) << "\n";
    return {};
  }
  Table table({"HOST", "ROLE", "DOMAIN", "HTTP", "LOG HEAD", "LOG AGE", "STATE",
               "OWNS"});
  const auto all = response.value("hosts", json::array());
  for (const auto& host : all) {
    if (IsReplaced(host, all)) {
      continue;
    }
    table.AddRow({MemberText(host, "host"), MemberText(host, "role"),
                  MemberText(host, "domain"), MemberText(host, "http"),
                  MemberText(host, "log_head"),
                  MemberText(host, "log_age_ms") + " ms", HostState(host),
                  OwnedText(host)});
  }
  table.Print(session.out);
  return {};
}

auto AmountText(const json& object, const char* name) -> std::string {
  const auto amount = object.value(name, json::object());
  auto text = MemberText(amount, "cores_milli") + "/" +
              MemberText(amount, "memory_mib") + "/" +
              MemberText(amount, "accelerators");
  if (amount.contains("tasks")) {
    text += "/" + MemberText(amount, "tasks");
  }
  return text;
}

auto ListWorkers(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(response, FetchExplanation(session, "workers", "workers"));
  if (session.options.Has("json")) {
    session.out << response.dump(2) << "\n";
    return {};
  }
  Table table({"WORKER", "DOMAIN", "RACK", "STATE", "ATTACHED", "TASKS",
               "USED (mCORES/MiB/ACCEL)", "CAPACITY"});
  for (const auto& worker : response["workers"]) {
    auto state = MemberText(worker, "state");
    if (worker.value("reserved", false)) {
      state += ", reserved";
    }
    table.AddRow({MemberText(worker, "worker"), MemberText(worker, "domain"),
                  MemberText(worker, "rack"), state,
                  worker.value("attached", false) ? "yes" : "no",
                  MemberText(worker, "tasks"), AmountText(worker, "used"),
                  AmountText(worker, "capacity")});
  }
  table.Print(session.out);
  return {};
}

auto Percent(const json& object, const char* name) -> std::string {
  std::ostringstream out;
  constexpr double kPercentScale = 100;
  out << std::fixed << std::setprecision(1)
      << object.value(name, 0.0) * kPercentScale << "%";
  return out.str();
}

auto ListShares(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(response, FetchExplanation(session, "shares", "teams"));
  if (session.options.Has("json")) {
    session.out << response.dump(2) << "\n";
    return {};
  }
  Table table({"TEAM", "ORGANISATION", "SHARE", "ENTITLED TO",
               "RUNNING (mCORES/MiB/ACCEL/TASKS)", "LIMIT", "WAITING JOBS"});
  for (const auto& team : response["teams"]) {
    table.AddRow({MemberText(team, "team"), MemberText(team, "organisation"),
                  Percent(team, "share"), Percent(team, "entitlement"),
                  AmountText(team, "running"), AmountText(team, "limit"),
                  MemberText(team, "waiting_jobs")});
  }
  table.Print(session.out);
  return {};
}

// Entry hosts do not list minions yet, so this lists the owner of each minion
// group.
auto ListMinionGroups(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(response, FetchJson(session, "/v1/hosts"));
  std::map<std::size_t, std::vector<std::string>> groups;
  auto list = json::array();
  const auto all = response.value("hosts", json::array());
  for (const auto& host : all) {
    if (IsReplaced(host, all)) {
      continue;
    }
    for (const auto& entry : host.value("owned", json::array())) {
      const auto resource = MemberText(entry, "resource");
      if (resource.starts_with(kMinionGroupPrefix)) {
        const auto number =
            std::strtoul(resource.c_str() + std::strlen(kMinionGroupPrefix),
                         nullptr, kDecimal);
        groups[number] = {resource, MemberText(host, "host"),
                          MemberText(entry, "epoch"), HostState(host)};
        list.push_back({{"group", resource},
                        {"owner", MemberText(host, "host")},
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
    table.AddRow(row);
  }
  table.Print(session.out);
  return {};
}

}  // namespace

auto CellCommands() -> std::vector<Command> {
  return {{.name = "hosts",
           .arguments = "",
           .summary = "Lists the daemons, the resources they own and how far "
                      "they have read the log.",
           .details = "The table omits earlier incarnations of processes that "
                      "were started again.\n",
           .flags = {"operator-key-file"},
           .run = ListHosts},
          {.name = "workers",
           .arguments = "",
           .summary = "Lists the workers of a shard and their utilization.",
           .details = "",
           .flags = {"operator-key-file", "shard"},
           .run = ListWorkers},
          {.name = "minions",
           .arguments = "",
           .summary = "Lists the minion groups and their owners.",
           .details = "",
           .flags = {"operator-key-file"},
           .run = ListMinionGroups},
          {.name = "shares",
           .arguments = "",
           .summary = "Lists the usage and the entitlement of each team.",
           .details = "",
           .flags = {"operator-key-file", "shard"},
           .run = ListShares}};
}

}  // namespace shallotbank::client
