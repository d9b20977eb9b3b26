#include "cell.hpp"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>
#include <utility>

#include "free_port.h"

namespace shallotbank::review {
namespace {

constexpr const char* kProgram = "target/apps/cell/shallotbank-cell";
constexpr const char* kHost = "nony24.example";
constexpr const char* kKey = "6x73d3zji9n73hh2b9wu";
constexpr int kExitCannotRun = 2;
constexpr milliseconds kDeadline(3000);
constexpr int kOk = 200;
constexpr int kMinionsPerRack = 6;
constexpr int kAttempts = 5;  ///< Four retries.

auto Loopback(int port) -> std::string {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Cell::Cell(const std::string& folder, std::vector<Queue> queues)
    : record(folder + "/record.txt"),
      minions(this->store, this->record),
      queues(std::move(queues)) {
  auto name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = ::mkdtemp(name.data());
  this->Configure(7);
}

auto Cell::Configure(int version, const std::string& removed) -> void {
  auto routes = Json::array();
  for (const auto& queue : this->queues) {
    if (queue.name == removed) {
      continue;
    }
    routes.push_back({{"name", queue.name},
                      {"host", kHost},
                      {"pathPrefix", queue.prefix},
                      {"kind", "unsafe"},
                      {"timeoutMs", 3000},
                      {"targetLatencyMs", queue.target_latency_ms},
                      {"priority", queue.priority},
                      {"service", "rotaplans"},
                      {"attempts", queue.attempts},
                      {"stretch", queue.stretch},
                      {"public", false}});
  }
  const Json config{
      {"version", version},
      {"routes", routes},
      {"services",
       {{{"name", "rotaplans"},
         {"healthPath", "/health"},
         {"maxConns", 64},
         {"enforcesCapacity", false},
         {"spare", false}}}},
      {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}},
      {"tenants",
       {{{"name", "kaje80"},
         {"apiKeys", {kKey}},
         {"priority", 1},
         {"weight", 1000},
         {"maxCount", {{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}}}}}};
  this->store.Put("keyed.op", "config", config.dump());
  this->record.Add("config " + config.dump());
}

Cell::~Cell() {
  this->daemons.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder);
  } else {
    std::printf("logs are in %s\n", this->folder.c_str());
  }
}

auto Cell::AddMinions(int count, int first_of_kind_b) -> void {
  const auto cpu_of = [this](const std::string& job) {
    const std::lock_guard lock(this->cpu_mutex);
    const auto found = this->cpu_of_jobs.find(job);
    return found == this->cpu_of_jobs.end() ? 0 : found->second;
  };
  for (int i = 0; i < count; i++) {
    char id[16];
    std::snprintf(id, sizeof(id), "i-%08x", 0x7f3a0000 + i);
    const auto rack = "r1-" + std::to_string(i / kMinionsPerRack + 1);
    const bool is_b = first_of_kind_b >= 0 && i >= first_of_kind_b;
    this->minions.Add({id, rack, is_b ? "b" : "a"}, cpu_of);
  }
  this->minions.Run();
}

auto Cell::Settings(std::size_t host) const -> Json {
  const auto& one = this->daemons[host];
  auto seeds = Json::array();
  for (std::size_t i = 0; i < this->daemons.size() && i < 3; i++) {
    seeds.push_back(Loopback(this->daemons[i].control));
  }
  return {{"node", "front-" + std::to_string(host + 1)},
          {"role", "cell"},
          {"class", "front"},
          {"serves", {"front", "control"}},
          {"ip", "127.0.0.1"},
          {"zone", "vecriga"},
          {"region", "riga"},
          {"zones", {{"vecriga", "riga"}}},
          {"listen",
           {{"front", Loopback(one.front)},
            {"ready", Loopback(one.ready)},
            {"control", Loopback(one.control)}}},
          {"seeds", seeds},
          {"bootstrap", true},
          {"limits",
           {{"cpuShare", 0.25},
            {"cores", 1},
            {"memoryMb", 260},
            {"maxFds", 4100},
            {"linkMbps", 1000.0},
            {"diskMb", 0}}},
          {"dataDir", nullptr},
          {"discovery", "platform"},
          {"entry", "vip"},
          {"heartbeatMs", 1500},
          {"contracts",
           {"base", "drain", "config", "cost", "recover", "sched", "tenants",
            "quota", "platform", "advice", "upkeep", "sharing"}},
          {"bounds", {{"stableWindowMs", 3000}, {"ackMs", 4000},
                      {"drainMs", 2000},        {"graceS", 6},
                      {"lossSlackMs", 200},     {"configMs", 2000},
                      {"recoverS", 12},         {"holdMaxMs", 6000},
                      {"stopGraceMs", 200},     {"gangWaitMs", 3000},
                      {"cancel_ms", 3000},      {"visible_ms", 3000},
                      {"early_ms", 250},        {"finish_s", 14},
                      {"status_s", 120},        {"farFactor", 2},
                      {"checkpointS", 2},       {"restoreMs", 600},
                      {"noticeMs", 4500},       {"requireFence", true},
                      {"leaseMs", 3000}}},
          {"orders", "call"},
          {"platform",
           {{"address", this->store.Endpoint()},
            {"form", "log"},
            {"writesPerS", 600},
            {"readsPerS", 2000},
            {"recordBytes", 262144},
            {"callBytes", 2097152},
            {"keep_s", 300}}}};
}

auto Cell::StartDaemons(int count) -> void {
  this->daemons.resize(static_cast<std::size_t>(count));
  for (auto& daemon : this->daemons) {
    daemon.front = system_test::FindFreePort();
    daemon.ready = system_test::FindFreePort();
    daemon.control = system_test::FindFreePort();
  }
  for (std::size_t i = 0; i < this->daemons.size(); i++) {
    const auto base = this->folder + "/front-" + std::to_string(i + 1);
    std::ofstream(base + ".json") << this->Settings(i);
    ::setenv("SHALLOTBANK_CONFIG", (base + ".json").c_str(), 1);
    this->daemons[i].process.emplace(kProgram, std::vector<std::string>{},
                                     base + ".log");
  }
  for (std::size_t i = 0; i < this->daemons.size(); i++) {
    for (int tries = 0; !this->IsReady(i); tries++) {
      if (tries == 100) {
        this->record.Add("a daemon does not get ready");
        this->daemons.clear();
        std::_Exit(kExitCannotRun);
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  // The leader polls all minions within this time.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  this->record.Add("all daemons are ready");
}

auto Cell::IsReady(std::size_t host) -> bool {
  http::Call call;
  call.url =
      "http://" + Loopback(this->daemons[host].ready) + "/shallotbank/ready";
  return this->client.SendAndWait(call).status == kOk;
}

auto Cell::Call(std::size_t host,
                const std::string& method,
                const std::string& path,
                const std::string& body) -> http::Reply {
  http::Call call;
  call.method = method;
  call.url = "http://" + Loopback(this->daemons[host].front) + path;
  call.headers = {{"Host", kHost},
                  {"Shallotbank-Credential", kKey},
                  {"Shallotbank-Deadline-Ms", "3000"}};
  if (!body.empty()) {
    call.headers.push_back({"Content-Type", "application/json"});
  }
  call.body = body;
  call.timeout = kDeadline;
  return this->client.SendAndWait(call);
}

auto Cell::NextId() -> std::string {
  char id[17];
  std::snprintf(
      id, sizeof(id), "%016llx",
      static_cast<unsigned long long>(this->next_id++ * 0x9e3779b97f4a7c15ULL));
  return id;
}

auto Cell::Submit(Job job, const std::string& spec) -> Job {
  {
    const std::lock_guard lock(this->cpu_mutex);
    this->cpu_of_jobs[job.id] = job.step.cpu;
  }
  Json step{{"count", job.step.count},
            {"cpu", job.step.cpu},
            {"memMb", job.step.memory_mb},
            {"estimateMs", job.step.estimate_ms}};
  if (job.step.gang) {
    step["gang"] = true;
  }
  if (job.step.anti_affinity > 0) {
    step["antiAffinity"] = job.step.anti_affinity;
  }
  if (!job.step.required_kind.empty()) {
    step["requires"] = job.step.required_kind;
  }
  if (job.step.lasts) {
    step["longRunning"] = true;
  }
  auto steps = Json::array({step});
  for (int i = 1; i < job.step.repeats; i++) {
    step["dependsOn"] = Json::array({i - 1});
    steps.push_back(step);
  }
  const auto body = Json{{"spec", spec}, {"steps", steps}}.dump();
  for (int attempt = 0; attempt < kAttempts && !job.is_accepted; attempt++) {
    const auto host = this->next_host++ % this->daemons.size();
    const auto reply =
        this->Call(host, "POST", job.queue->prefix + job.id, body);
    this->record.Add("client POST " + job.queue->prefix + job.id + " " + body +
                     " at front-" + std::to_string(host + 1) + " -> " +
                     std::to_string(reply.status) + " " + reply.error);
    job.is_accepted = reply.IsSuccess();
  }
  job.accepted_at = this->record.Elapsed();
  return job;
}

auto Cell::StateOf(const Job& job) -> std::string {
  const auto host = this->next_host++ % this->daemons.size();
  const auto reply = this->Call(host, "GET", job.queue->prefix + job.id, "");
  this->record.Add("client GET " + job.queue->prefix + job.id + " at front-" +
                   std::to_string(host + 1) + " -> " +
                   std::to_string(reply.status) + " " + reply.body);
  if (reply.status != kOk) {
    return std::to_string(reply.status);
  }
  return Json::parse(reply.body).value("state", "");
}

auto Cell::LeftWaiting(const std::vector<Job>& jobs, milliseconds limit)
    -> std::vector<Job> {
  constexpr milliseconds kSpan(3000);
  constexpr milliseconds kSample(50);
  constexpr int kTwiceOver = 2;
  const auto end = this->record.Elapsed() + limit;
  std::map<std::string, milliseconds> since;
  std::map<std::string, Job> left;
  while (this->record.Elapsed() < end && left.size() < jobs.size()) {
    const bool has_room =
        2 * this->minions.UsedCpu() < this->minions.TotalCpu();
    for (const auto& job : jobs) {
      const auto missing = job.step.count * job.step.repeats -
                           this->minions.EndsOf(job.id, "done");
      const bool waits =
          has_room && missing > 0 && this->minions.CountRunning(job.id) == 0 &&
          this->minions.CountFits(job.step.cpu, job.step.required_kind) >=
              kTwiceOver * missing;
      const auto now = this->record.Elapsed();
      if (!waits) {
        since.erase(job.id);
      } else if (now - since.try_emplace(job.id, now).first->second >= kSpan &&
                 left.emplace(job.id, job).second) {
        this->record.Add("check: job " + job.id +
                         " has had nothing running for 3 s, " +
                         std::to_string(this->minions.UsedCpu()) + " of " +
                         std::to_string(this->minions.TotalCpu()) +
                         " thousandths of a core are in use, its task fits " +
                         std::to_string(this->minions.CountFits(
                             job.step.cpu, job.step.required_kind)) +
                         " times");
      }
    }
    std::this_thread::sleep_for(kSample);
  }
  std::vector<Job> found;
  for (const auto& [id, job] : left) {
    found.push_back(job);
  }
  return found;
}

}  // namespace shallotbank::review
