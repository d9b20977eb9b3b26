#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "child_process.h"
#include "http/client.h"
#include "standins/host_list_standin.h"
#include "standins/log_standin.h"
#include "standins/minion_standin.h"
#include "standins/worker_standin.h"

namespace shallotbank::system_test {

/// A cell on loopback: stand-ins in this process and entry hosts of two daemons
/// each. Team `red` has key `red-secret` and team `blue` has `blue-secret`.
class Cell {
 public:
  struct Options {
    int hosts = 2;
    int workers = 8;
    int minions = 6;
  };

  struct EntryHost {
    std::string name;
    std::string http;  ///< URL of the entry daemon.
    int entry_port = 0;
    int entry_rpc = 0;
    int sched_rpc = 0;
    std::unique_ptr<ChildProcess> entry;
    std::unique_ptr<ChildProcess> sched;
  };

  explicit Cell(Options options);
  /// Starts all hosts, waits until they are ready and publishes.
  auto Start() -> bool;
  auto StartHost(EntryHost& host) -> void;

  /// A call with the headers of team `red` and its key.
  auto Call(std::size_t host,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            std::vector<http::Header> headers = {},
            Duration timeout = std::chrono::seconds(10)) -> http::Reply;
  auto Operator(std::size_t host,
                const std::string& method,
                const std::string& path,
                const std::string& body = "") -> http::Reply;
  /// A request to minions with the given profile.
  auto Request(std::size_t host,
               const std::string& profile,
               const std::string& id,
               const std::string& body) -> http::Reply;
  /// Submits a job; its id, or empty.
  auto Submit(std::size_t host,
              const std::string& profile,
              int tasks,
              int run_ms) -> std::string;
  auto JobState(std::size_t host, const std::string& job) -> std::string;
  /// The index of the host whose scheduler owns the shard, or -1.
  auto SchedOwner() -> int;

  /// Polls until `done` or `timeout`.
  static auto WaitFor(Duration timeout, const std::function<bool()>& done)
      -> bool;

  standins::LogStandin log;
  standins::HostListStandin host_list;
  standins::WorkerStandin workers;
  standins::MinionStandin minions;
  http::Client client;
  std::vector<EntryHost> hosts;
  std::string log_retention = "86400s";

 private:
  auto ListHosts() -> void;
  auto Publish() -> bool;

  Options options;
};

/// The JSON body of a reply; null if it is malformed.
auto Body(const http::Reply& reply) -> nlohmann::json;

/// The reason of a refusal, and whether the work may have run.
auto Reason(const http::Reply& reply) -> std::string;
auto Execution(const http::Reply& reply) -> std::string;

}  // namespace shallotbank::system_test
