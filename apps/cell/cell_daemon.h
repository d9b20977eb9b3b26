#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/circular_buffer.hpp>
#include <boost/leaf.hpp>

#include "adapter/host_settings.h"
#include "adapter/operator_documents.h"
#include "base/core_loop.h"
#include "base/metrics.h"
#include "cell/election.h"
#include "cell/job_table.h"
#include "cell/peer_directory.h"
#include "cell/reading_pace.h"
#include "cell/records.h"
#include "http/client.h"
#include "http/server.h"
#include "job_service.h"
#include "leader.h"
#include "order_carrier.h"
#include "progress_feed.h"
#include "record_writer.h"
#include "runtime.h"
#include "store_gateway.h"
#include "topic_follower.h"

namespace shallotbank::cell {

/// Number of recent round trips to the store that are kept. The shortest of
/// them is taken as the distance of this host from the store.
inline constexpr std::size_t kMaxLatencySamples = 5;

/// The daemon that runs on each host. It accepts jobs from callers, follows the
/// topics of the store and, while it is the elected leader, schedules the cell.
class CellDaemon {
 public:
  explicit CellDaemon(adapter::HostSettings settings);
  ~CellDaemon();

  /// Runs until a stop signal arrives and open requests have been drained.
  auto Run() -> boost::leaf::result<int>;

 private:
  auto StartServers() -> boost::leaf::result<void>;
  auto RunCore() -> void;
  auto Tick() -> void;
  auto GetProgressRole() const -> ProgressRole;
  auto TickElection(TimePoint now) -> void;
  auto TickLeader(TimePoint now) -> void;
  auto TickPeers(TimePoint now) -> void;
  auto UpdateHealth(TimePoint now) -> void;
  auto RecordStoreLatency(Duration latency) -> void;
  /// Releases leadership; `reason` is logged.
  auto ReleaseLeadership(const std::string& reason, TimePoint now) -> void;
  auto IsPeerNearerToStore(TimePoint now) const -> bool;
  auto ShouldYieldToLargerPeer(TimePoint now) const -> bool;
  auto UpdateClaimDelay(TimePoint now) -> void;
  auto BeginStop() -> void;
  /// Stores records that a peer sends to this host as the collector.
  auto HandleRecords(const http::Request& request, http::Responder responder)
      -> void;
  /// Applies progress updates that the leader sends, and passes them on.
  auto HandleProgressUpdates(const http::Request& request,
                             http::Responder responder) -> void;
  /// Passes replies of workers, which a peer has called, to the leader.
  auto HandleOrderReplies(const http::Request& request,
                          http::Responder responder) -> void;
  /// Endpoint of the collector, the host that stores new jobs for all hosts:
  /// the leader or, while there is none, a fallback collector. Empty if it is
  /// this host.
  auto CollectorEndpoint(TimePoint now) const -> std::string;
  /// Keeps accepting connections until the load balancer has taken this host
  /// out of rotation.
  auto WaitForBalancer(TimePoint stopped_at) -> void;
  auto SendLeaderRecord(const LeaderAppend& append) -> void;

  auto OnJobsSnapshot(const std::vector<adapter::KeyedRecord>& records) -> void;
  auto OnProgressRecord(const adapter::KeyedRecord& record) -> void;
  auto OnProgressUpdates(const std::vector<ProgressUpdate>& updates) -> void;
  auto OnHostRecord(const adapter::KeyedRecord& record) -> void;
  auto OnJobRecord(const adapter::KeyedRecord& record) -> void;
  /// `job` is null if the record for the key changed nothing.
  auto ForwardJobToLeader(const std::string& key, const StoredJob* job) -> void;
  auto OnConfigurationRecord(const adapter::KeyedRecord& record) -> void;
  auto OnWorkersSnapshot(const std::vector<adapter::KeyedRecord>& records)
      -> void;
  auto OnWorkerRecord(const adapter::KeyedRecord& record) -> void;
  auto RemoveWorker(const std::string& id) -> void;

  const adapter::HostSettings settings;
  Metrics metrics;
  CoreLoop loop;
  BusyTime busy;
  http::Client client;
  Runtime runtime;
  PeerDirectory peers;
  StoreGateway store;
  RecordWriter writer;
  JobTable jobs;
  adapter::OperatorConfiguration configuration;
  bool is_configured = false;
  JobService service;
  std::map<std::string, WorkerReport> workers;
  std::map<std::string, Offset> worker_offsets;
  const std::string process;
  OrderCarrier carrier;
  Election election;
  ProgressFeed feed;
  TimePoint progress_updated_at;  ///< When the leader last sent any.
  std::unique_ptr<Leader> leader;
  TopicFollower configuration_topic;
  TopicFollower workers_topic;
  TopicFollower jobs_topic;
  TopicFollower progress_topic;
  TopicFollower leader_topic;
  TopicFollower hosts_topic;
  TimePoint next_announce;
  /// The shortest of the latency samples.
  std::optional<std::chrono::microseconds> store_latency;
  boost::circular_buffer<std::chrono::microseconds> latency_samples{
      kMaxLatencySamples};
  TimePoint leading_since;
  TimePoint yielded_to_larger_at;
  TimePoint next_claim_delay_update;
  /// When a read of the jobs topic last reached its end.
  TimePoint jobs_caught_up_at;
  bool is_stopping = false;
  std::atomic<bool> is_healthy{false};
  std::atomic<int> failed_health_checks{0};
  std::unique_ptr<http::Server> caller_server;
  std::unique_ptr<http::Server> health_server;
  std::unique_ptr<http::Server> peer_server;
};

}  // namespace shallotbank::cell
