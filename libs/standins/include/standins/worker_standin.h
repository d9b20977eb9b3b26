#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/leaf.hpp>
#include <nlohmann/json_fwd.hpp>

#include "base/resources.h"
#include "http/server.h"
#include "standins/delay_queue.h"
#include "standins/faults.h"

namespace shallotbank::standins {

/// Stand-in for any number of the platform's workers, at `/workers/NAME`. Their
/// tasks only take time. `POST /control` sets the faults of all workers, or of
/// the one named in `worker`; `GET /control` returns what the workers observed.
class WorkerStandin {
 public:
  /// Sums over all workers.
  struct Observations {
    std::uint64_t starts = 0;
    std::uint64_t finishes = 0;
    std::uint64_t overcommits = 0;     ///< Starts beyond a worker's capacity.
    std::uint64_t double_runs = 0;     ///< Starts while another attempt runs.
    std::uint64_t repeated_runs = 0;   ///< Starts after an attempt finished.
    std::uint64_t stale_commands = 0;  ///< Rejected for a stale epoch.
    std::uint64_t late_commands = 0;   ///< Rejected after `not_after`.
    std::uint64_t expired_leases = 0;
    std::uint64_t running = 0;
  };

  explicit WorkerStandin(std::uint16_t port = 0,
                         Resources capacity = {64'000, 262'144, 0});
  ~WorkerStandin();

  auto Start() -> boost::leaf::result<void>;
  auto Url() const -> std::string;

  auto Observe() -> Observations;
  auto RunningTasks() -> std::map<std::string, std::string>;
  auto SetFaults(const std::string& worker, Faults faults) -> void;
  /// Sets whether tasks started on `worker` fail immediately.
  auto SetFailing(const std::string& worker, bool failing) -> void;
  /// Discards the tasks of `worker`, as a power failure would.
  auto Crash(const std::string& worker) -> void;

 private:
  enum class TaskState { kRunning, kFinished, kFailed, kExpired };
  struct Task {
    TaskState state = TaskState::kRunning;
    Resources resources;
    TimePoint finish_time;
    TimePoint lease_expiry;
    Duration lease{};
  };
  struct Worker {
    std::uint64_t epoch = 0;
    Faults faults;
    bool failing = false;
    double usage_factor = 1;
    std::map<std::string, Task> tasks;
  };

  auto Handle(const http::Request& request, http::Responder responder) -> void;
  auto Execute(const std::string& name,
               const std::string& command,
               const nlohmann::json& body) -> http::Response;
  auto StartTasks(Worker& worker, const nlohmann::json& body) -> nlohmann::json;
  auto StartTask(Worker& worker, const nlohmann::json& spec) -> std::string;
  auto StopTasks(Worker& worker, const nlohmann::json& body) -> void;
  auto HandleHeartbeat(Worker& worker, const nlohmann::json& body) -> void;
  auto Describe(const Worker& worker) const -> nlohmann::json;
  auto UpdateTaskStates() -> void;
  auto Control(const http::Request& request) -> http::Response;
  auto ApplyChange(const nlohmann::json& change, Worker& worker) -> void;

  Resources capacity;
  mutable std::mutex mutex;
  std::map<std::string, Worker> workers;
  std::map<std::string, std::uint64_t> finish_counts;
  Observations observations;
  ResponseDropper dropper;
  DelayQueue delays;
  std::unique_ptr<http::Server> server;
};

}  // namespace shallotbank::standins
