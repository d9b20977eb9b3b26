#include "daemon/peer_hub.h"

#include <set>

#include "base/log.h"

namespace shallotbank::daemon {
namespace {

auto ToHeartbeat(const rpc::PeerState& state) -> membership::Heartbeat {
  membership::Heartbeat heartbeat;
  heartbeat.from = {.id = state.process,
                    .incarnation = state.incarnation,
                    .host = state.host,
                    .addresses = {state.rpc_address},
                    .domain = state.failure_domain};
  heartbeat.head = state.log_head;
  heartbeat.log_age = state.log_age;
  for (const auto& owned : state.owned) {
    heartbeat.epochs.push_back({owned.resource, owned.epoch});
  }
  return heartbeat;
}

}  // namespace

// Receives calls on the RPC thread and posts them to the core loop.
class PeerHub::Dispatcher {
 public:
  explicit Dispatcher(PeerHub& hub) : hub(hub) {}

  auto Handle(rpc::HeartbeatRequest request,
              rpc::Reply<rpc::HeartbeatResponse> reply) -> void {
    this->Post(
        [&hub = this->hub](rpc::HeartbeatRequest& heartbeat,
                           rpc::Reply<rpc::HeartbeatResponse>& answer) {
          const auto now = SystemClock().Now();
          if (hub.table.Receive(ToHeartbeat(heartbeat.sender), now)) {
            hub.UpdatePeer(heartbeat.sender, now);
          }
          answer.Send({hub.handlers.describe_self()});
        },
        std::move(request), std::move(reply));
  }
  auto Handle(rpc::WitnessRequest request,
              rpc::Reply<rpc::WitnessResponse> reply) -> void {
    this->Forward(this->hub.handlers.witness, std::move(request),
                  std::move(reply));
  }
  auto Handle(rpc::ReadRecordsRequest request,
              rpc::Reply<rpc::ReadRecordsResponse> reply) -> void {
    this->Forward(this->hub.handlers.read_records, request, std::move(reply));
  }
  auto Handle(rpc::JobStatusRequest request,
              rpc::Reply<rpc::JobStatusResponse> reply) -> void {
    this->Forward(this->hub.handlers.job_status, std::move(request),
                  std::move(reply));
  }
  auto Handle(rpc::ListJobsRequest request,
              rpc::Reply<rpc::ListJobsResponse> reply) -> void {
    this->Forward(this->hub.handlers.list_jobs, std::move(request),
                  std::move(reply));
  }
  auto Handle(rpc::ForwardRequest request,
              rpc::Reply<rpc::ForwardResponse> reply) -> void {
    this->Forward(this->hub.handlers.forward, std::move(request),
                  std::move(reply));
  }
  auto Handle(rpc::ExplainRequest request,
              rpc::Reply<rpc::ExplainResponse> reply) -> void {
    this->Forward(this->hub.handlers.explain, std::move(request),
                  std::move(reply));
  }

 private:
  template <typename Request>
  auto Forward(const Handler<Request>& handler,
               Request request,
               rpc::Reply<typename Request::Response> reply) -> void {
    if (!handler) {
      reply.Fail("this daemon does not implement the call");
      return;
    }
    this->Post(
        [&handler](Request& call,
                   rpc::Reply<typename Request::Response>& answer) {
          handler(std::move(call), std::move(answer));
        },
        std::move(request), std::move(reply));
  }

  template <typename Function, typename Request>
  auto Post(Function function,
            Request request,
            rpc::Reply<typename Request::Response> reply) -> void {
    struct Call {
      Request request;
      rpc::Reply<typename Request::Response> reply;
    };
    auto call =
        std::make_shared<Call>(Call{std::move(request), std::move(reply)});
    const bool posted = this->hub.loop.Post(
        [function, call] { function(call->request, call->reply); });
    if (!posted) {
      this->hub.metrics.Add("rpc_calls_refused_total", "core_ring_full");
      call->reply.Fail(
          "the daemon is overloaded: its core loop's queue is full");
    }
  }

