#include "link.h"

#include <kj/debug.h>

#include <algorithm>
#include <random>
#include <utility>

#include "kj_time.h"

namespace shallotbank::rpc {
namespace {

// Number of idleness checks per idle timeout.
constexpr int kIdleChecksPerTimeout = 4;

auto ReasonFor(const kj::Exception& error) -> const char* {
  switch (error.getType()) {
    case kj::Exception::Type::DISCONNECTED:
      return "connection_lost";
    case kj::Exception::Type::OVERLOADED:
      return "peer_overloaded";
    case kj::Exception::Type::UNIMPLEMENTED:
      return "unimplemented";
    case kj::Exception::Type::FAILED:
      break;
  }
  return "peer_failed";
}

}  // namespace

PeerChannel::PeerChannel(ClientContext& context,
                         kj::Network& network,
                         const SocketAddress& address)
    : context(context),
      address(network.getSockaddr(&address.storage, address.length)),
      last_used(context.timer.now()),
      reconnect_delay(context.options.initial_reconnect_delay),
      tasks(*this) {}

PeerChannel::~PeerChannel() {
  const auto calls = std::exchange(this->pending, {});
  for (const auto& call : calls) {
    this->context.Fail(*call, "stopped", "the client was stopped");
  }
}

auto PeerChannel::Add(const CallPointer& call) -> void {
  auto& timer = this->context.timer;
  this->last_used = timer.now();
  if (this->state == State::kUnreachable) {
    return this->context.Fail(*call, "unreachable",
                              "the last attempt to connect failed");
  }
  const Duration left = call->deadline - SystemClock().Now();
  if (left <= Duration::zero()) {
    return this->context.Fail(*call, "deadline", "the deadline has passed");
  }
  call->number = this->next_call_number++;
  this->pending.insert(call);
  if (this->state == State::kClosed) {
    this->connect_loop = this->ConnectLoop().eagerlyEvaluate(nullptr);
  }
  auto response_promise = this->state == State::kConnected
                              ? this->SendOnConnection(*call)
                              : this->WaitForConnection(call);
  this->tasks.add(
      response_promise
          .then(
              [this, call](AnyResponse response) {
                this->RemoveCall(call);
                this->context.Finish(*call, {.verdict = Verdict::kRan,
                                             .response = std::move(response),
                                             .reason = "",
                                             .message = ""});
              },
              [this, call](kj::Exception&& error) {
                this->FailWithException(call, error);
              })
          .exclusiveJoin(timer.afterDelay(ToKj(left)).then([this, call] {
            this->Fail(call, "deadline", "no answer before the deadline");
          })));
}

auto PeerChannel::WaitForConnection(CallPointer call)
    -> kj::Promise<AnyResponse> {
  auto connected = kj::newPromiseAndFulfiller<void>();
  this->waiting.emplace(call->number,
                        WaitingCall{call, kj::mv(connected.fulfiller)});
  return connected.promise.then(
      [this, call = std::move(call)]() -> kj::Promise<AnyResponse> {
        if (this->state != State::kConnected) {
          return KJ_EXCEPTION(DISCONNECTED, "the connection was lost");
        }
        return this->SendOnConnection(*call);
      });
}

auto PeerChannel::SendOnConnection(PendingCall& call)
    -> kj::Promise<AnyResponse> {
  if (auto* forward = std::get_if<ForwardRequest>(&call.request)) {
    const Duration waited = SystemClock().Now() - call.start;
    forward->deadline_left =
        std::max(Duration::zero(), forward->deadline_left - waited);
  }
  call.is_sent = true;
  // Building the message may throw.
  return kj::evalNow([&] { return this->connection->Send(call.request); });
}

auto PeerChannel::RemoveCall(const CallPointer& call) -> void {
  this->pending.erase(call);
  this->waiting.erase(call->number);
}

auto PeerChannel::Fail(const CallPointer& call,
                       const std::string& reason,
                       const std::string& message) -> void {
  this->RemoveCall(call);
  this->context.Fail(*call, reason, message);
}

auto PeerChannel::FailWithException(const CallPointer& call,
                                    const kj::Exception& error) -> void {
  this->Fail(call, ReasonFor(error), error.getDescription().cStr());
}

auto PeerChannel::FailAllWaiting(const std::string& reason,
                                 const std::string& message) -> void {
  for (const auto& [number, entry] : std::exchange(this->waiting, {})) {
    this->Fail(entry.call, reason, message);
  }
}

auto PeerChannel::ConnectLoop() -> kj::Promise<void> {
  this->state = State::kConnecting;
  return this->Connect()
      .then([this] { return this->WatchConnection(); },
            [this](kj::Exception&& error) -> kj::Promise<void> {
              this->ConnectFailed(error);
              return kj::READY_NOW;
            })
      .then([this]() -> kj::Promise<void> {
        if (this->IsIdle()) {
          this->state = State::kClosed;
          return kj::READY_NOW;
        }
        return this->context.timer.afterDelay(this->NextReconnectDelay())
            .then([this] { return this->ConnectLoop(); });
      });
}

auto PeerChannel::Connect() -> kj::Promise<void> {
  return this->context.timer.timeoutAfter(
      ToKj(this->context.options.connect_timeout),
      kj::evalNow([this] {
        return this->address->connect();
      }).then([this](kj::Own<kj::AsyncIoStream> stream) {
        this->connection =
            std::make_unique<ClientConnection>(this->context, kj::mv(stream));
        return this->connection->Ping();
      }));
}

auto PeerChannel::WatchConnection() -> kj::Promise<void> {
  this->state = State::kConnected;
  this->reconnect_delay = this->context.options.initial_reconnect_delay;
  this->context.Count("rpc_connects_total", "");
  for (auto& [number, entry] : std::exchange(this->waiting, {})) {
    entry.connected->fulfill();
  }
  return this->connection->Watch()
      .exclusiveJoin(this->WatchForIdleness())
      .then([this](const std::string& reason) {
        this->state = State::kBackoff;
        this->context.Count("rpc_connections_lost_total", reason);
        this->CloseConnection();
      });
}

auto PeerChannel::ConnectFailed(const kj::Exception& error) -> void {
  const bool is_timeout = error.getType() == kj::Exception::Type::OVERLOADED;
  const std::string reason = is_timeout ? "connect_timeout" : "connect_failed";
  this->state = State::kUnreachable;
  this->context.Count("rpc_connects_failed_total", reason);
  this->CloseConnection();
  this->FailAllWaiting(reason, error.getDescription().cStr());
}

auto PeerChannel::CloseConnection() -> void {
  if (this->connection == nullptr) {
    return;
  }
  this->closed_traffic += this->connection->ReadTraffic();
  // Deferred, because promises of the connection are still on the stack. Its
  // destruction fails the calls that were sent on it.
  this->tasks.add(kj::evalLater(
      [closed = std::move(this->connection)]() mutable { closed.reset(); }));
}

auto PeerChannel::WatchForIdleness() -> kj::Promise<std::string> {
  const auto check_interval =
      ToKj(this->context.options.idle_timeout) / kIdleChecksPerTimeout;
  return this->context.timer.afterDelay(check_interval)
      .then([this]() -> kj::Promise<std::string> {
        if (this->IsIdle()) {
          return std::string("idle");
        }
        return this->WatchForIdleness();
      });
}

auto PeerChannel::IsIdle() const -> bool {
  const auto unused = this->context.timer.now() - this->last_used;
  return this->pending.empty() &&
         unused >= ToKj(this->context.options.idle_timeout);
}

auto PeerChannel::NextReconnectDelay() -> kj::Duration {
  // Random between half and the full delay, so that the clients of a restarted
  // peer do not all reconnect at the same time.
  std::uniform_int_distribution<Duration::rep> jitter(
      this->reconnect_delay.count() / 2, this->reconnect_delay.count());
  const Duration chosen(jitter(this->context.random));
  this->reconnect_delay = std::min(2 * this->reconnect_delay,
                                   this->context.options.max_reconnect_delay);
  return ToKj(chosen);
}

auto PeerChannel::ReadTraffic() const -> Traffic {
  Traffic sum = this->closed_traffic;
  if (this->connection != nullptr) {
    sum += this->connection->ReadTraffic();
  }
  return sum;
}

auto PeerChannel::taskFailed(kj::Exception&& /*exception*/) -> void {
  this->context.Count("rpc_calls_may_have_run_total", "internal_error");
}

}  // namespace shallotbank::rpc
