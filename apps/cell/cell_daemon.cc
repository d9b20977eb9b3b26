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

/// Decisions are made and records grouped this often.
constexpr std::chrono::milliseconds kTickInterval(4);
/// Pause between two reads of the announcements of hosts.
constexpr std::chrono::milliseconds kHostsPause(300);
/// Each worker writes its entry every 1.5 s; a new or leaving one has to be
/// known within 2 s.
constexpr std::chrono::milliseconds kWorkersPause(200);
/// A host that does not lead needs the workers only when it takes over, and
/// reads on at once then.
constexpr std::chrono::milliseconds kFollowerWorkersPause(1000);
/// The leader stores new jobs itself, for all hosts; it reads those that others
/// have stored because they could not reach it.
constexpr std::chrono::milliseconds kLeaderJobsPause(100);
/// A host that does not lead needs new jobs only to answer queries, within 3 s
/// of their acceptance.
constexpr std::chrono::milliseconds kFollowerJobsPause(400);
/// Claims of hosts that are equally near to the store are spread over this.
constexpr std::chrono::milliseconds kClaimSpread(30);
/// A host waits this many times its way to the store before it claims, so that
/// the nearest one wins by more than the jitter of the network.
constexpr int kClaimDelayFactor = 5;
/// Above this the store is slow, which says nothing of the way to it.
constexpr std::chrono::milliseconds kOrdinaryLatency(60);
/// A leader hands over if another host is this much nearer to the store: each
/// start and each end waits for the store once.
constexpr std::chrono::milliseconds kLatencyGain(3);
constexpr std::chrono::seconds kLeastLead(3);
constexpr std::size_t kLatenciesToYield = 2;
/// Left of the grace period for closing connections and ending.
constexpr std::chrono::milliseconds kExitMargin(1200);
/// The balancer sends no new connections after two failed checks, one a second.
constexpr int kChecksToLeaveRotation = 2;
constexpr std::chrono::milliseconds kLongestBalancerWait(3000);
constexpr std::chrono::milliseconds kBalancerPoll(20);
constexpr std::chrono::milliseconds kConnectionsOnTheWay(100);
constexpr std::chrono::milliseconds kReleaseTimeout(800);
constexpr std::chrono::milliseconds kSignalPoll(200);
/// A host that has read no jobs for this time sends callers elsewhere.
constexpr std::chrono::milliseconds kHealthyView(2500);
/// The descriptors that the platform allows cover two for each connection.
constexpr std::size_t kMaxCallerConnections = 1500;
constexpr std::size_t kMaxPeerConnections = 200;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

auto SpreadOf(const std::string& host) -> Duration {
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
      runtime{this->settings, this->loop, this->client, this->metrics, {}},
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
      election(this->settings.host,
               this->process,
               kOrdinaryLatency * kClaimDelayFactor),
      feed(this->runtime, this->store, this->peers),
      configuration_topic(
          this->runtime,
          this->store,
          adapter::kConfigurationTopic,
          Duration::zero(),
          {[this](const auto& records) {
             for (const auto& record : records) {
               this->OnOperatorRecord(record);
             }
           },
           [this](const auto& record) { this->OnOperatorRecord(record); },
           [](Offset) {}}),
      workers_topic(
          this->runtime,
          this->store,
          adapter::kWorkersTopic,
          kWorkersPause,
          {[this](const auto& records) { this->OnWorkers(records); },
           [this](const auto& record) { this->OnWorkerRecord(record); },
           [](Offset) {}}),
      jobs_topic(this->runtime,
                 this->store,
                 kJobsTopic,
                 Duration::zero(),
                 {[this](const auto& records) { this->OnJobs(records); },
                  [this](const auto& record) { this->OnJobRecord(record); },
                  [this](Offset) {
                    this->jobs_read_to_end = this->runtime.clock.Now();
                    this->service.SetFreshness(this->jobs_read_to_end);
                  }}),
      progress_topic(
          this->runtime,
          this->store,
          kProgressTopic,
          ProgressPause(ProgressRole::kFollows, Duration::max()),
          {[this](const auto& records) {
             for (const auto& record : records) {
               this->OnProgressRecord(record);
             }
           },
           [this](const auto& record) { this->OnProgressRecord(record); },
           [](Offset) {}}),
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
           [this](Offset end) {
             this->election.OnReadToEnd(end, this->runtime.clock.Now());
           }}),
      hosts_topic(this->runtime,
                  this->store,
                  kHostsTopic,
                  kHostsPause,
                  {[this](const auto& records) {
                     for (const auto& record : records) {
                       this->OnHostRecord(record);
                     }
                   },
                   [this](const auto& record) { this->OnHostRecord(record); },
                   [](Offset) {}}) {}

