#include "host_servers.h"

#include <algorithm>
#include <charconv>
#include <thread>
#include <utility>

#include "adapter/ingress.h"
#include "topics.h"

namespace shallotbank::cell {
namespace {

namespace leaf = boost::leaf;

/// The load balancer checks health once a second and sends no new connections
/// after two failed checks.
constexpr int kFailedChecksToLeaveRotation = 2;
constexpr std::chrono::milliseconds kMaxBalancerWait(3000);
constexpr std::chrono::milliseconds kBalancerPollInterval(20);
constexpr std::chrono::milliseconds kArrivingConnectionsWait(100);
/// The platform's limit on file descriptors allows for two per connection.
constexpr std::size_t kMaxCallerConnections = 1500;
constexpr std::size_t kMaxPeerConnections = 200;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

}  // namespace

HostServers::HostServers(Runtime& runtime, Services services)
    : runtime(runtime), services(std::move(services)) {}

auto HostServers::Start() -> leaf::result<void> {
  http::ServerOptions options;
  options.threads = 1;
  options.address = this->runtime.host.callers.address;
  options.port = this->runtime.host.callers.port;
  options.max_connections = kMaxCallerConnections;
  options.metrics = &this->runtime.metrics;
  this->caller_server = std::make_unique<http::Server>(
      options, [this](http::Request request, http::Responder responder) {
        this->HandleCaller(std::move(request), std::move(responder));
      });
  BOOST_LEAF_CHECK(this->caller_server->Start());

  options.address = this->runtime.host.health.address;
  options.port = this->runtime.host.health.port;
  options.max_connections = kMaxPeerConnections;
  this->health_server = std::make_unique<http::Server>(
      options, [this](const http::Request& request, http::Responder responder) {
        const bool is_ok =
            request.path == adapter::kHealthPath && this->is_healthy;
        this->failed_health_checks += is_ok ? 0 : 1;
        responder.Send({is_ok ? kOk : kUnavailable, {}, ""});
      });
  BOOST_LEAF_CHECK(this->health_server->Start());

  options.address = this->runtime.host.peers.address;
  options.port = this->runtime.host.peers.port;
  this->peer_server = std::make_unique<http::Server>(
      options, [this](const http::Request& request, http::Responder responder) {
        this->HandlePeer(request, std::move(responder));
      });
  BOOST_LEAF_CHECK(this->peer_server->Start());
  return {};
}

auto HostServers::HandleCaller(http::Request request, http::Responder responder)
    -> void {
  auto shared = std::make_shared<http::Responder>(std::move(responder));
  auto kept = std::make_shared<http::Request>(std::move(request));
  const bool is_posted = this->runtime.loop.Post([this, shared, kept] {
    const auto serving = this->runtime.busy.Measure(Duty::kCallers);
    this->services.jobs.Handle(*kept, std::move(*shared));
  });
  if (!is_posted) {
    this->runtime.metrics.Add("refusals_total", "core-queue-full");
    shared->Send({kUnavailable, {{"Retry-After", "1"}}, ""});
  }
}

auto HostServers::HandlePeer(const http::Request& request,
                             http::Responder responder) -> void {
  if (request.path == kRelayPath) {
    this->services.store.Relay(request, std::move(responder));
  } else if (request.path == kRecordsPath) {
    this->HandleRecords(request, std::move(responder));
  } else if (request.path == kProgressUpdatesPath) {
    this->HandleProgressUpdates(request, std::move(responder));
  } else if (request.path == kOrdersPath) {
    this->services.carrier.Handle(request, std::move(responder));
  } else if (request.path == kOrderRepliesPath) {
    this->HandleOrderReplies(request, std::move(responder));
  } else if (request.path == kDigestPath) {
    this->HandleDigest(request, std::move(responder));
  } else if (request.path == "/metrics") {
    responder.Send({kOk,
                    {{"Content-Type", "text/plain"}},
                    this->runtime.metrics.Expose()});
  } else {
    responder.Send({kNotFound, {}, ""});
  }
}

auto HostServers::HandleRecords(const http::Request& request,
                                http::Responder responder) -> void {
  auto shared = std::make_shared<http::Responder>(std::move(responder));
  auto kept = std::make_shared<http::Request>(request);
  const bool is_posted = this->runtime.loop.Post([this, shared, kept] {
    this->services.writer.WriteForPeer(*kept, shared);
  });
  if (!is_posted) {
    this->runtime.metrics.Add("refusals_total", "core-queue-full");
    shared->Send({kUnavailable, {}, ""});
  }
}

auto HostServers::HandleProgressUpdates(const http::Request& request,
                                        http::Responder responder) -> void {
  auto message = DecodeProgressMessage(request.body);
  if (!message) {
    responder.Send({kBadRequest, {}, "not news of progress"});
    return;
  }
  const bool is_posted = this->runtime.loop.Post(
      [this, kept = std::make_shared<ProgressMessage>(std::move(*message))] {
        this->services.on_progress(*kept);
      });
  responder.Send({is_posted ? kOk : kUnavailable, {}, ""});
}

auto HostServers::HandleOrderReplies(const http::Request& request,
                                     http::Responder responder) -> void {
  auto batch = DecodeReplyBatch(request.body);
  if (!batch) {
    responder.Send({kBadRequest, {}, "not a batch of replies"});
    return;
  }
  const bool is_posted = this->runtime.loop.Post(
      [this, kept = std::make_shared<ReplyBatch>(std::move(*batch))] {
        this->services.on_replies(*kept);
      });
  responder.Send({is_posted ? kOk : kUnavailable, {}, ""});
}

auto HostServers::HandleDigest(const http::Request& request,
                               http::Responder responder) -> void {
  const auto text = request.QueryParameter(kDigestFromParameter);
  Offset from = 0;
  const auto [rest, failure] =
      std::from_chars(text.data(), text.data() + text.size(), from);
  if (failure != std::errc() || rest != text.data() + text.size()) {
    responder.Send({kBadRequest, {}, "not an offset"});
    return;
  }
  auto shared = std::make_shared<http::Responder>(std::move(responder));
  const bool is_posted = this->runtime.loop.Post(
      [this, shared, topic = request.QueryParameter(kDigestTopicParameter),
       from] {
        const auto page = this->services.read_digest(topic, from);
        if (page) {
          shared->Send({kOk, {}, EncodeDigestPage(*page)});
        } else {
          shared->Send({kGone, {}, "no digest from this offset on"});
        }
      });
  if (!is_posted) {
    shared->Send({kUnavailable, {}, ""});
  }
}

auto HostServers::WaitForBalancer(TimePoint stopped_at) -> void {
  const auto before = this->failed_health_checks.load();
  const auto longest =
      std::min<Duration>(kMaxBalancerWait, this->runtime.host.stop_grace / 2);
  while (this->failed_health_checks - before < kFailedChecksToLeaveRotation &&
         this->runtime.clock.Now() - stopped_at < longest) {
    std::this_thread::sleep_for(kBalancerPollInterval);
  }
  // Connections opened before the last health check may still be arriving.
  std::this_thread::sleep_for(kArrivingConnectionsWait);
}

auto HostServers::OpenRequests() const -> std::size_t {
  return this->caller_server->OpenRequests();
}

auto HostServers::DrainCallers(Duration deadline) -> std::size_t {
  return this->caller_server->Drain(deadline);
}

auto HostServers::Stop() -> void {
  this->caller_server->Stop();
  this->health_server->Stop();
  this->peer_server->Stop();
}

}  // namespace shallotbank::cell
