#include "entry_daemon.h"

#include "base/log.h"
#include "base/process.h"
#include "daemon/daemon_parts.h"

namespace shallotbank::entry {
namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::milliseconds kHostListInterval{1000};
// After a stop signal the health check fails for this long before new requests
// are refused, so that the load balancer stops sending requests to this host.
constexpr std::chrono::milliseconds kLoadBalancerDelay{300};
constexpr std::chrono::seconds kConnectionDrainTimeout{5};
constexpr std::size_t kMaxRequestIdLength = 200;
constexpr int kMethodNotAllowed = 405;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr std::string_view kExplainPrefix = "/v1/explain/";

}  // namespace

EntryDaemon::EntryDaemon(daemon::CommonSettings common_settings,
                         std::string operator_key_sha256,
                         std::int64_t max_request_bytes)
    : settings(std::move(common_settings)),
      process(daemon::MakeProcessId(this->settings.host, "entry")),
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
      context{this->settings, this->process, std::move(operator_key_sha256),
              this->loop,     this->log,     this->hosts,
              this->peers,    this->client,  this->metrics},
      authorization(this->context),
      groups(this->context),
      requests(this->context, this->authorization, this->groups),
      jobs(this->context, this->authorization),
      configuration(this->context, this->authorization),
      status(this->context, this->authorization),
      claimer(
          this->process,
          rpc::Role::kEntry,
          ownership::ClaimPlanner::Balance::kEven,
          this->log,
          this->peers,
          {.gained =
               [this](const ResourceId& group, Epoch epoch, bool is_takeover) {
                 this->groups.TakeOwnership(group, epoch, is_takeover,
                                            SystemClock().Now());
               },
           .lost =
               [this](const ResourceId& group) {
                 this->groups.DropOwnership(group);
                 this->requests.HandleGroupLoss(group);
               },
           .drain =
               [this](const ResourceId& group) {
                 this->groups.Drain(group);
                 this->requests.HandleGroupLoss(group);
               },
           .is_idle =
               [this](const ResourceId& group) {
                 return this->requests.IsIdle(group);
               }}),
      server({.address = this->settings.http.address,
              .port = this->settings.http.port,
              .threads = 4,
              .max_request_bytes = static_cast<std::size_t>(max_request_bytes),
              .metrics = &this->metrics},
             [this](http::Request request, http::Responder responder) {
               this->HandleHttp(std::move(request), std::move(responder));
             }) {}

auto EntryDaemon::Run() -> int {
  if (!daemon::StartServers(this->peers, this->MakeHandlers(), this->server)) {
    return kExitFailure;
  }
  this->hosts.SetListener(
      [this] { this->requests.HandleHosts(SystemClock().Now()); });
  this->claimer.SetResources(MinionGroups::All());
  this->log.Start();
  this->loop.Run(kTickInterval, [this] { this->Tick(); });
  this->server.Drain(kConnectionDrainTimeout);
  this->server.Stop();
  this->peers.Stop();
  return kExitOk;
}

auto EntryDaemon::MakeHandlers() -> daemon::PeerHub::Handlers {
  return {
      .describe_self = [this] { return this->DescribeSelf(); },
      .witness =
          [this](const rpc::WitnessRequest& request,
                 rpc::Reply<rpc::WitnessResponse> reply) {
            reply.Send(
                {this->groups.ObserveEpoch(request.resource, request.epoch)});
          },
      .read_records = daemon::ServeRecords(this->log),
      .forward =
          [this](rpc::ForwardRequest request,
                 rpc::Reply<rpc::ForwardResponse> reply) {
            this->requests.HandleForwarded(std::move(request),
                                           std::move(reply));
          },
      .peer_updated =
          [this](const daemon::PeerInfo& peer) {
            this->requests.HandlePeer(peer);
          },
  };
}

auto EntryDaemon::DescribeSelf() -> rpc::PeerState {
  auto state = daemon::DescribeDaemon(
      {this->process, this->incarnation, rpc::Role::kEntry}, this->settings,
      this->server, this->peers, this->log, this->claimer);
  state.draining = this->is_stopping;
  state.free_slots = this->requests.FreeSlots();
  return state;
}

// Runs on the HTTP server's threads.
auto EntryDaemon::HandleHttp(http::Request request, http::Responder responder)
    -> void {
  if (request.path == "/metrics") {
    responder.Send(
        {200, {{"Content-Type", "text/plain"}}, this->metrics.Expose()});
    return;
  }
  if (request.path == "/healthz") {
    const bool is_healthy = this->is_ready && !this->is_stopping;
    responder.Send({is_healthy ? 200 : kUnavailable,
                    {},
                    is_healthy ? "ok\n" : "not ready\n"});
    return;
  }
  struct PostedCall {
    ApiCall call;
  };
  const auto* caller_id = request.FindHeader(header::kRequestId);
  std::string id = caller_id != nullptr ? *caller_id
                                        : this->process.Text() + "-c" +
                                              std::to_string(this->next_call++);
  auto posted = std::make_shared<PostedCall>(
      PostedCall{{std::move(request), std::move(responder), SystemClock().Now(),
                  std::move(id)}});
  if (!this->loop.Post(
          [this, posted] { this->Route(std::move(posted->call)); })) {
    this->metrics.Add("refusals_total", "core_ring_full");
    posted->call.responder.Send(
        {kUnavailable,
         {{"Content-Type", "application/json"}},
         R"({"error":{"reason":"core_ring_full","field":"","message":)"
         R"("this host is overloaded","execution":"not-run"}})"});
  }
}

