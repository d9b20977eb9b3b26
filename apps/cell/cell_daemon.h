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
#include "progress_feed.h"
#include "record_writer.h"
#include "runtime.h"
#include "store_gateway.h"
#include "topic_follower.h"

namespace shallotbank::cell {

/// Measurements of the way to the store of which the shortest counts.
inline constexpr std::size_t kLatenciesKept = 5;

/// The daemon of a host: it takes callers' jobs, follows what the store holds
/// and, while elected, schedules the cell.
class CellDaemon {
 public:
  explicit CellDaemon(adapter::HostSettings settings);
  ~CellDaemon();

  /// Runs until a stop signal and the drain after it.
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
  auto NoteStoreLatency(Duration latency) -> void;
  /// Hands the lead over for a reason that the log names.
  auto YieldLead(const std::string& reason, TimePoint now) -> void;
  auto IsFarFromStore(TimePoint now) const -> bool;
  auto BeginStop() -> void;
  /// Records that a peer hands over to be stored.
  auto TakeRecords(const http::Request& request, http::Responder responder)
      -> void;
  /// News of the leader.
  auto TakeNews(const http::Request& request, http::Responder responder)
      -> void;
  /// The host that stores new jobs for all: the leader, or a deputy while there
  /// is none. Empty for this host.
  auto CollectorEndpoint(TimePoint now) const -> std::string;
  /// Goes on accepting connections until the balancer sends no more.
  auto WaitForBalancer(TimePoint stopped_at) -> void;
  auto SendLeaderRecord(const LeaderAppend& append) -> void;

  auto OnJobs(const std::vector<adapter::KeyedRecord>& records) -> void;
  auto OnProgressRecord(const adapter::KeyedRecord& record) -> void;
  auto OnProgressNews(const std::vector<ProgressNews>& news) -> void;
  auto OnHostRecord(const adapter::KeyedRecord& record) -> void;
  auto OnJobRecord(const adapter::KeyedRecord& record) -> void;
  /// `job` is null if the record of the key changed nothing.
  auto HandToLeader(const std::string& key, const StoredJob* job) -> void;
  auto OnOperatorRecord(const adapter::KeyedRecord& record) -> void;
  auto OnWorkers(const std::vector<adapter::KeyedRecord>& records) -> void;
  auto OnWorkerRecord(const adapter::KeyedRecord& record) -> void;
  auto DropWorker(const std::string& id) -> void;
  auto WorkerList() const -> std::vector<WorkerReport>;

  const adapter::HostSettings settings;
  Metrics metrics;
  CoreLoop loop;
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
  std::vector<WorkerReport> worker_list;
  const std::string process;
  Election election;
  ProgressFeed feed;
  TimePoint news_at;  ///< When the leader last told progress.
  std::unique_ptr<Leader> leader;
  TopicFollower configuration_topic;
  TopicFollower workers_topic;
  TopicFollower jobs_topic;
  TopicFollower progress_topic;
  TopicFollower leader_topic;
  TopicFollower hosts_topic;
  TimePoint next_announce;
  /// The shortest of the latest measurements.
  std::optional<std::chrono::microseconds> store_latency;
  boost::circular_buffer<std::chrono::microseconds> latencies{kLatenciesKept};
  TimePoint leading_since;
  TimePoint jobs_read_to_end;  ///< When the topic of jobs last was.
  bool is_stopping = false;
  std::atomic<bool> is_healthy{false};
  std::atomic<int> failed_checks{0};
  std::unique_ptr<http::Server> callers;
  std::unique_ptr<http::Server> health;
  std::unique_ptr<http::Server> peer_server;
};

}  // namespace shallotbank::cell
