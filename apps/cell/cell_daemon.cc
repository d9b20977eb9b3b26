#include "cell_daemon.h"

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <thread>

#include "base/log.h"
#include "base/process.h"
#include "cell/records.h"
#include "topics.h"

namespace shallotbank::cell {
namespace {

namespace leaf = boost::leaf;

/// Interval at which scheduling decisions are made and records are batched.
constexpr std::chrono::milliseconds kTickInterval(4);
/// Delay between two reads of the host announcements.
constexpr std::chrono::milliseconds kHostsReadDelay(300);
/// Each worker writes its entry every 1.5 s; a new or departing worker must be
/// known within 2 s.
constexpr std::chrono::milliseconds kWorkersReadDelay(200);
/// A follower needs the workers only when it becomes the leader, and then reads
/// again immediately.
constexpr std::chrono::milliseconds kFollowerWorkersReadDelay(1000);
/// The leader stores new jobs for all hosts itself. It reads the topic only for
/// jobs that other hosts stored because they could not reach the leader.
constexpr std::chrono::milliseconds kLeaderJobsReadDelay(100);
/// A follower needs new jobs only to answer queries about them, which must work
/// within 3 s of acceptance.
constexpr std::chrono::milliseconds kFollowerJobsReadDelay(400);
/// Leadership claims of hosts at the same distance from the store are spread
/// over this time.
constexpr std::chrono::milliseconds kClaimSpread(30);
/// A host waits for this multiple of its round trip to the store before it
/// claims leadership, so that the nearest host wins by more than the network
/// jitter.
constexpr int kClaimDelayFactor = 5;
/// A longer round trip means that the store itself is slow; it says nothing
/// about the network path to it.
constexpr std::chrono::milliseconds kMaxNormalLatency(60);
/// A leader releases leadership if another host's round trip to the store is
/// this much shorter: each start and each completion of a task waits for the
/// store once.
constexpr std::chrono::milliseconds kMinLatencyGain(3);
constexpr std::chrono::seconds kMinLeadershipTime(3);
/// A host that knows a much larger one waits this much longer before it claims
/// leadership, so that the larger one wins from any failure domain.
constexpr std::chrono::milliseconds kSmallHostDelay(300);
constexpr std::chrono::milliseconds kClaimDelayInterval(100);
/// If no larger host takes over after a release, this host leads for at least
/// this time before it releases leadership for that reason again.
constexpr std::chrono::seconds kSizeYieldInterval(20);
constexpr std::size_t kMinLatencySamples = 2;
/// Part of the grace period that is reserved for closing connections and
/// exiting.
constexpr std::chrono::milliseconds kExitMargin(1200);
/// The load balancer checks health once a second and sends no new connections
/// after two failed checks.
constexpr int kFailedChecksToLeaveRotation = 2;
constexpr std::chrono::milliseconds kMaxBalancerWait(3000);
constexpr std::chrono::milliseconds kBalancerPollInterval(20);
constexpr std::chrono::milliseconds kArrivingConnectionsWait(100);
constexpr std::chrono::milliseconds kLeaderAppendTimeout(800);
constexpr std::chrono::milliseconds kSignalPollInterval(200);
/// A host that has not read the jobs topic for this long fails its health
/// check, so that callers are sent to other hosts.
constexpr std::chrono::milliseconds kMaxJobsReadAge(2500);
/// The platform's limit on file descriptors allows for two per connection.
constexpr std::size_t kMaxCallerConnections = 1500;
constexpr std::size_t kMaxPeerConnections = 200;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

auto ClaimSpreadOf(const std::string& host) -> Duration {
  constexpr std::size_t kSteps = 16;
  return kClaimSpread * (std::hash<std::string>{}(host) % kSteps) / kSteps;
}

auto NewProcessId() -> std::string {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random());
}

}  // namespace