  PeerHub& hub;
};

PeerHub::PeerHub(ProcessId self,
                 PeerHubOptions options,
                 CoreLoop& loop,
                 Metrics& metrics)
    : options(std::move(options)),
      loop(loop),
      metrics(metrics),
      table(std::move(self)),
      dispatcher(std::make_unique<Dispatcher>(*this)),
      client(rpc::PeerClientOptions{.metrics = &metrics}) {}

PeerHub::~PeerHub() {
  this->Stop();
}

auto PeerHub::Start(Handlers new_handlers) -> boost::leaf::result<void> {
  this->handlers = std::move(new_handlers);
  this->server = std::make_unique<rpc::PeerServer>(
      rpc::PeerServerOptions{.address = this->options.listen_address,
                             .port = this->options.listen_port,
                             .metrics = &this->metrics},
      *this->dispatcher);
  return this->server->Start();
}

auto PeerHub::Address() const -> std::string {
  return this->options.listen_address + ":" +
         std::to_string(this->server->Port());
}

auto PeerHub::Stop() -> void {
  this->client.Stop();
  if (this->server) {
    this->server->Stop();
  }
}

auto PeerHub::Find(const ProcessId& process) const -> const PeerInfo* {
  const auto found = this->peers.find(process);
  return found == this->peers.end() ? nullptr : &found->second;
}

auto PeerHub::UpdatePeer(const rpc::PeerState& state, TimePoint now) -> void {
  auto& peer = this->peers[state.process];
  const bool was_new = peer.address.empty();
  peer.state = state;
  peer.address = state.rpc_address;
  peer.last_heard = now;
  if (peer.is_suspected || was_new) {
    peer.is_suspected = false;
    LogEvent(Event::kPeerAlive, {{"peer", state.process.Text()}});
  }
  if (this->handlers.peer_updated) {
    this->handlers.peer_updated(peer);
  }
}

auto PeerHub::UpdateSuspicion(TimePoint now) -> void {
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    auto& [process, peer] = *it;
    const auto state = this->table.State(process, now);
    const bool is_alive = state == membership::PeerState::kAlive;
    if (!is_alive && !peer.is_suspected) {
      peer.is_suspected = true;
      this->metrics.Add("peers_suspected_total");
      LogEvent(Event::kPeerSuspected, {{"peer", process.Text()}});
    }
    const bool has_departed =
        !state || *state == membership::PeerState::kDeparted;
    it = has_departed ? this->peers.erase(it) : std::next(it);
  }
}

auto PeerHub::Tick(TimePoint now) -> void {
  this->UpdateSuspicion(now);
  std::set<std::string> known_addresses;
  for (const auto& [process, peer] : this->peers) {
    known_addresses.insert(peer.address);
  }
  for (const auto& process : this->table.DueHeartbeats(now)) {
    if (const auto* peer = this->Find(process)) {
      this->table.RecordHeartbeatSent(process, now);
      this->SendHeartbeat(peer->address);
    }
  }
  if (now < this->next_seed_heartbeats) {
    return;
  }
  this->next_seed_heartbeats = now + this->options.seed_interval;
  for (const auto& seed : this->options.seeds) {
    if (!known_addresses.contains(seed) && seed != this->Address()) {
      this->SendHeartbeat(seed);
    }
  }
}

auto PeerHub::SendHeartbeat(const std::string& address) -> void {
  auto& is_in_flight = this->heartbeat_in_flight[address];
  if (is_in_flight) {
    return;
  }
  is_in_flight = true;
  const auto sent_at = SystemClock().Now();
  this->Call<rpc::HeartbeatRequest>(
      address, {this->handlers.describe_self()},
      this->options.heartbeat_timeout,
      [this, address, sent_at](rpc::CallResult<rpc::HeartbeatResponse> result) {
        this->heartbeat_in_flight[address] = false;
        if (!result.response) {
          this->metrics.Add("peer_heartbeats_failed_total", result.reason);
          return;
        }
        const auto now = SystemClock().Now();
        const auto& callee = result.response->callee;
        if (this->table.ReceiveAnswer(ToHeartbeat(callee), sent_at, now)) {
          this->UpdatePeer(callee, now);
        }
      });
}

}  // namespace shallotbank::daemon
