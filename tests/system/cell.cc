#include "cell.h"

#include <thread>

#include "configuration/configuration.h"
#include "free_port.h"

namespace shallotbank::system_test {
namespace {

using nlohmann::json;

constexpr const char* kOperatorSecret = "operator-secret";

auto KeyItem(const char* name, const char* team, const char* secret) -> json {
  return {{"name", name},
          {"team", team},
          {"sha256", configuration::Sha256Hex(secret)}};
}

auto TeamItem(const char* name, const char* organisation) -> json {
  return {{"name", name},
          {"organisation", organisation},
          {"weight", 1},
          {"limit",
           {{"cores_milli", 400'000},
            {"memory_mib", 4'000'000},
            {"accelerators", 0},
            {"tasks", 2000}}},
          {"share", {{"cores_milli", 1000}, {"memory_mib", 1000}}}};
}

auto ConfigurationItems() -> std::vector<std::pair<const char*, json>> {
  const json need{{"cores_milli", 1000}, {"memory_mib", 1024}};
  return {
      {"organisation", {{"name", "red-org"}, {"weight", 1}}},
      {"organisation", {{"name", "blue-org"}, {"weight", 1}}},
      {"team", TeamItem("red", "red-org")},
      {"team", TeamItem("blue", "blue-org")},
      {"key", KeyItem("red-key", "red", "red-secret")},
      {"key", KeyItem("blue-key", "blue", "blue-secret")},
      {"queue", {{"name", "work"}, {"open", false}}},
      {"service", {{"name", "oficina"}}},
      {"profile",
       {{"name", "grind"},
        {"queue", "work"},
        {"class", "batch"},
        {"single_run", true},
        {"attempts", 3},
        {"need", need},
        {"tasks", 1},
        {"max_tasks", 500},
        {"lease_ms", 4000},
        {"expected_run_ms", 300}}},
      {"profile",
       {{"name", "quote"},
        {"queue", "work"},
        {"class", "request"},
        {"priority", "urgent"},
        {"idempotent", true},
        {"attempts", 3},
        {"service", "oficina"},
        {"deadline_ms", 2000}}},
      {"profile",
       {{"name", "wear-report"},
        {"queue", "work"},
        {"class", "request"},
        {"idempotent", false},
        {"service", "oficina"},
        {"deadline_ms", 3000}}},
  };
}

}  // namespace

auto ParseBody(const http::Reply& reply) -> json {
  return json::parse(reply.body, nullptr, false);
}

auto ErrorReason(const http::Reply& reply) -> std::string {
  const auto body = ParseBody(reply);
  return body.is_object() && body.contains("error")
             ? body["error"].value("reason", "")
             : "";
}

auto ErrorExecution(const http::Reply& reply) -> std::string {
  const auto body = ParseBody(reply);
  return body.is_object() && body.contains("error")
             ? body["error"].value("execution", "")
             : "";
}

Cell::Cell(Options options) : options(options) {
  for (int i = 0; i < this->options.hosts; ++i) {
    EntryHost host;
    host.name = "h" + std::to_string(i);
    host.entry_http_port = FindFreePort();
    host.entry_rpc_port = FindFreePort();
    host.sched_rpc_port = FindFreePort();
    host.entry_url = "http://127.0.0.1:" + std::to_string(host.entry_http_port);
    this->hosts.push_back(std::move(host));
  }
}

auto Cell::Start() -> bool {
  if (!this->log.Start() || !this->host_list.Start() ||
      !this->workers.Start() || !this->minions.Start()) {
    return false;
  }
  this->PublishHostList();
  for (auto& host : this->hosts) {
    this->StartHost(host);
  }
  const bool ready = WaitFor(std::chrono::seconds(20), [this] {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->CallAsTeam(i, "GET", "/healthz", "").status != 200) {
        return false;
      }
    }
    return true;
  });
  return ready && this->PublishConfiguration() &&
         WaitFor(std::chrono::seconds(20), [this] {
           return this->ShardOwnerHost() >= 0 &&
                  this->SendRequest(0, "quote", "", "{}").status == 200 &&
                  this->SendRequest(this->hosts.size() - 1, "quote", "", "{}")
                          .status == 200;
         });
}