CellDaemon::CellDaemon(adapter::HostSettings given)
    : settings(std::move(given)),
      runtime{this->settings, this->loop, this->client,
              this->metrics,  this->busy, {}},
      peers(this->settings.host,
            this->settings.peers.Text(),
            this->settings.seeds),
      store(this->runtime, this->peers),
      writer(this->runtime,
             this->store,
             kJobsTopic,
             [this](const auto& record) { this->OnJobRecord(record); }),
      service(this->runtime,
              this->store,
              this->writer,
              {this->jobs, this->configuration, this->is_configured}),
      process(NewProcessId()),
      carrier(this->runtime, this->store, this->process),
      election(this->settings.host,
               this->process,
               kMaxNormalLatency * kClaimDelayFactor),
      feed(this->runtime, this->store, this->peers),
      configuration_topic(
          this->runtime,
          this->store,
          adapter::kConfigurationTopic,
          Duration::zero(),
          {[this](const auto& records) {
             for (const auto& record : records) {
               this->OnConfigurationRecord(record);
             }
           },
           [this](const auto& record) { this->OnConfigurationRecord(record); },
           [](Offset, TimePoint) {}}),
      workers_topic(
          this->runtime,
          this->store,
          adapter::kWorkersTopic,
          kWorkersReadDelay,
          {[this](const auto& records) { this->OnWorkersSnapshot(records); },
           [this](const auto& record) { this->OnWorkerRecord(record); },
           [](Offset, TimePoint) {}}),
      jobs_topic(
          this->runtime,
          this->store,
          kJobsTopic,
          Duration::zero(),
          {[this](const auto& records) { this->OnJobsSnapshot(records); },
           [this](const auto& record) { this->OnJobRecord(record); },
           [this](Offset, TimePoint as_of) {
             this->jobs_caught_up_at = as_of;
             this->service.SetJobsCaughtUpAt(this->jobs_caught_up_at);
           }}),
      progress_topic(
          this->runtime,
          this->store,
          kProgressTopic,
          ProgressReadDelay(ProgressRole::kFollower, Duration::max()),
          {[this](const auto& records) {
             for (const auto& record : records) {
               this->OnProgressRecord(record);
             }
           },
           [this](const auto& record) { this->OnProgressRecord(record); },
           [](Offset, TimePoint) {}}),
      leader_topic(
          this->runtime,
          this->store,
          kLeaderTopic,
          Duration::zero(),
          {[this](const auto& records) {
             for (const auto& record : records) {
               const auto read = DecodeLeaderRecord(record.value.value_or(""));
               if (read) {
                 this->election.OnRecord(record.offset, *read,
                                         this->runtime.clock.Now());
               }
             }
           },
           [this](const auto& record) {
             const auto read = DecodeLeaderRecord(record.value.value_or(""));
             if (read) {
               this->election.OnRecord(record.offset, *read,
                                       this->runtime.clock.Now());
             }
           },
           [this](Offset end, TimePoint) {
             this->election.OnReadToEnd(end, this->runtime.clock.Now());
           }}),
      hosts_topic(this->runtime,
                  this->store,
                  kHostsTopic,
                  kHostsReadDelay,
                  {[this](const auto& records) {
                     for (const auto& record : records) {
                       this->OnHostRecord(record);
                     }
                   },
                   [this](const auto& record) { this->OnHostRecord(record); },
                   [](Offset, TimePoint) {}}) {}

CellDaemon::~CellDaemon() = default;

auto CellDaemon::OnProgressRecord(const adapter::KeyedRecord& record) -> void {
  this->jobs.OnProgressRecord(record.key, record.value, record.offset,
                              this->runtime.clock.Now());
}

auto CellDaemon::OnProgressUpdates(const std::vector<ProgressUpdate>& updates)
    -> void {
  const auto now = this->runtime.clock.Now();
  this->progress_updated_at = now;
  for (const auto& update : updates) {
    this->jobs.OnProgressRecord(update.job, update.progress, update.offset,
                                now);
  }
}

auto CellDaemon::OnHostRecord(const adapter::KeyedRecord& record) -> void {
  this->peers.OnAnnouncement(record.key, record.value.value_or(""),
                             this->runtime.clock.Now());
}

