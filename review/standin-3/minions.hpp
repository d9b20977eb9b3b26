#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/server.h"
#include "store_standin.h"

namespace shallotbank::review {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// Writes what was sent, answered and run, each line with the time since the
/// start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  auto Add(const std::string& line) -> void;
  auto Elapsed() const -> milliseconds;

 private:
  const TimePoint started = SystemClock().Now();
  std::mutex mutex;
  std::ofstream file;
};

/// What a task does, as the spec of its job says: how long it works, and
/// whether it then fails, or lasts until it is stopped.
struct TaskPlan {
  milliseconds work{300};
  bool fails = false;
  bool lasts = false;
};

struct MinionOptions {
  std::string id;
  std::string rack = "r1-1";
  std::string kind = "a";
  int cpu = 16'000;
  int memory_mb = 32'768;
};

/// A stand-in for one minion, behind a server of its own.
class Minion {
 public:
  /// The demand of a task in thousandths of a core, by job.
  using CpuOf = std::function<int(const std::string& job)>;

  Minion(MinionOptions options, CpuOf cpu_of, Record& record);
  ~Minion();
  Minion(const Minion&) = delete;
  auto operator=(const Minion&) -> Minion& = delete;

  auto Id() const -> const std::string& { return this->options.id; }
  auto Kind() const -> const std::string& { return this->options.kind; }
  /// Its entry in the list of minions; empty while it is down.
  auto Entry() -> std::string;
  /// Ends everything that runs, closes all connections and refuses new ones.
  auto Crash() -> void;
  /// Starts a new life under the same id. `clock_error` is added to the time of
  /// day, from which `born` is taken.
  auto Start(milliseconds clock_error = milliseconds(0)) -> void;
  auto IsUp() -> bool;
  auto Born() -> std::int64_t;
  /// Ends runs that are due and answers polls.
  auto Advance() -> void;
  /// The tasks of the job that run here now.
  auto CountRunning(const std::string& job) -> int;
  auto UsedCpu() -> int;
  auto Cpu() const -> int { return this->options.cpu; }
  /// Whether a task of the job was ever started here.
  auto HasBegun(const std::string& job) -> bool;
  /// Runs that were started here.
  auto CountStarts() -> int;
  /// Runs of the job that ended in that way.
  auto EndsOf(const std::string& job, const std::string& how) -> int;

 private:
  struct Run {
    std::string task;
    int number = 0;
    TaskPlan plan;
    TimePoint begun;
  };
  struct Poll {
    TimePoint until;
    std::shared_ptr<http::Responder> responder;
  };
  /// What is lost at a crash.
  struct Life {
    std::int64_t born = 0;
    TimePoint started;
    std::int64_t fence = 0;
    std::int64_t lease_ms = 0;
    std::list<Run> running;
    std::list<Json> ended;
    std::uint64_t next_end = 1;
    std::map<std::string, int> highest_ended_run;
    std::list<Poll> polls;
    std::uint64_t seq = 0;
  };

  auto Handle(const http::Request& request, http::Responder responder) -> void;
  auto RunStart(const Json& body) -> http::Response;
  auto RunStop(const Json& body) -> http::Response;
  auto Hold(const Json& body, http::Responder responder) -> void;
  auto Lists() -> http::Response;
  auto Answer(int status, Json body) -> http::Response;
  auto Finish(const Run& run, const std::string& how) -> void;
  auto ClockMs() const -> std::int64_t;

  const MinionOptions options;
  const CpuOf cpu_of;
  Record& record;
  int port = 0;
  std::mutex mutex;
  bool is_up = false;
  Life life;
  std::map<std::pair<std::string, std::string>, int> ends;
  std::set<std::string> begun;  ///< Jobs.
  int starts = 0;
  std::unique_ptr<http::Server> server;
};

/// The minions of a service, with their heartbeats to the store.
class Minions {
 public:
  Minions(adapter::StoreStandin& store, Record& record)
      : store(store), record(record) {}
  ~Minions();

  auto Add(const MinionOptions& options, const Minion::CpuOf& cpu_of) -> void;
  /// Starts the heartbeats and the timer.
  auto Run() -> void;
  auto Size() const -> std::size_t { return this->all.size(); }
  auto At(std::size_t index) -> Minion& { return *this->all[index]; }
  /// Writes the minion's entry, or removes it after three heartbeats of
  /// silence.
  auto Beat(Minion& minion) -> void;

  auto CountRunning(const std::string& job) -> int;
  auto UsedCpu() -> std::int64_t;
  auto TotalCpu() -> std::int64_t;
  /// Tasks of that demand that fit beside what runs on the minions of that
  /// kind; of any kind if it is empty.
  auto CountFits(int cpu, const std::string& kind) -> int;
  auto EndsOf(const std::string& job, const std::string& how) -> int;
  auto HasBegun(const std::string& job) -> bool;
  auto CountStarts() -> int;

 private:
  adapter::StoreStandin& store;
  Record& record;
  std::vector<std::unique_ptr<Minion>> all;
  std::mutex beats_mutex;
  std::map<std::string, TimePoint> last_beats;  ///< By minion.
  std::atomic<bool> stopping{false};
  std::thread timer;
};

}  // namespace shallotbank::review
