#include "reading_transport.h"

#include <shared_mutex>
#include <utility>

namespace shallotbank::http {

ReadingTransport::ReadingTransport(
    std::shared_ptr<ServerState> state,
    std::shared_ptr<const Server::Handler> handler)
    : Transport(std::make_shared<ConnectionHandler>(state, handler)),
      state(std::move(state)),
      handler(std::move(handler)) {}

auto ReadingTransport::onReady(const Pistache::Aio::FdSet& fds) -> void {
  const std::shared_lock reading(this->state->reading);
  Transport::onReady(fds);
}

auto ReadingTransport::clone() const
    -> std::shared_ptr<Pistache::Aio::Handler> {
  return std::make_shared<ReadingTransport>(this->state, this->handler);
}

}  // namespace shallotbank::http