auto CellDaemon::OnJobsSnapshot(
    const std::vector<adapter::KeyedRecord>& records) -> void {
  for (const auto& record : records) {
    this->ForwardJobToLeader(
        record.key, this->jobs.OnOldJobRecord(
                        record.key, record.value, this->runtime.clock.Now(),
                        std::chrono::system_clock::now()));
  }
}

auto CellDaemon::OnJobRecord(const adapter::KeyedRecord& record) -> void {
  this->ForwardJobToLeader(record.key,
                           this->jobs.OnJobRecord(record.key, record.value,
                                                  this->runtime.clock.Now()));
}

auto CellDaemon::ForwardJobToLeader(const std::string& key,
                                    const StoredJob* job) -> void {
  if (job == nullptr || this->leader == nullptr) {
    return;
  }
  constexpr std::size_t kIdDigits = 16;
  this->leader->OnJob(JobId(key.substr(0, kIdDigits)), *job);
}

auto CellDaemon::OnConfigurationRecord(const adapter::KeyedRecord& record)
    -> void {
  if (record.key != adapter::kConfigurationKey || !record.value) {
    return;
  }
  auto read = adapter::ParseConfiguration(*record.value);
  if (!read) {
    LogEvent(Event::kLogRecordInvalid,
             {{"topic", adapter::kConfigurationTopic},
              {"offset", std::to_string(record.offset)}});
    return;
  }
  if (this->is_configured &&
      read->cell.version <= this->configuration.cell.version) {
    return;  // Only a higher version replaces the active configuration.
  }
  this->configuration = std::move(*read);
  this->is_configured = true;
  LogEvent(Event::kConfigurationAccepted,
           {{"version", std::to_string(this->configuration.cell.version)},
            {"queues", std::to_string(this->configuration.cell.queues.size())},
            {"organisations",
             std::to_string(this->configuration.cell.organisations.size())}});
  if (this->leader) {
    this->leader->OnConfiguration(this->configuration.cell);
  }
}

auto CellDaemon::RemoveWorker(const std::string& id) -> void {
  this->carrier.RemoveWorker(id);
  if (this->workers.erase(id) > 0 && this->leader) {
    this->leader->OnWorkerGone(WorkerId(id));
  }
}

auto CellDaemon::OnWorkersSnapshot(
    const std::vector<adapter::KeyedRecord>& records) -> void {
  std::set<std::string> listed_ids;
  for (const auto& record : records) {
    listed_ids.insert(record.key);
    this->OnWorkerRecord(record);
  }
  std::vector<std::string> removed_ids;
  for (const auto& [id, worker] : this->workers) {
    if (!listed_ids.contains(id)) {
      removed_ids.push_back(id);
    }
  }
  for (const auto& id : removed_ids) {
    this->RemoveWorker(id);
  }
}

auto CellDaemon::OnWorkerRecord(const adapter::KeyedRecord& record) -> void {
  auto& latest_offset = this->worker_offsets[record.key];
  if (record.offset < latest_offset) {
    return;  // A stale entry that was read after a newer one.
  }
  latest_offset = record.offset;
  auto report = record.value ? adapter::ParseWorker(record.key, *record.value)
                             : std::nullopt;
  if (!report) {
    if (record.value) {
      this->metrics.Add("worker_entries_ignored_total");
    }
    this->RemoveWorker(record.key);
    return;
  }
  this->carrier.SetWorker(record.key, report->address);
  if (this->leader) {
    this->leader->OnWorker(*report);
  }
  this->workers[record.key] = std::move(*report);
}

