#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "http/client.h"
#include "minions.hpp"

namespace shallotbank::review {

/// A queue of the configuration.
struct Queue {
  std::string name;
  std::string prefix;
  int priority = 0;
  int attempts = 4;
  double stretch = 1.5;
  int target_latency_ms = 250;
};

/// A step of a job as clients send it.
struct Step {
  int count = 1;
  int cpu = 1000;
  int memory_mb = 256;
  int estimate_ms = 1000;
  bool gang = false;
  bool lasts = false;
  std::string required_kind;  ///< Empty if any will do.
  int anti_affinity = 0;
  int repeats = 1;  ///< Steps like this one, each after the one before.
};

/// What a client handed in.
struct Job {
  std::string id;
  const Queue* queue = nullptr;
  Step step;
  bool is_accepted = false;
  milliseconds accepted_at{};
};

/// A small deployment: daemons as separate processes, and the stand-ins for the
/// store, the minions and the clients. The values of the settings and of the
/// configuration are those of the pages' example of a small installation.
class Cell {
 public:
  static constexpr milliseconds kFinish{14'000};  ///< finish_s

  /// `folder` receives record.txt.
  Cell(const std::string& folder, std::vector<Queue> queues);
  ~Cell();
  Cell(const Cell&) = delete;
  auto operator=(const Cell&) -> Cell& = delete;

  /// Puts the config into the store, without one of the queues if it is named.
  auto Configure(int version, const std::string& removed = "") -> void;
  /// Adds minions, six to a rack.
  auto AddMinions(int count, int first_of_kind_b = -1) -> void;
  /// Starts the daemons and waits until they are ready. Exits with 2 if they
  /// are not.
  auto StartDaemons(int count) -> void;

  /// Hands the job in until it is accepted, as clients do.
  auto Submit(Job job, const std::string& spec) -> Job;
  /// The state that a daemon gives, or its status code as text.
  auto StateOf(const Job& job) -> std::string;
  auto QueueAt(std::size_t index) const -> const Queue& {
    return this->queues[index];
  }
  auto NextId() -> std::string;

  /// Watches the jobs for this long at most. Returns those that for 3 s on end
  /// have nothing running though they are not completed, their tasks fit on the
  /// minions twice over and under half of the service is in use.
  auto LeftWaiting(const std::vector<Job>& jobs, milliseconds limit)
      -> std::vector<Job>;

  Record record;
  adapter::StoreStandin store;
  Minions minions;

 private:
  auto Call(std::size_t host,
            const std::string& method,
            const std::string& path,
            const std::string& body) -> http::Reply;
  auto Settings(std::size_t host) const -> Json;
  auto IsReady(std::size_t host) -> bool;

  struct Daemon {
    int front = 0;
    int ready = 0;
    int control = 0;
    std::optional<system_test::ChildProcess> process;
  };

  const std::vector<Queue> queues;
  std::string folder;
  std::mutex cpu_mutex;
  std::map<std::string, int> cpu_of_jobs;
  http::Client client;
  std::vector<Daemon> daemons;
  std::uint64_t next_id = 0x1000;
  std::size_t next_host = 0;
};

}  // namespace shallotbank::review
