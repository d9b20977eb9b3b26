#include "connection_handler.h"

#include <string_view>
#include <utility>

namespace shallotbank::http {
namespace {

auto FindConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
    -> std::shared_ptr<Connection> {
  return std::static_pointer_cast<Connection>(
      peer->tryGetData(ConnectionHandler::kPeerData));
}

}  // namespace

ConnectionHandler::ConnectionHandler(
    std::shared_ptr<ServerState> state,
    std::shared_ptr<const Server::Handler> handler)
    : state(std::move(state)), handler(std::move(handler)) {}

auto ConnectionHandler::onInput(
    const char* buffer,
    std::size_t length,
    const std::shared_ptr<Pistache::Tcp::Peer>& peer) -> void {
  if (const auto connection = FindConnection(peer)) {
    connection->OnInput(std::string_view(buffer, length), *this->handler);
  }
}

auto ConnectionHandler::onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& peer) -> void {
  if (const auto connection = FindConnection(peer)) {
    connection->OnInputEnd();
  }
  this->state->open_peers.fetch_sub(1);
}

}  // namespace shallotbank::http