auto CellDaemon::SendLeaderRecord(const LeaderAppend& append) -> void {
  adapter::AppendRequest request;
  request.topic = kLeaderTopic;
  request.expected_end = append.at;
  request.records = {{kLeaderKey, EncodeLeaderRecord(append.record)}};
  request.timeout = kLeaderAppendTimeout;
  const auto sent = this->runtime.clock.Now();
  if (append.record.kind == LeaderRecord::Kind::kClaim) {
    LogEvent(Event::kClaimAppended, {{"at", std::to_string(append.at)}});
  }
  this->store.Send(
      adapter::MakeAppendCall(this->settings.store, request),
      [this, append, sent](const http::Reply& reply) {
        const auto result = adapter::ParseAppendReply(reply);
        if (result.outcome == adapter::AppendResult::Outcome::kStored) {
          this->election.OnAppended(result.offset, append.record, sent);
        } else {
          this->election.OnAppendFailed(this->runtime.clock.Now());
        }
      });
}

auto CellDaemon::TickElection(TimePoint now) -> void {
  if (this->leader && this->leader->IsFenced()) {
    this->election.OnFenced();
  }
  const bool is_isolated = this->peers.IsIsolated(now);
  const bool is_impaired = this->store.IsImpaired(now);
  this->election.SetHandicap(is_isolated || is_impaired);
  const auto leader_process =
      this->peers.ProcessOf(this->election.LeaderHost());
  this->election.SetLeaderGone(!leader_process.empty() &&
                               leader_process !=
                                   this->election.LeaderProcess());
  const auto& leader_host = this->election.LeaderHost();
  if (!leader_host.empty() && leader_host != this->settings.host) {
    this->yielded_to_larger_at = TimePoint();
  }
  if (this->election.IsLeader()) {
    if (is_isolated) {
      // A leader depends on the other hosts for most of its work.
      this->ReleaseLeadership("isolated", now);
    } else if (is_impaired) {
      // This host reaches the store only through peers, so any of them is a
      // better leader.
      this->ReleaseLeadership("store-out-of-reach", now);
    } else if (this->ShouldYieldToLargerPeer(now)) {
      this->yielded_to_larger_at = now;
      this->ReleaseLeadership("small-host", now);
    } else if (this->IsPeerNearerToStore(now)) {
      this->ReleaseLeadership("far-from-store", now);
    }
  }
  if (now >= this->next_claim_delay_update) {
    this->next_claim_delay_update = now + kClaimDelayInterval;
    this->UpdateClaimDelay(now);
  }
  if (const auto append = this->election.NextAppend(now)) {
    this->SendLeaderRecord(*append);
  }
}

auto CellDaemon::ReleaseLeadership(const std::string& reason, TimePoint now)
    -> void {
  LogEvent(Event::kOwnershipReleased,
           {{"epoch", std::to_string(this->election.OwnEpoch())},
            {"reason", reason}});
  this->leader.reset();
  this->election.Yield(now);
}

auto CellDaemon::ShouldYieldToLargerPeer(TimePoint now) const -> bool {
  const bool has_tried_lately =
      this->yielded_to_larger_at != TimePoint() &&
      now - this->yielded_to_larger_at < kSizeYieldInterval;
  return now - this->leading_since > kMinLeadershipTime && !has_tried_lately &&
         this->peers.HasLargerPeer(this->settings.capacity, now);
}

auto CellDaemon::IsPeerNearerToStore(TimePoint now) const -> bool {
  const auto best = this->peers.BestStoreLatency(this->settings.capacity, now);
  return this->store_latency && best &&
         now - this->leading_since > kMinLeadershipTime &&
         this->latency_samples.size() >= kMinLatencySamples &&
         *this->store_latency < kMaxNormalLatency &&
         this->latency_samples.back() < kMaxNormalLatency &&
         *best * 3 / 2 + kMinLatencyGain < *this->store_latency;
}

auto CellDaemon::RecordStoreLatency(Duration latency) -> void {
  this->latency_samples.push_back(
      std::chrono::ceil<std::chrono::microseconds>(latency));
  this->store_latency = *std::min_element(this->latency_samples.begin(),
                                          this->latency_samples.end());
}

auto CellDaemon::UpdateClaimDelay(TimePoint now) -> void {
  const auto capped_latency = std::min<Duration>(
      this->store_latency.value_or(kMaxNormalLatency), kMaxNormalLatency);
  this->election.SetClaimDelay(
      capped_latency * kClaimDelayFactor + ClaimSpreadOf(this->settings.host) +
      (this->peers.HasLargerPeer(this->settings.capacity, now)
           ? Duration(kSmallHostDelay)
           : Duration()));
}

