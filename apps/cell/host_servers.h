#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "cell/order_carriers.h"
#include "cell/records.h"
#include "cell/topic_digest.h"
#include "http/server.h"
#include "job_service.h"
#include "order_carrier.h"
#include "record_writer.h"
#include "runtime.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// The HTTP servers of a host: for callers, for the health checks of the load
/// balancer and for peers.
class HostServers {
 public:
  struct Services {
    JobService& jobs;
    StoreGateway& store;
    RecordWriter& writer;
    OrderCarrier& carrier;
    /// Runs on the core loop, as does `on_replies`.
    std::function<void(const ProgressMessage&)> on_progress;
    std::function<void(const ReplyBatch&)> on_replies;
    /// Returns a page of the digest of the topic with the given label, or
    /// nothing if this host keeps none from the offset on. Runs on the core
    /// loop.
    std::function<std::optional<DigestPage>(const std::string& topic,
                                            Offset from)>
        read_digest;
  };

  HostServers(Runtime& runtime, Services services);

  auto Start() -> boost::leaf::result<void>;
  /// Sets the result of health checks; callable from any thread.
  auto SetHealthy(bool is_healthy) -> void { this->is_healthy = is_healthy; }
  /// Keeps accepting connections until the load balancer has taken this host
  /// out of rotation.
  auto WaitForBalancer(TimePoint stopped_at) -> void;
  /// Number of open requests of callers.
  auto OpenRequests() const -> std::size_t;
  /// Drains the server for callers; returns the number of open requests left.
  auto DrainCallers(Duration deadline) -> std::size_t;
  auto Stop() -> void;

 private:
  auto HandleCaller(http::Request request, http::Responder responder) -> void;
  auto HandlePeer(const http::Request& request, http::Responder responder)
      -> void;
  /// Stores records that a peer sends to this host as the collector.
  auto HandleRecords(const http::Request& request, http::Responder responder)
      -> void;
  /// Applies progress updates that the leader sends, and passes them on.
  auto HandleProgressUpdates(const http::Request& request,
                             http::Responder responder) -> void;
  auto HandleDigest(const http::Request& request, http::Responder responder)
      -> void;
  /// Passes replies of workers, which a peer has called, to the leader.
  auto HandleOrderReplies(const http::Request& request,
                          http::Responder responder) -> void;

  Runtime& runtime;
  const Services services;
  std::atomic<bool> is_healthy{false};
  std::atomic<int> failed_health_checks{0};
  std::unique_ptr<http::Server> caller_server;
  std::unique_ptr<http::Server> health_server;
  std::unique_ptr<http::Server> peer_server;
};

}  // namespace shallotbank::cell
