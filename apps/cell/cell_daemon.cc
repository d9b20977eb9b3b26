#include "cell_daemon.h"

#include <algorithm>
#include <random>
#include <thread>

#include "base/log.h"
#include "base/process.h"
#include "cell/record_digests.h"
#include "cell/records.h"
#include "topics.h"

namespace shallotbank::cell {
namespace {

namespace leaf = boost::leaf;

/// Interval at which scheduling decisions are made and records are batched.
constexpr std::chrono::milliseconds kTickInterval(4);
/// Delay between two reads of the host announcements.
constexpr std::chrono::milliseconds kHostsReadDelay(300);
/// The same for a host that a much larger one keeps from leading; it learns
/// later that the leader's process was replaced.
constexpr std::chrono::milliseconds kSmallHostHostsReadDelay(1500);
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
/// An observer reads a digest that is up to kFollowerJobsReadDelay old.
constexpr std::chrono::milliseconds kObserverJobsReadDelay(250);
/// Part of the grace period that is reserved for closing connections and
/// exiting.
constexpr std::chrono::milliseconds kExitMargin(1200);
constexpr std::chrono::milliseconds kLeaderAppendTimeout(800);
/// Timeout of the small read that measures the round trip to the store. Well
/// above the longest latency that decides about leadership.
constexpr std::chrono::milliseconds kLatencyProbeTimeout(1500);
constexpr std::chrono::milliseconds kSignalPollInterval(200);
/// A host that has not read the jobs topic for this long fails its health
/// check, so that callers are sent to other hosts.
constexpr std::chrono::milliseconds kMaxJobsReadAge(2500);

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
              {this->jobs, this->configuration, this->is_configured},
              [this] { this->jobs_topic.ReadSoon(); }),
      process(NewProcessId()),
      carrier(this->runtime, this->store, this->process),
      workers(this->metrics,
              this->carrier,
              {[this](const auto& report) {
                 if (this->leader) {
                   this->leader->OnWorker(report);
                 }
               },
               [this](const auto& id) {
                 if (this->leader) {
                   this->leader->OnWorkerGone(WorkerId(id));
                 }
               }}),
      election(this->settings.host,
               this->process,
               LeadershipPolicy::InitialClaimDelay()),
      policy(this->runtime, this->store, this->peers, this->election),
      standby(this->runtime, this->peers),
      feed(this->runtime, this->store, this->peers),
      configuration_topic(
          this->runtime,
          this->store,
          kFollowedConfiguration,
          Duration::zero(),
          {[this](const auto& records) {
             for (const auto& record : records) {
               this->OnConfigurationRecord(record);
             }
           },
           [this](const auto& record) { this->OnConfigurationRecord(record); },
           [this](const ReadPoint& point) {
             this->service.SetConfigurationCaughtUpAt(point.as_of);
           }}),
      workers_topic(
          this->runtime,
          this->store,
          kFollowedWorkers,
          kWorkersReadDelay,
          {[this](const auto& records) { this->workers.OnSnapshot(records); },
           [this](const auto& record) { this->workers.OnRecord(record); },
           [this](const ReadPoint& point) {
             this->workers_caught_up_at = point.as_of;
           },
           [this](const auto& record) {
             return this->workers.MakeDigest(record);
           },
           [this](const DigestRecord& record) {
             this->workers.OnRecord({record.key, record.value, record.offset});
           },
           this->DigestRefused()}),
      jobs_topic(
          this->runtime,
          this->store,
          kFollowedJobs,
          Duration::zero(),
          {[this](const auto& records) { this->OnJobsSnapshot(records); },
           [this](const auto& record) { this->OnJobRecord(record); },
           [this](const ReadPoint& point) {
             this->jobs_caught_up_at = point.as_of;
             this->service.SetJobsRead(point);
           },
           [](const auto& record) {
             return DigestJobRecord(record.offset, record.key, record.value);
           },
           [this](const DigestRecord& record) {
             this->jobs.OnJobDigest(record.key, record.value,
                                    this->runtime.clock.Now());
           },
           this->DigestRefused()}),
      progress_topic(
          this->runtime,
          this->store,
          kFollowedProgress,
          ProgressReadDelay(ProgressRole::kFollower, Duration::max()),
          {[this](const auto& records) {
             for (const auto& record : records) {
               this->OnProgressRecord(record);
             }
           },
           [this](const auto& record) { this->OnProgressRecord(record); },
           [this](const ReadPoint& point) {
             this->progress_caught_up_at = point.as_of;
             this->service.SetProgressRead(point);
           },
           [](const auto& record) {
             return DigestProgressRecord(record.offset, record.key,
                                         record.value);
           },
           [this](const DigestRecord& record) {
             this->jobs.OnProgressDigest(record.key, record.value,
                                         record.offset,
                                         this->runtime.clock.Now());
           },
           this->DigestRefused()}),
      leader_topic(
          this->runtime,
          this->store,
          kFollowedLeader,
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
           [this](const ReadPoint& point) {
             this->election.OnReadToEnd(point.end, this->runtime.clock.Now());
           }}),
      hosts_topic(this->runtime,
                  this->store,
                  kFollowedHosts,
                  kHostsReadDelay,
                  {[this](const auto& records) {
                     for (const auto& record : records) {
                       this->OnHostRecord(record);
                     }
                   },
                   [this](const auto& record) { this->OnHostRecord(record); },
                   [](const ReadPoint&) {}}),
      servers(this->runtime,
              {this->service, this->store, this->writer, this->carrier,
               [this](const auto& message) {
                 this->OnProgressUpdates(message.batch->updates);
                 this->feed.Forward(message);
               },
               [this](const auto& batch) {
                 if (this->leader) {
                   this->leader->OnCarriedReplies(batch);
                 }
               },
               [this](const std::string& topic, Offset from) {
                 return this->ReadDigest(topic, from);
               }}) {}

