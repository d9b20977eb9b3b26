#include "sched_daemon.h"

#include "base/log.h"
#include "base/process.h"
#include "daemon/daemon_parts.h"
#include "job_queries.h"

namespace shallotbank::sched {
namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::milliseconds kHostListInterval{1000};

// Returns the number of the shard with this resource, or -1.
auto ShardNumber(const ResourceId& resource, std::int64_t shards)
    -> std::int64_t {
  for (std::int64_t shard_number = 0; shard_number < shards; ++shard_number) {
    if (journal::ResourceOf(configuration::ShardAt(shard_number)) == resource) {
      return shard_number;
    }
  }
  return -1;
}

}  // namespace

SchedDaemon::SchedDaemon(daemon::CommonSettings common_settings,
                         Duration log_retention)
    : settings(std::move(common_settings)),
      process(daemon::MakeProcessId(this->settings.host, "sched")),
      log({.stream_url = this->settings.stream_url, .process = this->process},
          this->loop,
          this->client,
          this->metrics),
      hosts(this->settings.host_list_url,
            kHostListInterval,
            this->loop,
            this->client,
            this->metrics),
      peers(this->process,
            {.listen_address = this->settings.rpc.address,
             .listen_port = this->settings.rpc.port,
             .seeds = this->settings.peers},
            this->loop,
            this->metrics),
      claimer(this->process,
              rpc::Role::kSched,
              ownership::ClaimPlanner::Balance::kKeep,
              this->log,
              this->peers,
              {.gained =
                   [this](const ResourceId& resource,
                          Epoch epoch,
                          bool is_takeover) {
                     this->HandleGained(resource, epoch, is_takeover);
                   },
               .lost =
                   [this](const ResourceId& resource) {
                     this->runners.erase(resource);
                   },
               .drain =
                   [this](const ResourceId& resource) {
                     if (const auto runner_entry = this->runners.find(resource);
                         runner_entry != this->runners.end()) {
                       runner_entry->second->Drain();
                     }
                   },
               .is_idle = [](const ResourceId&) { return true; }}),
      snapshots(log_retention, this->log, this->metrics),
      server({.address = this->settings.http.address,
              .port = this->settings.http.port,
              .threads = 1,
              .metrics = &this->metrics},
             [this](const http::Request& request, http::Responder responder) {
               this->HandleHttp(request, std::move(responder));
             }) {}

auto SchedDaemon::Run() -> int {
  if (!daemon::StartServers(this->peers, this->MakeHandlers(), this->server)) {
    return kExitFailure;
  }
  this->log.SetListener([this](const journal::AppliedBatch& applied,
                               const journal::Batch& batch) {
    const auto now = SystemClock().Now();
    for (const auto& [resource, runner] : this->runners) {
      runner->HandleBatch(applied, batch, now);
    }
  });
  this->hosts.SetListener([this] {
    for (const auto& [resource, runner] : this->runners) {
      runner->HandleHosts(SystemClock().Now());
    }
  });
  this->log.Start();
  this->loop.Run(kTickInterval, [this] { this->Tick(); });
  this->server.Stop();
  this->peers.Stop();
  return kExitOk;
}

auto SchedDaemon::MakeHandlers() -> daemon::PeerHub::Handlers {
  return {
      .describe_self = [this] { return this->DescribeSelf(); },
      .read_records = daemon::ServeRecords(this->log),
      .job_status =
          [this](const rpc::JobStatusRequest& request,
                 rpc::Reply<rpc::JobStatusResponse> reply) {
            reply.Send(this->HandleJobStatus(request));
          },
      .list_jobs =
          [this](const rpc::ListJobsRequest& request,
                 rpc::Reply<rpc::ListJobsResponse> reply) {
            reply.Send(this->HandleListJobs(request));
          },
      .explain =
          [this](const rpc::ExplainRequest& request,
                 rpc::Reply<rpc::ExplainResponse> reply) {
            reply.Send(this->HandleExplain(request));
          },
  };
}

auto SchedDaemon::DescribeSelf() -> rpc::PeerState {
  auto state = daemon::DescribeDaemon(
      {this->process, this->incarnation, rpc::Role::kSched}, this->settings,
      this->server, this->peers, this->log, this->claimer);
  state.draining = this->is_stopping;
  return state;
}

auto SchedDaemon::Tick() -> void {
  const auto now = SystemClock().Now();
  this->hosts.Tick(now);
  this->peers.Table().LogRead(this->log.LastCurrentRead(), this->log.Head());
  this->peers.Tick(now);
  this->UpdateResources();
  this->claimer.Tick(now);
  for (const auto& [resource, runner] : this->runners) {
    runner->Tick(now);
  }
  if (this->FindRunner(configuration::ShardAt(0)) != nullptr) {
    this->snapshots.Tick(now);
  }
  this->CheckStop(now);
}

