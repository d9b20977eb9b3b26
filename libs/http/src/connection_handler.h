#pragma once

#include <memory>

#include <pistache/peer.h>
#include <pistache/tcp.h>

#include "connection.h"
#include "http/server.h"
#include "server_state.h"

namespace shallotbank::http {

/// Receives the bytes that Pistache reads. The connection is found through the
/// peer object and never through the descriptor number, which may be reused.
class ConnectionHandler : public Pistache::Tcp::Handler {
  PROTOTYPE_OF(Pistache::Tcp::Handler, ConnectionHandler)

 public:
  static constexpr const char* kPeerData = "connection";

  ConnectionHandler(std::shared_ptr<ServerState> state,
                    std::shared_ptr<const Server::Handler> handler);

  auto onInput(const char* buffer,
               std::size_t length,
               const std::shared_ptr<Pistache::Tcp::Peer>& peer)
      -> void override;
  auto onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
      -> void override;

 private:
  std::shared_ptr<ServerState> state;
  std::shared_ptr<const Server::Handler> handler;
};

}  // namespace shallotbank::http
