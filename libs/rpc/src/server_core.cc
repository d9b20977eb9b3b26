#include "server_core.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace shallotbank::rpc {
namespace {

// Delay after a failed accept, for example when the process has run out of file
// descriptors.
constexpr auto kAcceptRetryDelay = 100 * kj::MILLISECONDS;

}  // namespace

ServerCore::ServerCore(kj::AsyncIoContext& io,
                       PeerServerOptions options,
                       std::function<void(IncomingCall)> handler,
                       std::shared_ptr<Mailbox<ServerCore>> mailbox)
    : io(io),
      context{.options = std::move(options),
              .handler = std::move(handler),
              .mailbox = std::move(mailbox),
              .timer = io.provider->getTimer(),
              .pending_replies = std::make_shared<std::atomic<std::size_t>>(0)},
      tasks(*this) {}

auto ServerCore::Listen(const SocketAddress& address) -> std::uint16_t {
  this->receiver = this->io.provider->getNetwork()
                       .getSockaddr(&address.storage, address.length)
                       ->listen();
  this->tasks.add(this->AcceptLoop());
  return static_cast<std::uint16_t>(this->receiver->getPort());
}

auto ServerCore::AcceptLoop() -> kj::Promise<void> {
  return this->receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream> stream) {
        this->Serve(kj::mv(stream));
        return this->AcceptLoop();
      },
      [this](kj::Exception&& /*error*/) {
        this->context.Count("rpc_server_refused_total", "accept_failed");
        return this->context.timer.afterDelay(kAcceptRetryDelay).then([this] {
          return this->AcceptLoop();
        });
      });
}

auto ServerCore::Serve(kj::Own<kj::AsyncIoStream> stream) -> void {
  if (this->connections.size() >= this->context.options.max_connections) {
    this->context.Count("rpc_server_refused_total", "connections");
    return;
  }
  const auto id = this->next_connection_id++;
  auto connection =
      std::make_unique<ServerConnection>(this->context, id, kj::mv(stream));
  this->tasks.add(connection->Run().then([this, id](const std::string& reason) {
    this->context.Count("rpc_server_closed_total", reason);
    // Deferred, because promises of the connection are still on the stack.
    this->tasks.add(kj::evalLater([this, id] { this->connections.erase(id); }));
  }));
  this->connections.emplace(id, std::move(connection));
}

auto ServerCore::Complete(std::uint64_t connection_id,
                          std::uint64_t call_id,
                          ReplyOutcome outcome) -> void {
  const auto connection = this->connections.find(connection_id);
  if (connection == this->connections.end() ||
      !connection->second->Complete(call_id, std::move(outcome))) {
    this->context.Count("rpc_server_late_replies_total", "");
  }
}

auto ServerCore::taskFailed(kj::Exception&& /*exception*/) -> void {
  this->context.Count("rpc_server_refused_total", "internal_error");
}

}  // namespace shallotbank::rpc