auto EntryDaemon::Route(ApiCall call) -> void {
  const auto path = call.request.path;
  const auto method = call.request.method;
  const bool is_refusing = this->is_stopping && this->is_release_requested;
  if (is_refusing) {
    Refuse(this->context, call, kUnavailable,
           {Verdict::kNotRun, "stopping", "", "this host is stopping"});
  } else if (call.request_id.size() > kMaxRequestIdLength) {
    call.request_id.resize(kMaxRequestIdLength);
    Refuse(this->context, call, 400,
           {Verdict::kNotRun, "invalid_header", header::kRequestId,
            "an id may have at most " + std::to_string(kMaxRequestIdLength) +
                " characters"});
  } else if (path == "/v1/requests" && method == "POST") {
    this->requests.Handle(std::move(call));
  } else if (path == "/v1/jobs" && method == "POST") {
    this->jobs.Submit(std::move(call));
  } else if (path == "/v1/jobs" && method == "GET") {
    this->jobs.List(std::move(call));
  } else if (path.starts_with(kJobPrefix)) {
    this->RouteJob(std::move(call), path.substr(kJobPrefix.size()));
  } else if (path == "/v1/configuration" && method == "GET") {
    this->configuration.Show(std::move(call));
  } else if (path == "/v1/configuration" && method == "PATCH") {
    this->configuration.Publish(std::move(call));
  } else if (path == "/v1/hosts" && method == "GET") {
    this->status.ShowHosts(std::move(call), this->DescribeSelf());
  } else if ((path == "/v1/explain/workers" || path == "/v1/explain/shares") &&
             method == "GET") {
    this->status.Explain(std::move(call), path.substr(kExplainPrefix.size()));
  } else {
    Refuse(this->context, call, kNotFound,
           {Verdict::kNotRun, "unknown_path", "path",
            "there is no endpoint " + method + " " + path});
  }
}

auto EntryDaemon::RouteJob(ApiCall call, const std::string& id) -> void {
  if (call.request.method == "GET") {
    this->jobs.Show(std::move(call), JobId(id));
  } else if (call.request.method == "DELETE") {
    this->jobs.Cancel(std::move(call), JobId(id));
  } else {
    Refuse(this->context, call, kMethodNotAllowed,
           {Verdict::kNotRun, "method_not_allowed", "method",
            "a job supports only GET and DELETE"});
  }
}

auto EntryDaemon::IsReady() -> bool {
  return this->log.State() != nullptr && this->authorization.IsViewFresh();
}

auto EntryDaemon::Tick() -> void {
  const auto now = SystemClock().Now();
  this->is_ready = this->IsReady();
  this->hosts.Tick(now);
  this->peers.Table().LogRead(this->log.LastCurrentRead(), this->log.Head());
  this->peers.Tick(now);
  this->claimer.Tick(now);
  this->groups.Tick(now);
  this->requests.Tick(now);
  this->jobs.Tick();
  this->CheckStop(now);
}

// Graceful shutdown: the health check fails at once. When requests in progress
// have completed, new requests are refused and the minion groups are released.
// Then the process exits. A second stop signal or the drain timeout ends it at
// once.
auto EntryDaemon::CheckStop(TimePoint now) -> void {
  if (!this->is_stopping) {
    if (!WaitForStopSignal(Duration::zero())) {
      return;
    }
    this->is_stopping = true;
    this->stop_requested_at = now;
    LogEvent(Event::kProcessStopping,
             {{"open", std::to_string(this->server.OpenRequests())}});
  }
  const auto time_since_stop = now - this->stop_requested_at;
  const bool must_stop_now = time_since_stop > this->settings.drain_timeout ||
                             WaitForStopSignal(Duration::zero());
  const bool is_idle = time_since_stop > kLoadBalancerDelay &&
                       this->requests.InFlightRequests() == 0 &&
                       this->server.OpenRequests() == 0;
  if (!this->is_release_requested && (is_idle || must_stop_now)) {
    this->is_release_requested = true;
    this->claimer.ReleaseAll();
  }
  if (must_stop_now) {
    LogEvent(Event::kDrainDeadlinePassed,
             {{"open", std::to_string(this->server.OpenRequests())},
              {"appends", std::to_string(this->log.InFlightAppends())}});
  }
  const bool is_done =
      this->is_release_requested && this->claimer.Owned().empty() &&
      this->log.InFlightAppends() == 0 && this->server.OpenRequests() == 0;
  if (must_stop_now || is_done) {
    this->loop.Stop();
  }
}

}  // namespace shallotbank::entry
