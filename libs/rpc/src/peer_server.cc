#include "rpc/peer_server.h"

#include <future>
#include <optional>
#include <variant>

#include "event_loop_thread.h"
#include "server_core.h"

namespace shallotbank::rpc {

namespace leaf = boost::leaf;

class PeerServer::Impl {
 public:
  Impl(PeerServerOptions options, std::function<void(IncomingCall)> handler)
      : options(std::move(options)), handler(std::move(handler)) {}

  auto Start() -> leaf::result<void> {
    const auto address = ParseIp(this->options.address, this->options.port);
    if (!address) {
      return this->Error("not a numeric IP address");
    }
    this->loop.emplace([this](kj::AsyncIoContext& io, auto mailbox) {
      return std::make_unique<ServerCore>(io, this->options, this->handler,
                                          std::move(mailbox));
    });
    auto listening = this->Listen(*address);
    if (const auto* error = std::get_if<std::string>(&listening)) {
      this->Stop();
      return this->Error(*error);
    }
    this->port = std::get<std::uint16_t>(listening);
    return {};
  }

  auto Port() const -> std::uint16_t { return this->port; }

  auto Stop() -> void { this->loop.reset(); }

 private:
  using PortOrError = std::variant<std::uint16_t, std::string>;

  auto Error(std::string message) const -> leaf::error_id {
    return leaf::new_error(ListenError{
        this->options.address + ":" + std::to_string(this->options.port),
        std::move(message)});
  }

  auto Listen(const SocketAddress& address) -> PortOrError {
    auto result = std::make_shared<std::promise<PortOrError>>();
    auto future = result->get_future();
    this->loop->Post([result, address](ServerCore& core) {
      try {
        result->set_value(core.Listen(address));
      } catch (const kj::Exception& error) {
        result->set_value(std::string(error.getDescription().cStr()));
      }
    });
    return future.get();
  }

  const PeerServerOptions options;
  const std::function<void(IncomingCall)> handler;
  std::uint16_t port = 0;
  std::optional<EventLoopThread<ServerCore>> loop;
};

PeerServer::PeerServer(PeerServerOptions options,
                       std::function<void(IncomingCall)> handler)
    : impl(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

PeerServer::~PeerServer() = default;

auto PeerServer::Start() -> leaf::result<void> {
  return this->impl->Start();
}

auto PeerServer::Port() const -> std::uint16_t {
  return this->impl->Port();
}

auto PeerServer::Stop() -> void {
  this->impl->Stop();
}

}  // namespace shallotbank::rpc