auto CellDaemon::TickLeader(TimePoint now) -> void {
  const auto epoch = this->election.OwnEpoch();
  if (this->leader && this->leader->GetEpoch() != epoch) {
    LogEvent(Event::kOwnershipLost,
             {{"epoch", std::to_string(this->leader->GetEpoch())},
              {"leader", this->election.LeaderHost()}});
    this->leader.reset();
  }
  if (epoch == 0 || !this->is_configured || !this->jobs_topic.IsCaughtUp() ||
      !this->workers_topic.IsCaughtUp() || !this->progress_topic.IsCaughtUp()) {
    return;
  }
  if (!this->leader) {
    this->leader = std::make_unique<Leader>(
        this->runtime, this->store, this->peers, epoch,
        this->election.PreviousAuthorityEnd(
            [this](const std::string& host) {
              return this->peers.ProcessOf(host);
            },
            now),
        [this](const std::vector<ProgressUpdate>& updates) {
          this->OnProgressUpdates(updates);
          this->feed.Publish(updates);
        });
    this->leader->FencePreviousLeader();
    this->leading_since = now;
  }
  this->leader->Tick(
      {this->jobs, this->configuration, this->workers, this->jobs_caught_up_at},
      this->progress_topic.Position(), this->election.HasLeaseAuthority(now));
}

auto CellDaemon::CollectorEndpoint(TimePoint now) const -> std::string {
  if (this->election.IsLeader()) {
    return "";
  }
  if (now - this->election.LastRenewalSeen() < kLeaderTimeout) {
    auto leader = this->peers.EndpointOf(this->election.LeaderHost(),
                                         this->election.LeaderProcess(), now);
    if (!leader.empty()) {
      return leader;
    }
  }
  // Without a leader, all hosts that reach the same peers choose the same
  // fallback collector.
  const auto own = this->settings.peers.Text();
  const auto reachable = this->peers.Reachable(now);
  const auto first = std::min_element(reachable.begin(), reachable.end());
  return first == reachable.end() || own < *first ? "" : *first;
}

auto CellDaemon::TickPeers(TimePoint now) -> void {
  if (now < this->next_announce) {
    return;
  }
  this->next_announce = now + kAnnounceInterval;
  adapter::AppendRequest request;
  request.topic = kHostsTopic;
  adapter::KeyedRecord record{this->settings.host, std::nullopt};
  if (!this->is_stopping) {
    record.value =
        EncodeAnnouncement({this->settings.peers.Text(), this->process,
                            std::to_string(now.time_since_epoch().count()),
                            this->store_latency, this->settings.capacity});
  }
  request.records = {record};
  this->store.Send(adapter::MakeAppendCall(this->settings.store, request),
                   [](const http::Reply&) {});
  this->store.SendDirect(
      adapter::MakeSnapshotCall(this->settings.store, kLeaderTopic, ""),
      [this, sent = now](const http::Reply& reply) {
        if (reply.IsSuccess()) {
          this->RecordStoreLatency(this->runtime.clock.Now() - sent);
        }
      });
}

auto CellDaemon::UpdateHealth(TimePoint now) -> void {
  const bool has_view = this->is_configured && this->jobs_topic.IsCaughtUp() &&
                        this->progress_topic.IsCaughtUp() &&
                        now - this->jobs_topic.LastRead() < kMaxJobsReadAge;
  this->is_healthy = has_view && !this->is_stopping;
}

auto CellDaemon::GetProgressRole() const -> ProgressRole {
  if (this->leader) {
    return this->leader->IsScheduling() ? ProgressRole::kLeader
                                        : ProgressRole::kTakingOver;
  }
  return this->election.IsLeader() ? ProgressRole::kTakingOver
                                   : ProgressRole::kFollower;
}

