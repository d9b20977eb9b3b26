#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

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
#include "host_servers.h"
#include "http/client.h"
#include "job_service.h"
#include "leader.h"
#include "leadership_policy.h"
#include "order_carrier.h"
#include "progress_feed.h"
#include "record_writer.h"
#include "runtime.h"
#include "standby_policy.h"
#include "store_gateway.h"
#include "topic_follower.h"
#include "worker_entries.h"

namespace shallotbank::cell {

/// The daemon that runs on each host. It accepts jobs from callers, follows the
/// topics of the store and, while it is the elected leader, schedules the cell.
class CellDaemon {
 public:
  explicit CellDaemon(adapter::HostSettings settings);
  ~CellDaemon();

  /// Runs until a stop signal arrives and open requests have been drained.
  auto Run() -> boost::leaf::result<int>;

 private:
  auto RunCore() -> void;
  auto Tick() -> void;
  auto GetProgressRole() const -> ProgressRole;
  /// Sets for each topic whether its records are read, and how often.
  auto UpdateReading(TimePoint now) -> void;
  auto ReadDigest(const std::string& topic, Offset from) const
      -> std::optional<DigestPage>;
  auto TickElection(TimePoint now) -> void;
  auto TickLeader(TimePoint now) -> void;
  auto TickPeers(TimePoint now) -> void;
  auto UpdateHealth(TimePoint now) -> void;
  /// Releases leadership; `reason` is logged.
  auto ReleaseLeadership(const std::string& reason, TimePoint now) -> void;
  auto BeginStop() -> void;
  /// Endpoint of the collector, the host that stores new jobs for all hosts:
  /// the leader or, while there is none, a fallback collector. Empty if it is
  /// this host.
  auto CollectorEndpoint(TimePoint now) const -> std::string;
  auto SendLeaderRecord(const LeaderAppend& append) -> void;

  auto OnJobsSnapshot(const std::vector<adapter::KeyedRecord>& records) -> void;
  auto OnProgressRecord(const adapter::KeyedRecord& record) -> void;
  /// Returns the updates that changed a state.
  auto OnProgressUpdates(const std::vector<ProgressUpdate>& updates)
      -> std::vector<ProgressUpdate>;
  /// Returns the handler of topics whose digest could not be read.
  auto DigestRefused() -> std::function<void(const std::string&)>;
  auto OnHostRecord(const adapter::KeyedRecord& record) -> void;
  auto OnJobRecord(const adapter::KeyedRecord& record) -> void;
  /// `job` is null if the record for the key changed nothing.
  auto ForwardJobToLeader(const std::string& key, const StoredJob* job) -> void;
  auto OnConfigurationRecord(const adapter::KeyedRecord& record) -> void;

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
  const std::string process;
  OrderCarrier carrier;
  WorkerEntries workers;
  Election election;
  LeadershipPolicy policy;
  StandbyPolicy standby;
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
  /// When a read of the jobs topic last reached its end.
  TimePoint jobs_caught_up_at;
  TimePoint workers_caught_up_at;   ///< The same for the topic of workers.
  TimePoint progress_caught_up_at;  ///< The same for the topic of progress.
  bool is_stopping = false;
  HostServers servers;
};

}  // namespace shallotbank::cell
