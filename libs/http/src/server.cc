#include "http/server.h"

#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pistache/peer.h>
#include <pistache/reactor.h>
#include <pistache/transport.h>
#include <sys/socket.h>
#include <unistd.h>

#include "acceptor.h"
#include "connection_handler.h"
#include "connection_table.h"
#include "reading_transport.h"
#include "server_state.h"

namespace shallotbank::http {
namespace {

constexpr std::chrono::milliseconds kPollInterval(2);

/// How long Stop waits for Pistache to close its sockets.
constexpr Duration kCloseTimeout = std::chrono::seconds(2);

constexpr std::string_view kTooManyConnections =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Content-Type: application/json\r\n"
    "Content-Length: 109\r\n"
    "Connection: close\r\n"
    "\r\n"
    R"({"error":{"reason":"too_many_connections","field":"",)"
    R"("message":"too many connections","execution":"not-run"}})";

auto RefuseConnection(int socket) -> void {
  ::send(socket, kTooManyConnections.data(), kTooManyConnections.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
  ::shutdown(socket, SHUT_WR);
  ::close(socket);
}

template <typename Condition>
auto WaitFor(Duration deadline, const Condition& condition) -> void {
  const auto end = SystemClock().Now() + deadline;
  while (!condition() && SystemClock().Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

class Server::Impl {
 public:
  Impl(ServerOptions options, Handler handler)
      : state(std::make_shared<ServerState>(std::move(options))),
        handler(std::make_shared<const Handler>(std::move(handler))),
        acceptor([this](int socket) { this->OnAccept(socket); }) {}

  auto Start() -> boost::leaf::result<void> {
    const auto& options = this->state->options;
    this->table = std::make_unique<ConnectionTable>(this->state);
    this->reactor = Pistache::Aio::Reactor::create();
    this->reactor->init(Pistache::Aio::AsyncContext(
        static_cast<std::size_t>(options.threads), "http"));
    const auto key = this->reactor->addHandler(
        std::make_shared<ReadingTransport>(this->state, this->handler));
    this->transports = this->reactor->handlers(key);
    this->reactor->run();
    return this->acceptor.Listen(options.address, options.port);
  }

  auto Drain(Duration deadline) -> std::size_t {
    // New connections are refused before responses carry `Connection: close`,
    // so that a client that reconnects learns at once that nothing was run.
    this->acceptor.Stop();
    this->state->draining = true;
    WaitFor(deadline, [this] {
      return this->table == nullptr || this->table->AreAllFinishing();
    });
    const std::size_t left = this->state->open_requests;
    if (left > 0) {
      this->table->DropOpenRequests();
    }
    return left;
  }

  auto Stop() -> void {
    this->acceptor.Stop();
    if (this->table == nullptr) {
      return;
    }
    WaitFor(kCloseTimeout, [this] {
      this->table->CloseAll("stop");
      return this->state->open_peers == 0;
    });
    this->reactor->shutdown();
    this->transports.clear();
    this->reactor.reset();
    this->table.reset();
  }

  auto State() const -> const ServerState& { return *this->state; }
  auto Port() const -> std::uint16_t { return this->acceptor.Port(); }

 private:
  auto OnAccept(int socket) -> void {
    if (this->table->Size() >= this->state->options.max_connections) {
      this->state->Count("http_refused_total", "too_many_connections");
      RefuseConnection(socket);
      return;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const int duplicate = ::fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0) {
      this->state->Count("http_refused_total", "no_file_descriptor");
      RefuseConnection(socket);
      return;
    }
    auto peer = Pistache::Tcp::Peer::Create(socket, Pistache::Address());
    peer->putData(ConnectionHandler::kPeerData, this->table->Add(duplicate));
    this->state->open_peers.fetch_add(1);
    const auto index = this->accepted++ % this->transports.size();
    std::static_pointer_cast<Pistache::Tcp::Transport>(this->transports[index])
        ->handleNewPeer(peer);
  }

  const std::shared_ptr<ServerState> state;
  const std::shared_ptr<const Handler> handler;
  std::unique_ptr<ConnectionTable> table;
  std::shared_ptr<Pistache::Aio::Reactor> reactor;
  std::vector<std::shared_ptr<Pistache::Aio::Handler>> transports;
  std::size_t accepted = 0;
  Acceptor acceptor;
};

Server::Server(ServerOptions options, Handler handler)
    : impl(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

Server::~Server() {
  this->Stop();
}

auto Server::Start() -> boost::leaf::result<void> {
  return this->impl->Start();
}

auto Server::Port() const -> std::uint16_t {
  return this->impl->Port();
}

auto Server::OpenRequests() const -> std::size_t {
  return this->impl->State().open_requests;
}

auto Server::Drain(Duration deadline) -> std::size_t {
  return this->impl->Drain(deadline);
}

auto Server::Stop() -> void {
  this->impl->Stop();
}

}  // namespace shallotbank::http
