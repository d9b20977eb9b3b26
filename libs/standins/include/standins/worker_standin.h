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

/// Any number of the platform's workers at `/workers/NAME`, which run tasks
/// that only take time. `POST /control` sets faults of all workers or of the
/// one named in `worker`; `GET /control` tells what the workers saw.
class WorkerStandin {
 public:
  /// What the workers observed, summed over all of them.
  struct Observations {
    std::uint64_t starts = 0;
    std::uint64_t finishes = 0;
    std::uint64_t overcommits = 0;     ///< Starts beyond a worker's capacity.
    std::uint64_t double_runs = 0;     ///< Starts while running elsewhere.
    std::uint64_t repeated_runs = 0;   ///< Starts after finishing elsewhere.
    std::uint64_t stale_commands = 0;  ///< Refused for an old epoch.
    std::uint64_t late_commands = 0;   ///< Refused for `not_after`.
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
  /// All starts on `worker` fail from now on, or no longer.
  auto SetFailing(const std::string& worker, bool failing) -> void;
  /// Ends the tasks of `worker` as a power cut would.
  auto Crash(const std::string& worker) -> void;

 private:
  enum class TaskState { kRunning, kFinished, kFailed, kExpired };
  struct Task {
    TaskState state = TaskState::kRunning;
    Resources resources;
    TimePoint finish;
    TimePoint lease_end;
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
  auto StartTask(Worker& worker, const nlohmann::json& wanted) -> std::string;
  auto StopTasks(Worker& worker, const nlohmann::json& body) -> void;
  auto Renew(Worker& worker, const nlohmann::json& body) -> void;
  auto Describe(const Worker& worker) const -> nlohmann::json;
  auto Advance() -> void;
  auto Control(const http::Request& request) -> http::Response;
  auto Change(const nlohmann::json& change, Worker& worker) -> void;

  Resources capacity;
  mutable std::mutex mutex;
  std::map<std::string, Worker> workers;
  std::map<std::string, std::uint64_t> finished_by_task;
  Observations seen;
  AnswerLoss loss;
  DelayQueue delays;
  std::unique_ptr<http::Server> server;
};

}  // namespace shallotbank::standins
