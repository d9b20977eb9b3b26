#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/leaf.hpp>

#include "address.h"
#include "server_connection.h"
#include "server_context.h"

namespace shallotbank::rpc {

/// The part of a server that runs on its event loop.
class ServerCore final : private kj::TaskSet::ErrorHandler {
 public:
  ServerCore(kj::AsyncIoContext& io,
             PeerServerOptions options,
             std::function<void(IncomingCall)> handler,
             std::shared_ptr<Mailbox<ServerCore>> mailbox);

  /// Returns the port. Throws kj::Exception if the address cannot be used.
  auto Listen(const SocketAddress& address) -> std::uint16_t;
  auto Complete(std::uint64_t connection_id,
                std::uint64_t call_id,
                ReplyOutcome outcome) -> void;

 private:
  auto AcceptLoop() -> kj::Promise<void>;
  auto Serve(kj::Own<kj::AsyncIoStream> stream) -> void;
  auto taskFailed(kj::Exception&& exception) -> void override;

  kj::AsyncIoContext& io;
  const ServerContext context;
  std::uint64_t next_connection_id = 0;
  kj::Own<kj::ConnectionReceiver> receiver;
  std::map<std::uint64_t, std::unique_ptr<ServerConnection>> connections;
  // Declared last to be destroyed first: its promises refer to the connections.
  kj::TaskSet tasks;
};

}  // namespace shallotbank::rpc