CellDaemon::~CellDaemon() = default;

auto CellDaemon::OnProgressRecord(const adapter::KeyedRecord& record) -> void {
  this->jobs.OnProgressRecord(record.key, record.value, record.offset,
                              this->runtime.clock.Now());
}

auto CellDaemon::OnProgressNews(const std::vector<ProgressNews>& news) -> void {
  const auto now = this->runtime.clock.Now();
  this->news_at = now;
  for (const auto& one : news) {
    this->jobs.OnProgressRecord(one.job, one.progress, one.offset, now);
  }
}

auto CellDaemon::OnHostRecord(const adapter::KeyedRecord& record) -> void {
  this->peers.OnAnnouncement(record.key, record.value.value_or(""),
                             this->runtime.clock.Now());
}

auto CellDaemon::OnJobs(const std::vector<adapter::KeyedRecord>& records)
    -> void {
  for (const auto& record : records) {
    this->HandToLeader(record.key,
                       this->jobs.OnOldJobRecord(
                           record.key, record.value, this->runtime.clock.Now(),
                           std::chrono::system_clock::now()));
  }
}

auto CellDaemon::OnJobRecord(const adapter::KeyedRecord& record) -> void {
  this->HandToLeader(record.key,
                     this->jobs.OnJobRecord(record.key, record.value,
                                            this->runtime.clock.Now()));
}

auto CellDaemon::HandToLeader(const std::string& key, const StoredJob* job)
    -> void {
  if (job == nullptr || this->leader == nullptr) {
    return;
  }
  constexpr std::size_t kIdDigits = 16;
  this->leader->OnJob(JobId(key.substr(0, kIdDigits)), *job);
}

auto CellDaemon::OnOperatorRecord(const adapter::KeyedRecord& record) -> void {
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
    return;  // Versions in force only rise.
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

auto CellDaemon::DropWorker(const std::string& id) -> void {
  if (this->workers.erase(id) > 0 && this->leader) {
    this->leader->OnWorkerGone(WorkerId(id));
  }
}

auto CellDaemon::OnWorkers(const std::vector<adapter::KeyedRecord>& records)
    -> void {
  std::set<std::string> listed;
  for (const auto& record : records) {
    listed.insert(record.key);
    this->OnWorkerRecord(record);
  }
  std::vector<std::string> gone;
  for (const auto& [id, worker] : this->workers) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    this->DropWorker(id);
  }
}

auto CellDaemon::OnWorkerRecord(const adapter::KeyedRecord& record) -> void {
  auto& seen = this->worker_offsets[record.key];
  if (record.offset < seen) {
    return;  // An older entry, read after a newer one.
  }
  seen = record.offset;
  auto report = record.value ? adapter::ParseWorker(record.key, *record.value)
                             : std::nullopt;
  if (!report) {
    if (record.value) {
      this->metrics.Add("worker_entries_ignored_total");
    }
    this->DropWorker(record.key);
    return;
  }
  if (this->leader) {
    this->leader->OnWorker(*report);
  }
  this->workers[record.key] = std::move(*report);
}

auto CellDaemon::WorkerList() const -> std::vector<WorkerReport> {
  std::vector<WorkerReport> list;
  for (const auto& [id, worker] : this->workers) {
    list.push_back(worker);
  }
  return list;
}

