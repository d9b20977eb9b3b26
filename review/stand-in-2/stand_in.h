#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

/// Stand-ins for the platform of the users: store, minions, clients. They
/// follow PROTOCOL.md and are independent of the code under review.
namespace review {

using Json = nlohmann::json;

#include "wire_names.inc"

/// Milliseconds since the start of the case.
auto NowMs() -> std::int64_t;
auto SleepMs(std::int64_t time) -> void;
/// Waits until the condition holds; false if it did not within the limit.
auto WaitFor(std::int64_t limit_ms, const std::function<bool()>& condition)
    -> bool;

/// The file `record.txt` of the case: what was sent, answered and run.
class Record {
 public:
  static auto Open(const std::string& path) -> void;
  static auto Add(const std::string& line) -> void;
};

struct Request {
  std::string method;
  std::string path;  ///< Without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct Answer {
  int status = 0;  ///< 0 if there was no answer.
  std::string body;
};

/// A small HTTP/1.1 server with a thread for each connection. Without an answer
/// from the handler the connection stays open and silent.
class Server {
 public:
  using Handler = std::function<std::optional<Answer>(const Request&)>;

  explicit Server(Handler handler) : handler(std::move(handler)) {}
  ~Server() { this->Stop(); }
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;

  /// Listens on 127.0.0.1; the port stays the same for later starts.
  auto Start() -> void;
  /// Closes the listener and all connections, as a crash does.
  auto Stop() -> void;
  auto Address() const -> std::string;
  auto IsStopping() const -> bool { return this->stopping; }

 private:
  struct Connection {
    int socket = -1;
    std::thread thread;
  };
  auto Accept() -> void;
  auto Serve(int socket) -> void;

  const Handler handler;
  int port = 0;
  int listener = -1;
  std::atomic<bool> stopping{false};
  std::thread acceptor;
  std::mutex mutex;
  std::list<Connection> connections;
};

struct Header {
  std::string name;
  std::string value;
};
/// One call on a new connection.
auto Call(const std::string& address,
          const std::string& method,
          const std::string& path,
          const std::vector<Header>& headers,
          const std::string& body,
          std::int64_t timeout_ms) -> Answer;

/// The platform's store: a log with topics of one partition.
class Store {
 public:
  Store();
  ~Store();
  auto Address() const -> std::string { return this->server.Address(); }
  /// A write of the operator or of a minion.
  auto Put(const std::string& topic,
           const std::string& key,
           const std::string& value) -> void;
  /// What becomes of a call before or after it is carried out.
  enum class Fate { kServed, kBusy, kSilent, kAnswerLost };
  /// Decides the fate of each call of a daemon.
  std::function<Fate(const Request&)> fate;
  /// The newest value of a key; empty if there is none.
  auto Newest(const std::string& topic, const std::string& key) -> std::string;

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::size_t> newest;  ///< Offset by key.
    struct Producer {
      std::uint64_t epoch = 0;
      std::optional<std::uint64_t> last;
      std::deque<std::pair<std::uint64_t, std::string>> answers;
    };
    std::map<std::string, Producer> producers;
    std::int64_t busy_until = 0;
  };
  auto Handle(const Request& request) -> std::optional<Answer>;
  auto Append(const Request& request) -> Answer;
  auto Read(const Request& request) -> Answer;
  auto ReadNewest(const Request& request) -> Answer;
  static auto Keep(Topic& topic, const std::string& content) -> void;

  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::map<std::string, Topic> topics;
  Server server;
};

/// What the minions began and ended.
struct RunEvent {
  std::int64_t at = 0;
  std::string worker;
  std::int64_t born = 0;
  std::string task;
  int run = 0;
  std::string what;  ///< "begin" or how it ended; "lost" in a crash.
};

class Ledger {
 public:
  auto Add(RunEvent event) -> void;
  auto All() -> std::vector<RunEvent>;
  /// Runs of the task that began and have not ended.
  auto Active(const std::string& task) -> std::vector<RunEvent>;
  auto CountBegins(const std::string& job) -> int;
  auto CountEnds(const std::string& job, const std::string& how) -> int;

 private:
  std::mutex mutex;
  std::vector<RunEvent> events;
};

