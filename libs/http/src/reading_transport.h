#pragma once

#include <memory>

#include <pistache/transport.h>

#include "connection_handler.h"
#include "server_state.h"

namespace shallotbank::http {

/// Holds `ServerState::reading` from before Pistache reads from its sockets
/// until what was read is handled.
class ReadingTransport : public Pistache::Tcp::Transport {
 public:
  ReadingTransport(std::shared_ptr<ServerState> state,
                   std::shared_ptr<const Server::Handler> handler);

  auto onReady(const Pistache::Aio::FdSet& fds) -> void override;
  auto clone() const -> std::shared_ptr<Pistache::Aio::Handler> override;

 private:
  const std::shared_ptr<ServerState> state;
  const std::shared_ptr<const Server::Handler> handler;
};

}  // namespace shallotbank::http