auto CellDaemon::Tick() -> void {
  const auto now = this->runtime.clock.Now();
  this->jobs_topic.SetReadDelay(this->leader ? kLeaderJobsReadDelay
                                             : kFollowerJobsReadDelay);
  this->workers_topic.SetReadDelay(this->leader ? kWorkersReadDelay
                                                : kFollowerWorkersReadDelay);
  this->progress_topic.SetReadDelay(ProgressReadDelay(
      this->GetProgressRole(), now - this->progress_updated_at));
  {
    const auto feeding = this->busy.Measure(Duty::kFeeding);
    this->feed.Tick(now);
  }
  this->configuration_topic.Tick(now);
  this->workers_topic.Tick(now);
  this->jobs_topic.Tick(now);
  this->progress_topic.Tick(now);
  this->leader_topic.Tick(now);
  this->hosts_topic.Tick(now);
  this->writer.SetCollector(this->CollectorEndpoint(now));
  this->writer.Tick(now);
  this->store.Tick(now);
  this->TickElection(now);
  this->TickLeader(now);
  this->carrier.Tick(now);
  this->TickPeers(now);
  this->UpdateHealth(now);
}

auto CellDaemon::BeginStop() -> void {
  this->is_stopping = true;
  this->is_healthy = false;
  const auto epoch = this->election.OwnEpoch();
  if (this->election.Retire(this->runtime.clock.Now())) {
    // Stops sending orders before the release, so that none of them interferes
    // with the next leader.
    this->leader.reset();
    LogEvent(Event::kOwnershipReleased,
             {{"epoch", std::to_string(epoch)}, {"reason", "stop"}});
  }
  this->next_announce = TimePoint();
}

auto CellDaemon::StartServers() -> leaf::result<void> {
  http::ServerOptions options;
  options.threads = 1;
  options.address = this->settings.callers.address;
  options.port = this->settings.callers.port;
  options.max_connections = kMaxCallerConnections;
  options.metrics = &this->metrics;
  this->caller_server = std::make_unique<http::Server>(
      options, [this](http::Request request, http::Responder responder) {
        auto shared = std::make_shared<http::Responder>(std::move(responder));
        auto kept = std::make_shared<http::Request>(std::move(request));
        const bool is_posted = this->loop.Post([this, shared, kept] {
          const auto serving = this->busy.Measure(Duty::kCallers);
          this->service.Handle(*kept, std::move(*shared));
        });
        if (!is_posted) {
          this->metrics.Add("refusals_total", "core-queue-full");
          shared->Send({kUnavailable, {{"Retry-After", "1"}}, ""});
        }
      });
  BOOST_LEAF_CHECK(this->caller_server->Start());

  options.address = this->settings.health.address;
  options.port = this->settings.health.port;
  options.max_connections = kMaxPeerConnections;
  this->health_server = std::make_unique<http::Server>(
      options, [this](const http::Request& request, http::Responder responder) {
        const bool is_ok =
            request.path == adapter::kHealthPath && this->is_healthy;
        this->failed_health_checks += is_ok ? 0 : 1;
        responder.Send({is_ok ? kOk : kUnavailable, {}, ""});
      });
  BOOST_LEAF_CHECK(this->health_server->Start());

  options.address = this->settings.peers.address;
  options.port = this->settings.peers.port;
  this->peer_server = std::make_unique<http::Server>(
      options, [this](const http::Request& request, http::Responder responder) {
        if (request.path == kRelayPath) {
          this->store.Relay(request, std::move(responder));
        } else if (request.path == kRecordsPath) {
          this->HandleRecords(request, std::move(responder));
        } else if (request.path == kProgressUpdatesPath) {
          this->HandleProgressUpdates(request, std::move(responder));
        } else if (request.path == kOrdersPath) {
          this->carrier.Handle(request, std::move(responder));
        } else if (request.path == kOrderRepliesPath) {
          this->HandleOrderReplies(request, std::move(responder));
        } else if (request.path == "/metrics") {
          responder.Send(
              {kOk, {{"Content-Type", "text/plain"}}, this->metrics.Expose()});
        } else {
          responder.Send({kNotFound, {}, ""});
        }
      });
  BOOST_LEAF_CHECK(this->peer_server->Start());
  return {};
}