/// A minion. A task's `spec` is a JSON object: the task works for `ms`, or for
/// a time from `ms` to `ms_to`, and without end if that is 0. `fail` says that
/// it then ends as `failed`, `lasts` that it is at work from its start.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string rack = "r1-1";
    std::string kind = "a";
    int cores_milli = 64'000;
    int mem_mb = 262'144;
    int stop_ms = 100;  ///< How long a stop takes.
    std::int64_t max_hold_ms = 10'000;
  };
  Worker(Options options, Store& store, Ledger& ledger);
  ~Worker();

  auto Start() -> void;
  /// Loses all runs and connections; nothing listens afterwards.
  auto Crash() -> void;
  auto IsUp() const -> bool { return this->is_up; }
  auto Id() const -> const std::string& { return this->options.id; }
  auto Born() const -> std::int64_t { return this->born; }
  /// How far the time of day of the minion's machine is off.
  std::atomic<std::int64_t> clock_offset_ms{0};
  /// Called for each new run, outside of the lock.
  std::function<void(const std::string& task, int run)> on_begin;
  /// Says whether a start order stays without an answer and is carried out
  /// later, and by how many milliseconds.
  std::function<std::optional<std::int64_t>(const std::string& task, int run)>
      delays_start;
  /// Says whether an order is carried out and its answer is lost.
  std::function<bool()> loses_answer;
  /// A partition from the system: what arrives is not read or answered.
  auto Cut(bool is_cut) -> void;
  /// Runs on the minion at the moment.
  auto RunningTasks() -> std::size_t;

 private:
  struct Run {
    std::string task;
    int run = 0;
    std::int64_t began = 0;
    std::int64_t work_ms = 0;
    bool fails = false;
    bool lasts = false;
    std::int64_t stop_at = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  auto Handle(const Request& request) -> std::optional<Answer>;
  auto StartRun(const Json& body) -> Answer;
  auto StopRun(const Json& body) -> Answer;
  auto Hold(const Json& body) -> std::optional<Answer>;
  auto Tick() -> void;
  auto Advance() -> void;
  auto ClockMs() const -> std::int64_t;
  auto Refuse(const char* reason) const -> Answer;
  auto Finish(const Run& run, const std::string& how) -> void;
  auto Beat() -> void;

  const Options options;
  Store& store;
  Ledger& ledger;
  std::mutex mutex;
  std::condition_variable changed;
  std::atomic<bool> is_up{false};
  std::atomic<bool> is_cut{false};
  std::atomic<int> life{0};
  std::int64_t born = 0;
  std::int64_t clock_base = 0;
  std::uint64_t fence = 0;
  std::int64_t lease_until = 0;
  std::int64_t lapse_noted = 0;  ///< The last lease whose end was recorded.
  std::list<Run> running;
  std::vector<End> ended;
  std::uint64_t next_end = 1;
  std::map<std::string, int> highest_ended;
  std::uint64_t beats = 0;
  std::int64_t last_beat = 0;
  std::int64_t went_down = 0;
  bool is_listed = false;
  std::atomic<bool> stopping{false};
  std::thread ticker;
  std::list<std::thread> late_orders;
  std::unique_ptr<Server> server;
};

/// The daemons of the deploy file on loopback addresses.
class Cell {
 public:
  Cell(std::size_t hosts, Store& store);
  ~Cell();
  auto StartAll() -> void;
  auto Start(std::size_t host) -> void;
  auto Signal(std::size_t host, int signal) -> void;
  /// Kills the process and takes its exit status.
  auto Kill(std::size_t host) -> void;
  /// Waits for a process that got SIGTERM.
  auto WaitEnd(std::size_t host) -> void;
  auto IsRunning(std::size_t host) -> bool;
  auto AreReady() -> bool;
  /// Resident memory of the process; 0 if there is none.
  auto ResidentMb(std::size_t host) -> int;
  auto Size() const -> std::size_t { return this->hosts.size(); }
  auto Front(std::size_t host) const -> std::string;
  /// The host that the newest record of the leadership topic names.
  auto Leader() -> std::optional<std::size_t>;

 private:
  struct Host {
    std::string name;
    int front = 0;
    int ready = 0;
    int control = 0;
    int pid = -1;
  };
  Store& store;
  std::string folder;
  std::vector<Host> hosts;
};

/// A client of the jobs interface with a key of its tenant.
class Client {
 public:
  Client(Cell& cell, std::string host, std::string prefix, std::string key);
  /// Sends the job until it is answered; the status of the last answer.
  auto Submit(const std::string& id, const Json& job) -> int;
  auto Cancel(const std::string& id) -> int;
  /// The state, or the status of the answer if it is not 200.
  auto State(const std::string& id) -> std::string;

 private:
  auto Send(const std::string& method,
            const std::string& id,
            const std::string& body) -> Answer;

  Cell& cell;
  const std::string host;
  const std::string prefix;
  const std::string key;
  std::size_t next = 0;
};

/// A queue of the config.
struct Queue {
  std::string name;
  std::string prefix;
  int priority = 1;
  int attempts = 2;
  double stretch = 2.2;
  int target_latency_ms = 1000;
};
struct Tenant {
  std::string name;
  std::string key;
  int weight = 33;
  int max_cpu = 0;  ///< 0 for no limit.
};
inline constexpr const char* kHost = "jobs.example";
inline constexpr const char* kService = "oficina";
auto PutConfig(Store& store,
               int version,
               const std::vector<Queue>& queues,
               const std::vector<Tenant>& tenants) -> void;

/// A small installation: minions in racks of six, a config and six daemons. The
/// last minions are of kind `b`, all others of kind `a`.
struct Installation {
  Installation(int minions,
               const std::vector<Queue>& queues,
               const std::vector<Tenant>& tenants,
               int minions_of_kind_b = 0);

  Store store;
  Ledger ledger;
  std::vector<std::unique_ptr<Worker>> workers;
  std::unique_ptr<Cell> cell;
};

/// A job of one step; `spec` tells the minions what its tasks do.
auto OneStep(const Json& spec, const Json& step) -> Json;
/// The 16 hexadecimal digits of a job.
auto JobId(int number) -> std::string;
/// Whether the case is played with its disruption.
auto HasTrouble() -> bool;
/// Opens the record whose path is the first argument and ends the process
/// with 2 if the case takes too long.
auto Begin(int argc, char** argv) -> void;
/// Writes the result and returns the exit code.
auto Finish(bool is_broken, const std::string& summary) -> int;
inline constexpr int kCouldNotRun = 2;

}  // namespace review
