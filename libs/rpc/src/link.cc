#include "link.h"

#include <kj/debug.h>

#include <algorithm>
#include <random>
#include <utility>

#include "kj_time.h"

namespace shallotbank::rpc {
namespace {

// The idle timeout is checked this often within itself.
constexpr int kChecksPerIdleTimeout = 4;

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

Link::Link(ClientContext& context,
           kj::Network& network,
           const SocketAddress& address)
    : context(context),
      address(network.getSockaddr(&address.storage, address.length)),
      last_use(context.timer.now()),
      delay(context.options.first_reconnect_delay),
      tasks(*this) {}

Link::~Link() {
  const auto calls = std::exchange(this->open, {});
  for (const auto& call : calls) {
    this->context.Fail(*call, "stopped", "the client was stopped");
  }
}

auto Link::Add(const CallPointer& call) -> void {
  auto& timer = this->context.timer;
  this->last_use = timer.now();
  if (this->state == State::kUnreachable) {
    return this->context.Fail(*call, "unreachable",
                              "the last attempt to connect failed");
  }
  const Duration left = call->deadline - SystemClock().Now();
  if (left <= Duration::zero()) {
    return this->context.Fail(*call, "deadline", "the deadline has passed");
  }
  call->number = this->next_number++;
  this->open.insert(call);
  if (this->state == State::kClosed) {
    this->cycle = this->Cycle().eagerlyEvaluate(nullptr);
  }
  auto answer = this->state == State::kUp ? this->HandOver(*call)
                                          : this->WaitForConnection(call);
  this->tasks.add(
      answer
          .then(
              [this, call](AnyResponse response) {
                this->Forget(call);
                this->context.Finish(*call, {.verdict = Verdict::kRan,
                                             .response = std::move(response),
                                             .reason = "",
                                             .message = ""});
              },
              [this, call](kj::Exception&& error) {
                this->FailBy(call, error);
              })
          .exclusiveJoin(timer.afterDelay(ToKj(left)).then([this, call] {
            this->Fail(call, "deadline", "no answer before the deadline");
          })));
}

auto Link::WaitForConnection(CallPointer call) -> kj::Promise<AnyResponse> {
  auto gate = kj::newPromiseAndFulfiller<void>();
  this->waiting.emplace(call->number,
                        WaitingCall{call, kj::mv(gate.fulfiller)});
  return gate.promise.then(
      [this, call = std::move(call)]() -> kj::Promise<AnyResponse> {
        if (this->state != State::kUp) {
          return KJ_EXCEPTION(DISCONNECTED, "the connection was lost");
        }
        return this->HandOver(*call);
      });
}

auto Link::HandOver(OpenCall& call) -> kj::Promise<AnyResponse> {
  if (auto* forward = std::get_if<ForwardRequest>(&call.request)) {
    const Duration waited = SystemClock().Now() - call.start;
    forward->deadline_left =
        std::max(Duration::zero(), forward->deadline_left - waited);
  }
  call.is_handed_over = true;
  // Building the message may throw.
  return kj::evalNow([&] { return this->connection->Send(call.request); });
}

auto Link::Forget(const CallPointer& call) -> void {
  this->open.erase(call);
  this->waiting.erase(call->number);
}

auto Link::Fail(const CallPointer& call,
                const std::string& reason,
                const std::string& message) -> void {
  this->Forget(call);
  this->context.Fail(*call, reason, message);
}

auto Link::FailBy(const CallPointer& call, const kj::Exception& error) -> void {
  this->Fail(call, ReasonFor(error), error.getDescription().cStr());
}

auto Link::FailAllWaiting(const std::string& reason, const std::string& message)
    -> void {
  for (const auto& [number, entry] : std::exchange(this->waiting, {})) {
    this->Fail(entry.call, reason, message);
  }
}

auto Link::Cycle() -> kj::Promise<void> {
  this->state = State::kConnecting;
  return this->Connect()
      .then([this] { return this->StayUp(); },
            [this](kj::Exception&& error) -> kj::Promise<void> {
              this->ConnectFailed(error);
              return kj::READY_NOW;
            })
      .then([this]() -> kj::Promise<void> {
        if (this->IsIdle()) {
          this->state = State::kClosed;
          return kj::READY_NOW;
        }
        return this->context.timer.afterDelay(this->NextDelay()).then([this] {
          return this->Cycle();
        });
      });
}

auto Link::Connect() -> kj::Promise<void> {
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

auto Link::StayUp() -> kj::Promise<void> {
  this->state = State::kUp;
  this->delay = this->context.options.first_reconnect_delay;
  this->context.Count("rpc_connects_total", "");
  for (auto& [number, entry] : std::exchange(this->waiting, {})) {
    entry.gate->fulfill();
  }
  return this->connection->Watch()
      .exclusiveJoin(this->WatchIdle())
      .then([this](const std::string& reason) {
        this->state = State::kDelayed;
        this->context.Count("rpc_connections_lost_total", reason);
        this->CloseConnection();
      });
}

auto Link::ConnectFailed(const kj::Exception& error) -> void {
  const bool is_timeout = error.getType() == kj::Exception::Type::OVERLOADED;
  const std::string reason = is_timeout ? "connect_timeout" : "connect_failed";
  this->state = State::kUnreachable;
  this->context.Count("rpc_connects_failed_total", reason);
  this->CloseConnection();
  this->FailAllWaiting(reason, error.getDescription().cStr());
}

auto Link::CloseConnection() -> void {
  if (this->connection == nullptr) {
    return;
  }
  this->closed_traffic += this->connection->ReadTraffic();
  // Not at once: promises of the connection are still on the stack. Its end
  // fails the calls that were handed over.
  this->tasks.add(kj::evalLater(
      [dead = std::move(this->connection)]() mutable { dead.reset(); }));
}

auto Link::WatchIdle() -> kj::Promise<std::string> {
  const auto step =
      ToKj(this->context.options.idle_timeout) / kChecksPerIdleTimeout;
  return this->context.timer.afterDelay(step).then(
      [this]() -> kj::Promise<std::string> {
        if (this->IsIdle()) {
          return std::string("idle");
        }
        return this->WatchIdle();
      });
}

auto Link::IsIdle() const -> bool {
  const auto unused = this->context.timer.now() - this->last_use;
  return this->open.empty() &&
         unused >= ToKj(this->context.options.idle_timeout);
}

auto Link::NextDelay() -> kj::Duration {
  // Between half and the whole delay, so that many clients of a restarted peer
  // do not connect at the same moment.
  std::uniform_int_distribution<Duration::rep> jitter(this->delay.count() / 2,
                                                      this->delay.count());
  const Duration chosen(jitter(this->context.random));
  this->delay =
      std::min(2 * this->delay, this->context.options.highest_reconnect_delay);
  return ToKj(chosen);
}

auto Link::ReadTraffic() const -> Traffic {
  Traffic sum = this->closed_traffic;
  if (this->connection != nullptr) {
    sum += this->connection->ReadTraffic();
  }
  return sum;
}

auto Link::taskFailed(kj::Exception&& /*exception*/) -> void {
  this->context.Count("rpc_calls_may_have_run_total", "internal_error");
}

}  // namespace shallotbank::rpc