CellDaemon::~CellDaemon() = default;

auto CellDaemon::DigestRefused() -> std::function<void(const std::string&)> {
  return [this](const std::string& source) {
    this->standby.OnDigestRefused(source, this->runtime.clock.Now());
  };
}

auto CellDaemon::ReadDigest(const std::string& topic, Offset from) const
    -> std::optional<DigestPage> {
  for (const auto& [label, follower] :
       {std::pair(kFollowedJobs.label, &this->jobs_topic),
        std::pair(kFollowedProgress.label, &this->progress_topic),
        std::pair(kFollowedWorkers.label, &this->workers_topic)}) {
    if (topic == label) {
      return follower->ReadDigest(from);
    }
  }
  return std::nullopt;
}

auto CellDaemon::OnProgressRecord(const adapter::KeyedRecord& record) -> void {
  this->jobs.OnProgressRecord(record.key, record.value, record.offset,
                              this->runtime.clock.Now());
}

auto CellDaemon::OnProgressUpdates(const std::vector<ProgressUpdate>& updates)
    -> std::vector<ProgressUpdate> {
  const auto now = this->runtime.clock.Now();
  this->progress_updated_at = now;
  std::vector<ProgressUpdate> changes;
  for (const auto& update : updates) {
    const auto state = DecodeState(update.progress);
    if (!state) {
      LogEvent(Event::kLogRecordInvalid, {{"job", update.job}});
    } else if (this->jobs.OnStateUpdate(update.job, *state, update.offset,
                                        now)) {
      changes.push_back(update);
    }
  }
  return changes;
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
        if (result.outcome == adapter::AppendResult::Outcome::kStored &&
            result.offset) {
          this->election.OnAppended(*result.offset, append.record, sent);
        } else {
          this->election.OnAppendFailed(this->runtime.clock.Now());
        }
      });
}

auto CellDaemon::TickElection(TimePoint now) -> void {
  if (this->leader && this->leader->IsFenced()) {
    this->election.OnFenced();
  }
  this->election.SetLeaderGone(this->peers.HasEnded(
      this->election.LeaderHost(), this->election.LeaderProcess()));
  if (const auto reason = this->policy.CheckRelease(now)) {
    this->ReleaseLeadership(*reason, now);
  }
  this->policy.UpdateClaimDelay(this->standby.IsStandby(), now);
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

auto CellDaemon::TickLeader(TimePoint now) -> void {
  const auto epoch = this->election.OwnEpoch();
  if (this->leader && this->leader->GetEpoch() != epoch) {
    LogEvent(Event::kOwnershipLost,
             {{"epoch", std::to_string(this->leader->GetEpoch())},
              {"leader", this->election.LeaderHost()}});
    this->leader.reset();
  }
  if (epoch == 0 || !this->is_configured || !this->jobs_topic.HasRecords() ||
      !this->workers_topic.HasRecords() || !this->progress_topic.HasRecords()) {
    return;
  }
  if (!this->leader) {
    this->leader = std::make_unique<Leader>(
        this->runtime, this->store, this->peers, epoch,
        this->election.PreviousAuthorityEnd(
            [this](const std::string& host, const std::string& process) {
              return this->peers.HasEnded(host, process);
            },
            now),
        [this](const std::vector<ProgressUpdate>& updates) {
          this->feed.Publish(this->OnProgressUpdates(updates));
        });
    this->leader->FencePreviousLeader();
    this->policy.OnLeading(now);
  }
  this->leader->Tick(
      {this->jobs, this->configuration, this->workers.Workers(),
       this->jobs_caught_up_at, this->workers_caught_up_at,
       this->progress_caught_up_at, this->progress_topic.Position()},
      {this->election.HasLeaseAuthority(now),
       this->election.HasStartAuthority(now)});
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
    record.value = EncodeAnnouncement(
        {this->settings.peers.Text(), this->process,
         std::to_string(now.time_since_epoch().count()),
         this->policy.StoreLatency(), this->settings.capacity});
  }
  request.records = {record};
  this->store.Send(adapter::MakeAppendCall(this->settings.store, request),
                   [](const http::Reply&) {});
  this->store.SendDirect(
      adapter::MakeSnapshotCall(this->settings.store, kLeaderTopic, "",
                                kLatencyProbeTimeout),
      [this, sent = now](const http::Reply& reply) {
        if (reply.IsSuccess()) {
          this->policy.RecordStoreLatency(this->runtime.clock.Now() - sent);
        }
      });
}