auto SchedDaemon::UpdateResources() -> void {
  const auto* state = this->log.State();
  if (state == nullptr || state->Configuration().Version() == 0 ||
      this->hosts.Table().IsEmpty()) {
    return;
  }
  std::vector<ResourceId> shard_resources;
  const auto shards = state->Configuration().Get().GetPolicy().shards;
  for (std::int64_t shard_number = 0; shard_number < shards; ++shard_number) {
    shard_resources.push_back(
        journal::ResourceOf(configuration::ShardAt(shard_number)));
  }
  this->claimer.SetResources(shard_resources);
}

auto SchedDaemon::HandleGained(const ResourceId& resource,
                               Epoch epoch,
                               bool is_takeover) -> void {
  const auto shards =
      this->log.State()->Configuration().Get().GetPolicy().shards;
  const auto shard_number = ShardNumber(resource, shards);
  if (shard_number < 0) {
    return;
  }
  auto runner = std::make_shared<ShardRunner>(
      configuration::ShardAt(shard_number), shard_number, epoch, is_takeover,
      ShardRunner::Context{this->loop, this->log, this->hosts, this->client,
                           this->metrics});
  runner->Load(SystemClock().Now());
  this->runners[resource] = std::move(runner);
}

// Graceful shutdown: stops starting tasks, releases the shards so that other
// processes can claim them immediately, then exits. A second stop signal or the
// drain timeout ends it at once.
auto SchedDaemon::CheckStop(TimePoint now) -> void {
  if (!this->is_stopping) {
    if (!WaitForStopSignal(Duration::zero())) {
      return;
    }
    this->is_stopping = true;
    this->stop_requested_at = now;
    LogEvent(Event::kProcessStopping, {{"role", "sched"}});
    for (const auto& [resource, runner] : this->runners) {
      runner->Drain();
    }
  }
  const bool must_stop_now =
      now - this->stop_requested_at > this->settings.drain_timeout ||
      WaitForStopSignal(Duration::zero());
  if (!this->is_release_requested && this->claimer.InFlightAppends() == 0) {
    this->is_release_requested = true;
    this->claimer.ReleaseAll();
  }
  const bool is_done = this->is_release_requested &&
                       this->claimer.Owned().empty() &&
                       this->log.InFlightAppends() == 0;
  if (must_stop_now) {
    LogEvent(Event::kDrainDeadlinePassed,
             {{"appends", std::to_string(this->log.InFlightAppends())}});
  }
  if (must_stop_now || is_done) {
    this->loop.Stop();
  }
}

auto SchedDaemon::HandleHttp(const http::Request& request,
                             http::Responder responder) -> void {
  if (request.path == "/metrics") {
    responder.Send(
        {200, {{"Content-Type", "text/plain"}}, this->metrics.Expose()});
    return;
  }
  if (request.path == "/healthz") {
    responder.Send({this->is_stopping ? 503 : 200, {}, "ok\n"});
    return;
  }
  responder.Send({404, {}, "unknown path\n"});
}

auto SchedDaemon::FindRunner(const ShardId& shard) const -> const ShardRunner* {
  const auto runner_entry = this->runners.find(journal::ResourceOf(shard));
  return runner_entry == this->runners.end() ? nullptr
                                             : runner_entry->second.get();
}

auto SchedDaemon::HandleJobStatus(const rpc::JobStatusRequest& request)
    -> rpc::JobStatusResponse {
  rpc::JobStatusResponse response;
  const auto* state = this->log.State();
  const auto now = SystemClock().Now();
  for (const auto& id : request.jobs) {
    const auto* job = state == nullptr ? nullptr : state->Jobs().Find(id);
    if (job == nullptr) {
      continue;
    }
    const auto* runner = this->FindRunner(job->spec.shard);
    const bool is_owner = runner != nullptr && now < runner->AuthorityUntil();
    response.jobs.push_back(
        {id, is_owner,
         StatusJson(*job, is_owner ? &runner->Scheduler() : nullptr, now)});
  }
  return response;
}

auto SchedDaemon::HandleListJobs(const rpc::ListJobsRequest& request)
    -> rpc::ListJobsResponse {
  rpc::ListJobsResponse response;
  const auto* state = this->log.State();
  if (state == nullptr) {
    return response;
  }
  const auto now = SystemClock().Now();
  for (const auto* job : state->Jobs().JobsOfTeam(request.team, request.max)) {
    const auto* runner = this->FindRunner(job->spec.shard);
    response.jobs.push_back(
        {job->spec.id, runner != nullptr,
         StatusJson(*job, runner == nullptr ? nullptr : &runner->Scheduler(),
                    now)});
  }
  return response;
}

auto SchedDaemon::HandleExplain(const rpc::ExplainRequest& request)
    -> rpc::ExplainResponse {
  const auto* runner = this->FindRunner(ShardId(request.id));
  if (runner == nullptr) {
    return {"{}"};
  }
  return {request.kind == "shares" ? SharesJson(runner->Scheduler())
                                   : WorkersJson(runner->Scheduler())};
}

}  // namespace shallotbank::sched