auto CellDaemon::SendLeaderRecord(const LeaderAppend& append) -> void {
  adapter::AppendRequest request;
  request.topic = kLeaderTopic;
  request.only_at = append.at;
  request.records = {{kLeaderKey, EncodeLeaderRecord(append.record)}};
  request.timeout = kReleaseTimeout;
  const auto sent = this->runtime.clock.Now();
  if (append.record.kind == LeaderRecord::Kind::kClaim) {
    LogEvent(Event::kClaimAppended, {{"at", std::to_string(append.at)}});
  }
  this->store.Send(
      adapter::AppendCall(this->settings.store, request),
      [this, append, sent](const http::Reply& reply) {
        const auto result = adapter::ReadAppend(reply);
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
  if (this->election.IsLeader()) {
    if (is_isolated) {
      // Most work of a leader needs the other hosts.
      this->YieldLead("isolated", now);
    } else if (is_impaired) {
      // Peers reach the store for it, so they do better without it.
      this->YieldLead("store-out-of-reach", now);
    } else if (this->IsFarFromStore(now)) {
      this->YieldLead("far-from-store", now);
    }
  }
  if (const auto append = this->election.Next(now)) {
    this->SendLeaderRecord(*append);
  }
}

auto CellDaemon::YieldLead(const std::string& reason, TimePoint now) -> void {
  LogEvent(Event::kOwnershipReleased,
           {{"epoch", std::to_string(this->election.OwnEpoch())},
            {"reason", reason}});
  this->leader.reset();
  this->election.Yield(now);
}

auto CellDaemon::IsFarFromStore(TimePoint now) const -> bool {
  const auto best = this->peers.BestStoreLatency(now);
  return this->store_latency && best &&
         now - this->leading_since > kLeastLead &&
         this->latencies.size() >= kLatenciesToYield &&
         *this->store_latency < kOrdinaryLatency &&
         this->latencies.back() < kOrdinaryLatency &&
         *best * 3 / 2 + kLatencyGain < *this->store_latency;
}

auto CellDaemon::NoteStoreLatency(Duration latency) -> void {
  this->latencies.push_back(
      std::chrono::ceil<std::chrono::microseconds>(latency));
  this->store_latency =
      *std::min_element(this->latencies.begin(), this->latencies.end());
  const auto counted =
      std::min<Duration>(*this->store_latency, kOrdinaryLatency);
  this->election.SetClaimDelay(counted * kClaimDelayFactor +
                               SpreadOf(this->settings.host));
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
    this->leader =
        std::make_unique<Leader>(this->runtime, this->store, this->peers, epoch,
                                 this->election.FormerAuthorityEnd(
                                     [this](const std::string& host) {
                                       return this->peers.ProcessOf(host);
                                     },
                                     now),
                                 [this](const std::vector<ProgressNews>& news) {
                                   this->OnProgressNews(news);
                                   this->feed.Tell(news);
                                 });
    this->leader->TakeOver();
    this->leading_since = now;
  }
  this->worker_list = this->WorkerList();
  this->leader->Tick({this->jobs, this->configuration, this->worker_list,
                      this->jobs_read_to_end},
                     this->progress_topic.Position(),
                     this->election.HasLeaseAuthority(now));
}

auto CellDaemon::CollectorEndpoint(TimePoint now) const -> std::string {
  if (this->election.IsLeader()) {
    return "";
  }
  if (now - this->election.LastSign() < kLeaderSilence) {
    auto leader = this->peers.EndpointOf(this->election.LeaderHost(),
                                         this->election.LeaderProcess(), now);
    if (!leader.empty()) {
      return leader;
    }
  }
  // Without a leader all hosts choose the same deputy, as long as they reach
  // the same peers.
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
    record.value = EncodeAnnouncement(
        {this->settings.peers.Text(), this->process,
         std::to_string(now.time_since_epoch().count()), this->store_latency});
  }
  request.records = {record};
  this->store.Send(adapter::AppendCall(this->settings.store, request),
                   [](const http::Reply&) {});
  this->store.SendDirect(
      adapter::NewestCall(this->settings.store, kLeaderTopic, ""),
      [this, sent = now](const http::Reply& reply) {
        if (reply.IsSuccess()) {
          this->NoteStoreLatency(this->runtime.clock.Now() - sent);
        }
      });
}

auto CellDaemon::UpdateHealth(TimePoint now) -> void {
  const bool has_view = this->is_configured && this->jobs_topic.IsCaughtUp() &&
                        this->progress_topic.IsCaughtUp() &&
                        now - this->jobs_topic.LastRead() < kHealthyView;
  this->is_healthy = has_view && !this->is_stopping;
}

auto CellDaemon::GetProgressRole() const -> ProgressRole {
  if (this->leader) {
    return this->leader->HasBegun() ? ProgressRole::kLeads
                                    : ProgressRole::kTakesOver;
  }
  return this->election.IsLeader() ? ProgressRole::kTakesOver
                                   : ProgressRole::kFollows;
}

auto CellDaemon::Tick() -> void {
  const auto now = this->runtime.clock.Now();
  this->jobs_topic.SetPause(this->leader ? kLeaderJobsPause
                                         : kFollowerJobsPause);
  this->workers_topic.SetPause(this->leader ? kWorkersPause
                                            : kFollowerWorkersPause);
  this->progress_topic.SetPause(
      ProgressPause(this->GetProgressRole(), now - this->news_at));
  this->feed.Tick(now);
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
  this->TickPeers(now);
  this->UpdateHealth(now);
}

