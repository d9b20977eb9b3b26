#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/leaf.hpp>
#include <nlohmann/json_fwd.hpp>

#include "http/server.h"
#include "standins/delay_queue.h"
#include "standins/faults.h"

namespace shallotbank::standins {

/// Stand-in for any number of minions, at `/minions/NAME`. `POST /control` sets
/// `service_ms` of all minions, or Faults and `service_ms` of the minion named
/// in `minion`; `GET /control` returns what the minions observed.
class MinionStandin {
 public:
  explicit MinionStandin(std::uint16_t port = 0, int slots = 8);
  ~MinionStandin();

  auto Start() -> boost::leaf::result<void>;
  auto Url() const -> std::string;

  /// Number of runs that repeated an earlier run of the same request id.
  auto RepeatedRuns() const -> std::uint64_t;
  auto Runs() const -> std::uint64_t;
  auto RunsOf(const std::string& request_id) const -> std::uint64_t;
  /// The maximum number of requests that one minion ran concurrently.
  auto MaxConcurrency() const -> int;
  auto SetFaults(const std::string& minion, Faults faults) -> void;
  auto SetServiceTime(Duration time) -> void;

 private:
  struct Minion {
    int running = 0;
    std::uint64_t runs = 0;
    Faults faults;
    Duration service_time{};
    bool has_service_time = false;
  };

  auto Handle(http::Request request, http::Responder responder) -> void;
  auto Run(const std::string& name,
           http::Request request,
           http::Responder responder) -> void;
  auto Control(const http::Request& request) -> http::Response;

  int slots;
  mutable std::mutex mutex;
  std::map<std::string, Minion> minions;
  std::map<std::string, std::uint64_t> runs_by_request;
  std::uint64_t runs = 0;
  std::uint64_t repeated_runs = 0;
  std::uint64_t overloads = 0;
  int max_concurrency = 0;
  Duration service_time = std::chrono::milliseconds(5);
  ResponseDropper dropper;
  DelayQueue delays;
  std::unique_ptr<http::Server> server;
};

}  // namespace shallotbank::standins