auto Cell::PublishHostList() -> void {
  auto list = json::array();
  for (int i = 0; i < this->options.workers; ++i) {
    const auto name = "w" + std::to_string(i);
    list.push_back({{"name", name},
                    {"url", this->workers.Url() + "/workers/" + name},
                    {"role", "worker"},
                    {"domain", "d" + std::to_string(i % 4)},
                    {"rack", "r" + std::to_string(i / 6)},
                    {"state", "live"},
                    {"cores_milli", 64'000},
                    {"memory_mib", 262'144},
                    {"accelerators", 0}});
  }
  for (int i = 0; i < this->options.minions; ++i) {
    const auto name = "m" + std::to_string(i);
    list.push_back({{"name", name},
                    {"url", this->minions.Url() + "/minions/" + name},
                    {"role", "minion"},
                    {"service", "oficina"},
                    {"domain", "d" + std::to_string(i % 4)},
                    {"rack", "r0"},
                    {"state", "live"},
                    {"slots", 8},
                    {"connections", 64}});
  }
  this->host_list.SetHosts(list);
}

auto Cell::StartHost(EntryHost& host) -> void {
  std::string peers;
  for (const auto& other : this->hosts) {
    peers += "127.0.0.1:" + std::to_string(other.entry_rpc_port) + "," +
             "127.0.0.1:" + std::to_string(other.sched_rpc_port) + ",";
  }
  const std::vector<std::string> common{
      "--host",      host.name,
      "--domain",    "d0",
      "--log-url",   this->log.Url() + "/streams/cell/records",
      "--hosts-url", this->host_list.Url() + "/hosts",
      "--peers",     peers};
  auto sched = common;
  sched.insert(sched.end(),
               {"--rpc", "127.0.0.1:" + std::to_string(host.sched_rpc_port),
                "--log-retention", this->log_retention});
  auto entry = common;
  entry.insert(
      entry.end(),
      {"--rpc", "127.0.0.1:" + std::to_string(host.entry_rpc_port), "--http",
       "127.0.0.1:" + std::to_string(host.entry_http_port),
       "--operator-key-sha256", configuration::Sha256Hex(kOperatorSecret)});
  host.sched = std::make_unique<ChildProcess>(SCHED_PROGRAM, sched,
                                              host.name + "-sched.log");
  host.entry = std::make_unique<ChildProcess>(ENTRY_PROGRAM, entry,
                                              host.name + "-entry.log");
}

auto Cell::PublishConfiguration() -> bool {
  auto changes = json::array();
  changes.push_back(
      {{"kind", "policy"},
       {"name", "policy"},
       {"value", {{"waiting_weight", 1}, {"share_weight", 1}, {"shards", 1}}}});
  for (auto& [kind, value] : ConfigurationItems()) {
    changes.push_back(
        {{"kind", kind}, {"name", value["name"]}, {"value", value}});
  }
  const auto reply = this->CallAsOperator(
      0, "PATCH", "/v1/configuration",
      json{{"format", "1.0"}, {"expected_version", 0}, {"changes", changes}}
          .dump());
  return reply.status == 200;
}

auto Cell::CallAsTeam(std::size_t host,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body,
                      std::vector<http::Header> headers,
                      Duration timeout) -> http::Reply {
  headers.push_back({"Shallotbank-Team", "red"});
  headers.push_back({"Shallotbank-Key", "red-secret"});
  return this->client.SendAndWait({.method = method,
                                   .url = this->hosts[host].entry_url + path,
                                   .headers = std::move(headers),
                                   .body = body,
                                   .timeout = timeout});
}

auto Cell::CallAsOperator(std::size_t host,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body) -> http::Reply {
  return this->CallAsTeam(host, method, path, body,
                          {{"Shallotbank-Operator-Key", kOperatorSecret}});
}

auto Cell::SendRequest(std::size_t host,
                       const std::string& profile,
                       const std::string& id,
                       const std::string& body) -> http::Reply {
  std::vector<http::Header> headers{{"Shallotbank-Profile", profile}};
  if (!id.empty()) {
    headers.push_back({"Shallotbank-Request-Id", id});
  }
  return this->CallAsTeam(host, "POST", "/v1/requests", body,
                          std::move(headers));
}

auto Cell::SubmitJob(std::size_t host,
                     const std::string& profile,
                     int tasks,
                     int run_ms) -> std::string {
  const auto reply = this->CallAsTeam(
      host, "POST", "/v1/jobs",
      json{{"tasks", tasks}, {"expected_run_ms", run_ms}}.dump(),
      {{"Shallotbank-Profile", profile}});
  const auto body = ParseBody(reply);
  return reply.status == 202 && body.is_object() ? body.value("job", "") : "";
}

auto Cell::JobState(std::size_t host, const std::string& job) -> std::string {
  const auto body =
      ParseBody(this->CallAsTeam(host, "GET", "/v1/jobs/" + job, ""));
  return body.is_object() ? body.value("state", "") : "";
}

auto Cell::ShardOwnerHost() -> int {
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    const auto body = ParseBody(this->CallAsOperator(i, "GET", "/v1/hosts"));
    if (!body.is_object() || !body.contains("hosts")) {
      continue;
    }
    for (const auto& process : body["hosts"]) {
      if (process.value("role", "") == "sched" &&
          !process.value("suspected", true) && !process["owned"].empty()) {
        return std::stoi(process.value("host", "h0").substr(1));
      }
    }
  }
  return -1;
}

auto Cell::WaitFor(Duration timeout, const std::function<bool()>& done)
    -> bool {
  const auto deadline = SystemClock().Now() + timeout;
  while (!done()) {
    if (SystemClock().Now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace shallotbank::system_test