auto CellDaemon::BeginStop() -> void {
  this->is_stopping = true;
  this->is_healthy = false;
  const auto epoch = this->election.OwnEpoch();
  if (this->election.Retire(this->runtime.clock.Now())) {
    // Orders end before the release, so that the next leader finds all quiet.
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
  this->callers = std::make_unique<http::Server>(
      options, [this](http::Request request, http::Responder responder) {
        auto shared = std::make_shared<http::Responder>(std::move(responder));
        auto kept = std::make_shared<http::Request>(std::move(request));
        const bool is_taken = this->loop.Post([this, shared, kept] {
          this->service.Handle(*kept, std::move(*shared));
        });
        if (!is_taken) {
          this->metrics.Add("refusals_total", "core-queue-full");
          shared->Send({kUnavailable, {{"Retry-After", "1"}}, ""});
        }
      });
  BOOST_LEAF_CHECK(this->callers->Start());

  options.address = this->settings.health.address;
  options.port = this->settings.health.port;
  options.max_connections = kMaxPeerConnections;
  this->health = std::make_unique<http::Server>(
      options, [this](const http::Request& request, http::Responder responder) {
        const bool is_ok =
            request.path == adapter::kHealthPath && this->is_healthy;
        this->failed_checks += is_ok ? 0 : 1;
        responder.Send({is_ok ? kOk : kUnavailable, {}, ""});
      });
  BOOST_LEAF_CHECK(this->health->Start());

  options.address = this->settings.peers.address;
  options.port = this->settings.peers.port;
  this->peer_server = std::make_unique<http::Server>(
      options, [this](const http::Request& request, http::Responder responder) {
        if (request.path == kRelayPath) {
          this->store.Relay(request, std::move(responder));
        } else if (request.path == kRecordsPath) {
          this->TakeRecords(request, std::move(responder));
        } else if (request.path == kNewsPath) {
          this->TakeNews(request, std::move(responder));
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

auto CellDaemon::TakeRecords(const http::Request& request,
                             http::Responder responder) -> void {
  auto shared = std::make_shared<http::Responder>(std::move(responder));
  auto kept = std::make_shared<http::Request>(request);
  const bool is_taken = this->loop.Post(
      [this, shared, kept] { this->writer.WriteForPeer(*kept, shared); });
  if (!is_taken) {
    this->metrics.Add("refusals_total", "core-queue-full");
    shared->Send({kUnavailable, {}, ""});
  }
}

auto CellDaemon::TakeNews(const http::Request& request,
                          http::Responder responder) -> void {
  auto news = DecodeNews(request.body);
  if (!news) {
    responder.Send({kBadRequest, {}, "not news of progress"});
    return;
  }
  const bool is_taken = this->loop.Post(
      [this, kept = std::make_shared<std::vector<ProgressNews>>(
                 std::move(*news))] { this->OnProgressNews(*kept); });
  responder.Send({is_taken ? kOk : kUnavailable, {}, ""});
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
  const auto before = this->failed_checks.load();
  const auto longest =
      std::min<Duration>(kLongestBalancerWait, this->settings.stop_grace / 2);
  while (this->failed_checks - before < kChecksToLeaveRotation &&
         this->runtime.clock.Now() - stopped_at < longest) {
    std::this_thread::sleep_for(kBalancerPoll);
  }
  // Connections that were opened before the last check are on their way.
  std::this_thread::sleep_for(kConnectionsOnTheWay);
}

auto CellDaemon::Run() -> leaf::result<int> {
  BOOST_LEAF_CHECK(this->StartServers());
  std::thread core([this] { this->RunCore(); });
  auto signal = ProcessSignal::kNone;
  while (signal != ProcessSignal::kStop) {
    signal = WaitForSignal(kSignalPoll);
    if (signal == ProcessSignal::kReload) {
      LogEvent(Event::kSettingsReloaded, {});
    }
  }
  LogEvent(Event::kProcessStopping,
           {{"open", std::to_string(this->callers->OpenRequests())}});
  this->loop.Post([this] { this->BeginStop(); });
  const auto stopped_at = this->runtime.clock.Now();
  this->WaitForBalancer(stopped_at);
  const auto spent = this->runtime.clock.Now() - stopped_at;
  const auto left =
      this->callers->Drain(this->settings.stop_grace - kExitMargin - spent);
  if (left > 0) {
    LogEvent(Event::kDrainDeadlinePassed, {{"open", std::to_string(left)}});
  }
  this->loop.Stop();
  core.join();
  this->callers->Stop();
  this->health->Stop();
  this->peer_server->Stop();
  return kExitOk;
}

}  // namespace shallotbank::cell