auto CellDaemon::UpdateHealth(TimePoint now) -> void {
  const bool has_view = this->is_configured && this->jobs_topic.IsCaughtUp() &&
                        this->progress_topic.IsCaughtUp() &&
                        now - this->jobs_topic.LastRead() < kMaxJobsReadAge;
  this->servers.SetHealthy(has_view && !this->is_stopping);
}

auto CellDaemon::GetProgressRole() const -> ProgressRole {
  if (this->leader) {
    return this->leader->IsScheduling() ? ProgressRole::kLeader
                                        : ProgressRole::kTakingOver;
  }
  if (this->election.IsLeader()) {
    return ProgressRole::kTakingOver;
  }
  return this->standby.IsStandby() ? ProgressRole::kFollower
                                   : ProgressRole::kObserver;
}

auto CellDaemon::UpdateReading(TimePoint now) -> void {
  this->standby.SetLeader(this->peers.EndpointOf(
      this->election.LeaderHost(), this->election.LeaderProcess(), now));
  this->standby.Tick(this->hosts_topic.LastRead(), now);
  const bool is_leading = this->leader || this->election.IsLeader();
  const bool needs_records = is_leading || this->standby.IsStandby();
  for (auto* topic :
       {&this->jobs_topic, &this->progress_topic, &this->workers_topic}) {
    topic->SetDigestSource(needs_records ? ""
                                         : this->standby.DigestSource(now));
    if (needs_records) {
      topic->RequireRecords();
    }
  }
  if (is_leading) {
    this->jobs_topic.SetReadDelay(kLeaderJobsReadDelay);
  } else {
    this->jobs_topic.SetReadDelay(needs_records ? kFollowerJobsReadDelay
                                                : kObserverJobsReadDelay);
  }
  this->workers_topic.SetReadDelay(is_leading ? kWorkersReadDelay
                                              : kFollowerWorkersReadDelay);
  const bool may_lead =
      this->election.IsLeader() || !this->policy.HasLargerPeer();
  this->hosts_topic.SetReadDelay(may_lead ? kHostsReadDelay
                                          : kSmallHostHostsReadDelay);
  this->progress_topic.SetReadDelay(ProgressReadDelay(
      this->GetProgressRole(), now - this->progress_updated_at));
}

auto CellDaemon::Tick() -> void {
  const auto now = this->runtime.clock.Now();
  this->UpdateReading(now);
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
  this->service.Tick(now);
  this->TickPeers(now);
  this->UpdateHealth(now);
}

auto CellDaemon::BeginStop() -> void {
  this->is_stopping = true;
  this->service.BeginStop();
  this->servers.SetHealthy(false);
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

auto CellDaemon::RunCore() -> void {
  this->configuration_topic.Start();
  this->workers_topic.Start();
  this->jobs_topic.Start();
  this->progress_topic.Start();
  this->leader_topic.Start();
  this->hosts_topic.Start();
  this->loop.Run(kTickInterval, [this] { this->Tick(); });
}

auto CellDaemon::Run() -> leaf::result<int> {
  BOOST_LEAF_CHECK(this->servers.Start());
  std::thread core([this] { this->RunCore(); });
  auto signal = ProcessSignal::kNone;
  while (signal != ProcessSignal::kStop) {
    signal = WaitForSignal(kSignalPollInterval);
    if (signal == ProcessSignal::kReload) {
      LogEvent(Event::kSettingsReloaded, {});
    }
  }
  LogEvent(Event::kProcessStopping,
           {{"open", std::to_string(this->servers.OpenRequests())}});
  this->loop.Post([this] { this->BeginStop(); });
  const auto stopped_at = this->runtime.clock.Now();
  this->servers.WaitForBalancer(stopped_at);
  const auto spent = this->runtime.clock.Now() - stopped_at;
  const auto left = this->servers.DrainCallers(this->settings.stop_grace -
                                               kExitMargin - spent);
  if (left > 0) {
    LogEvent(Event::kDrainDeadlinePassed, {{"open", std::to_string(left)}});
  }
  this->loop.Stop();
  core.join();
  this->servers.Stop();
  return kExitOk;
}

}  // namespace shallotbank::cell
