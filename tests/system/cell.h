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

/// A cell on the loopback interface: the platform's stand-ins run in this
/// process, and each entry host runs one entry and one scheduler daemon as
/// child processes. Team `red` has the key `red-secret`, team `blue` has
/// `blue-secret`.
class Cell {
 public:
  struct Options {
    int hosts = 2;
    int workers = 8;
    int minions = 6;
  };

  struct EntryHost {
    std::string name;
    std::string entry_url;  ///< Base URL of the entry daemon.
    int entry_http_port = 0;
    int entry_rpc_port = 0;
    int sched_rpc_port = 0;
    std::unique_ptr<ChildProcess> entry;
    std::unique_ptr<ChildProcess> sched;
  };

  explicit Cell(Options options);
  /// Starts all hosts, waits until they are ready and publishes the
  /// configuration. Returns false if a stand-in does not start or the
  /// cell is not ready in time.
  auto Start() -> bool;
  auto StartHost(EntryHost& host) -> void;

  /// Sends a request with the name and the key of team `red` and waits for the
  /// reply.
  auto CallAsTeam(std::size_t host,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body,
                  std::vector<http::Header> headers = {},
                  Duration timeout = std::chrono::seconds(10)) -> http::Reply;
  auto CallAsOperator(std::size_t host,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body = "") -> http::Reply;
  /// Sends a request for a minion with the given profile. An empty `id` leaves
  /// out the request id.
  auto SendRequest(std::size_t host,
                   const std::string& profile,
                   const std::string& id,
                   const std::string& body) -> http::Reply;
  /// Submits a job and returns its id, or an empty string on failure.
  auto SubmitJob(std::size_t host,
                 const std::string& profile,
                 int tasks,
                 int run_ms) -> std::string;
  auto JobState(std::size_t host, const std::string& job) -> std::string;
  /// Returns the index of the host whose scheduler owns the shard, or -1.
  auto ShardOwnerHost() -> int;

  /// Polls `done` until it returns true or `timeout` has passed. Returns
  /// whether it returned true.
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
  auto PublishHostList() -> void;
  auto PublishConfiguration() -> bool;

  Options options;
};

/// Parses the JSON body of a reply; a discarded value if it is malformed.
auto ParseBody(const http::Reply& reply) -> nlohmann::json;

/// The members `reason` and `execution` (whether the work may have run) of an
/// error response; empty for other replies.
auto ErrorReason(const http::Reply& reply) -> std::string;
auto ErrorExecution(const http::Reply& reply) -> std::string;

}  // namespace shallotbank::system_test
