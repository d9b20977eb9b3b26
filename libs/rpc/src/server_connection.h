#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <memory>
#include <string>

#include "call_table.h"
#include "server_context.h"

namespace shallotbank::rpc {

/// An accepted connection.
class ServerConnection {
 public:
  ServerConnection(const ServerContext& context,
                   std::uint64_t id,
                   kj::Own<kj::AsyncIoStream> stream);

  /// Resolves to the reason to close the connection. The connection must
  /// outlive the promise.
  auto Run() -> kj::Promise<std::string>;
  /// Returns false if the call is not in flight.
  auto Complete(std::uint64_t call_id, ReplyOutcome outcome) -> bool;

 private:
  auto WatchActivity() -> kj::Promise<std::string>;
  auto Respond(std::uint64_t call_id, AnyResponse response) -> bool;

  const ServerContext& context;
  const std::shared_ptr<CallTable> calls;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

}  // namespace shallotbank::rpc
