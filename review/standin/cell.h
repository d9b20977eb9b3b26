#pragma once

// Starts the daemons of the deploy file on loopback, with settings like those
// of the small site asg-sched, and calls them as clients do.

#include <fcntl.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): POSIX names.
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <vector>

#include "minion.h"
#include "store.h"

namespace review {

inline constexpr const char* kHost = "oficina.example";
inline constexpr const char* kKey = "key-of-tenant-a";
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Whether the case shall cause its disruption.
inline auto HasTrouble() -> bool {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

class Cell {
 public:
  /// `program` and `folder` are those of the daemon and of its files.
  Cell(std::string program, std::string folder, Record& record)
      : program(std::move(program)),
        folder(std::move(folder)),
        record(record) {}
  Cell(const Cell&) = delete;
  auto operator=(const Cell&) -> Cell& = delete;

  /// The queues of the site asg-sched, without advice. `max_cores` is what the
  /// tenant may have running; 0 means no limit.
  auto Configure(int version, int max_cores) -> void {
    const auto route = [](const char* name, int attempts, int priority,
                          double stretch, int target) {
      return Json{{"name", name},
                  {"host", kHost},
                  {wire::kPathPrefix, std::string("/") + name + "/"},
                  {"service", "oficina"},
                  {"attempts", attempts},
                  {"priority", priority},
                  {"stretch", stretch},
                  {wire::kTargetLatency, target}};
    };
    this->store.Put(
        wire::kOperatorTopic, "config",
        Json{{"version", version},
             {"routes",
              {route("bench-quote", 2, 0, 1.5, 300),
               route("grind-profile", 2, 1, 2.2, 1000),
               route("wear-report", 3, 2, 4.0, 3000)}},
             {"services", {{{"name", "oficina"}, {"enforcesCapacity", false}}}},
             {"tenants",
              {{{"name", "tenant-a"},
                {wire::kApiKeys, {kKey}},
                {"weight", 100},
                {wire::kMaxCount,
                 {{"cpu", max_cores * 1000}, {"memMb", 0}, {"gpu", 0}}}}}},
             {"limits", Json::object()}}
            .dump());
  }

  auto AddMinion(const Minion::Options& options,
                 const Minion::Listener& listener) -> Minion& {
    auto& minion = this->StartMinion(options, listener, 0);
    this->CheckIn(minion);
    return minion;
  }
  /// Starts a minion that has not checked in yet; 0 means any port.
  auto StartMinion(const Minion::Options& options,
                   const Minion::Listener& listener,
                   int port) -> Minion& {
    this->minions.push_back(
        std::make_unique<Minion>(options, listener, this->record, port));
    return *this->minions.back();
  }
  /// Writes the minion's entry into the store.
  auto CheckIn(const Minion& minion) -> void {
    this->store.Put(wire::kMinionsTopic, minion.Id(), minion.Entry(1));
  }

  /// Starts daemons and waits until all of them are ready.
  auto StartDaemons(std::size_t count) -> bool {
    for (std::size_t i = 0; i < count; i++) {
      Daemon daemon;
      daemon.name = "front-caxias-" + std::to_string(i + 1);
      daemon.front = FreePort();
      daemon.ready = FreePort();
      daemon.control = FreePort();
      this->daemons.push_back(daemon);
    }
    for (auto& daemon : this->daemons) {
      this->Start(daemon);
    }
    return this->Eventually(milliseconds(15000), [this] {
      return std::all_of(
          this->daemons.begin(), this->daemons.end(), [](const Daemon& daemon) {
            return Call(daemon.ready, "GET", "/shallotbank/ready",
                        {{"Host", "platform"}}, "", milliseconds(500))
                       .status == 200;
          });
    });
  }

  /// Ends the daemons and this process, whose threads still wait for calls.
  [[noreturn]] auto Finish(int result) -> void {
    for (auto& daemon : this->daemons) {
      Kill(daemon);
    }
    this->record.Write(result == kHeld     ? "result: the rule held"
                       : result == kBroken ? "result: the rule was broken"
                                           : "result: the case could not run");
    ::_exit(result);
  }

  auto Count() const -> std::size_t { return this->daemons.size(); }
  auto Signal(std::size_t daemon, int signal) -> void {
    this->record.Write("signal " + std::to_string(signal) + " to " +
                       this->daemons[daemon].name);
    ::kill(this->daemons[daemon].process, signal);
  }
  /// Waits for the end of a daemon that was told to stop, then starts it again.
  auto Restart(std::size_t daemon) -> void {
    ::waitpid(this->daemons[daemon].process, nullptr, 0);
    this->Start(this->daemons[daemon]);
  }
  /// The daemon that the store names as the leader.
  auto Leader() -> std::optional<std::size_t> {
    const auto text = this->store.Newest("keyed.leader", "leader");
    for (std::size_t i = 0; i < this->daemons.size(); i++) {
      if (text.find('"' + this->daemons[i].name + '"') != std::string::npos) {
        return i;
      }
    }
    return std::nullopt;
  }

  /// Calls for a job, which is named with its queue: `wear-report/ID`.
  auto Ask(std::size_t daemon,
           const std::string& method,
           const std::string& job,
           const std::string& body = "",
           milliseconds limit = milliseconds(3000)) -> Reply {
    auto reply =
        Call(this->daemons[daemon].front, method, "/" + job,
             {{"Host", kHost},
              {"Content-Type", "application/json"},
              {"Shallotbank-Credential", kKey},
              {"Shallotbank-Deadline-Ms", std::to_string(limit.count())}},
             body, limit);
    this->record.Write("client: " + method + ' ' + job + " at " +
                       this->daemons[daemon].name + " -> " +
                       (reply.status == 0 ? "no answer"
                                          : std::to_string(reply.status) + ' ' +
                                                reply.body.substr(0, 160)));
    return reply;
  }
  auto StateOf(std::size_t daemon, const std::string& job) -> std::string {
    const auto reply = this->Ask(daemon, "GET", job);
    const auto body = Json::parse(reply.body, nullptr, false);
    return reply.status == 200 && body.is_object()
               ? body.value("state", std::string())
               : std::to_string(reply.status);
  }
  static auto Eventually(milliseconds limit,
                         const std::function<bool()>& condition) -> bool {
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }
  /// A job of one step, as a client sends it.
  static auto Job(int count,
                  int cpu,
                  int estimate_ms,
                  const Json& more = Json::object()) -> std::string {
    Json step{{"count", count},
              {"cpu", cpu},
              {"memMb", 1},
              {"estimateMs", estimate_ms}};
    step.update(more);
    return Json{{"spec", "grind"}, {"steps", {step}}}.dump();
  }

  Store store;

 private:
  struct Daemon {
    std::string name;
    int front = 0;
    int ready = 0;
    int control = 0;
    pid_t process = 0;
  };

  auto Settings(const Daemon& daemon) const -> std::string {
    const auto at = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    auto seeds = Json::array();
    for (const auto& other : this->daemons) {
      if (seeds.size() < 3) {
        seeds.push_back(at(other.control));
      }
    }
    return Json{{"node", daemon.name},
                {"role", "cell"},
                {"class", "front"},
                {"serves", {"front", "control"}},
                {"ip", "127.0.0.1"},
                {"zone", "caxias"},
                {"region", "sul"},
                {"zones", {{"caxias", "sul"}}},
                {"listen",
                 {{"front", at(daemon.front)},
                  {"ready", at(daemon.ready)},
                  {"control", at(daemon.control)}}},
                {"seeds", seeds},
                {"bootstrap", true},
                {"limits",
                 {{"cpuShare", 0.25},
                  {"cores", 1},
                  {"memoryMb", 260},
                  {"maxFds", 4200},
                  {"linkMbps", 1000.0},
                  {"diskMb", 0}}},
                {"dataDir", nullptr},
                {"discovery", "platform"},
                {"entry", "vip"},
                {"heartbeatMs", 1500},
                {"orders", "call"},
                {"bounds",
                 {{"stableWindowMs", 3000},
                  {"ackMs", 4000},
                  {"drainMs", 2000},
                  {"graceS", 6},
                  {"configMs", 2000},
                  {"recoverS", 12},
                  {wire::kHoldMax, 10000},
                  {"stopGraceMs", 900},
                  {"gangWaitMs", 3000},
                  {"cancel_ms", 3000},
                  {"visible_ms", 3000},
                  {"early_ms", 250},
                  {"finish_s", 14},
                  {"status_s", 120},
                  {"quotaOverage", 0.1},
                  {"checkpointS", 1}}},
                {"platform",
                 {{"address", this->store.Endpoint()},
                  {"form", "log"},
                  {"writesPerS", 600},
                  {"readsPerS", 2000},
                  {"parts", 8},
                  {"appendMs", 4.0},
                  {"partMbS", 20.0},
                  {"readMbS", 80.0},
                  {"recordBytes", kRecordBytes},
                  {"callBytes", kCallBytes},
                  {"keep_s", 300},
                  {"partMb", 200},
                  {"ttlMinMs", 1000}}}}
        .dump();
  }

  auto Start(Daemon& daemon) -> void {
    const auto settings = this->folder + '/' + daemon.name + ".json";
    std::ofstream(settings) << this->Settings(daemon);
    const auto log = this->folder + '/' + daemon.name + ".log";
    daemon.process = ::fork();
    if (daemon.process == 0) {
      // Ends with the script, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(file, STDOUT_FILENO);
      ::dup2(file, STDERR_FILENO);
      for (int other = 3; other < 1024; other++) {
        ::close(other);
      }
      ::setenv("SHALLOTBANK_CONFIG", settings.c_str(), 1);
      ::execl(this->program.c_str(), this->program.c_str(), nullptr);
      ::_exit(127);
    }
    this->record.Write("start " + daemon.name + " as process " +
                       std::to_string(daemon.process));
  }

  static auto Kill(Daemon& daemon) -> void {
    if (daemon.process > 0) {
      ::kill(daemon.process, SIGKILL);
      ::waitpid(daemon.process, nullptr, 0);
      daemon.process = 0;
    }
  }

  const std::string program;
  const std::string folder;
  Record& record;
  std::vector<Daemon> daemons;
  std::vector<std::unique_ptr<Minion>> minions;
};

/// Runs a case: `arguments` are the daemon's program, a temporary folder and
/// the path of the record. `run` ends with `Cell::Finish`.
inline auto RunCase(int count,
                    char** arguments,
                    const std::function<void(Cell&, Record&)>& run) -> int {
  if (count != 4) {
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[3]);
  record.Write(HasTrouble() ? "with the disruption" : "without the disruption");
  Cell cell(arguments[1], arguments[2], record);
  run(cell, record);
  return kCouldNotRun;
}

}  // namespace review