auto CellDaemon::HandleRecords(const http::Request& request,
                               http::Responder responder) -> void {
  auto shared = std::make_shared<http::Responder>(std::move(responder));
  auto kept = std::make_shared<http::Request>(request);
  const bool is_posted = this->loop.Post(
      [this, shared, kept] { this->writer.WriteForPeer(*kept, shared); });
  if (!is_posted) {
    this->metrics.Add("refusals_total", "core-queue-full");
    shared->Send({kUnavailable, {}, ""});
  }
}

auto CellDaemon::HandleProgressUpdates(const http::Request& request,
                                       http::Responder responder) -> void {
  auto message = DecodeProgressMessage(request.body);
  if (!message) {
    responder.Send({kBadRequest, {}, "not news of progress"});
    return;
  }
  const bool is_posted = this->loop.Post(
      [this, kept = std::make_shared<ProgressMessage>(std::move(*message))] {
        this->OnProgressUpdates(kept->batch->updates);
        this->feed.Forward(*kept);
      });
  responder.Send({is_posted ? kOk : kUnavailable, {}, ""});
}

auto CellDaemon::HandleOrderReplies(const http::Request& request,
                                    http::Responder responder) -> void {
  auto batch = DecodeReplyBatch(request.body);
  if (!batch) {
    responder.Send({kBadRequest, {}, "not a batch of replies"});
    return;
  }
  const bool is_posted = this->loop.Post(
      [this, kept = std::make_shared<ReplyBatch>(std::move(*batch))] {
        if (this->leader) {
          this->leader->OnCarriedReplies(*kept);
        }
      });
  responder.Send({is_posted ? kOk : kUnavailable, {}, ""});
}

auto CellDaemon::RunCore() -> void {
  this->configuration_topic.Start();
  this->workers_topic.Start();
  this->jobs_topic.Start();
  this->progress_topic.Start();
  this->leader_topic.Start();
  this->hosts_topic.Start();
  this->loop.Run(kTickInterval, [this] { this->Tick(); });
}

auto CellDaemon::WaitForBalancer(TimePoint stopped_at) -> void {
  const auto before = this->failed_health_checks.load();
  const auto longest =
      std::min<Duration>(kMaxBalancerWait, this->settings.stop_grace / 2);
  while (this->failed_health_checks - before < kFailedChecksToLeaveRotation &&
         this->runtime.clock.Now() - stopped_at < longest) {
    std::this_thread::sleep_for(kBalancerPollInterval);
  }
  // Connections opened before the last health check may still be arriving.
  std::this_thread::sleep_for(kArrivingConnectionsWait);
}

auto CellDaemon::Run() -> leaf::result<int> {
  BOOST_LEAF_CHECK(this->StartServers());
  std::thread core([this] { this->RunCore(); });
  auto signal = ProcessSignal::kNone;
  while (signal != ProcessSignal::kStop) {
    signal = WaitForSignal(kSignalPollInterval);
    if (signal == ProcessSignal::kReload) {
      LogEvent(Event::kSettingsReloaded, {});
    }
  }
  LogEvent(Event::kProcessStopping,
           {{"open", std::to_string(this->caller_server->OpenRequests())}});
  this->loop.Post([this] { this->BeginStop(); });
  const auto stopped_at = this->runtime.clock.Now();
  this->WaitForBalancer(stopped_at);
  const auto spent = this->runtime.clock.Now() - stopped_at;
  const auto left = this->caller_server->Drain(this->settings.stop_grace -
                                               kExitMargin - spent);
  if (left > 0) {
    LogEvent(Event::kDrainDeadlinePassed, {{"open", std::to_string(left)}});
  }
  this->loop.Stop();
  core.join();
  this->caller_server->Stop();
  this->health_server->Stop();
  this->peer_server->Stop();
  return kExitOk;
}

}  // namespace shallotbank::cell
