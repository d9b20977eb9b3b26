#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "client_context.h"
#include "peer.capnp.h"

namespace shallotbank::rpc {

/// A connection to a peer. Must outlive the promises that it returns.
class ClientConnection {
 public:
  ClientConnection(const ClientContext& context,
                   kj::Own<kj::AsyncIoStream> stream);

  /// Completes with the response to a ping; the caller applies a timeout.
  auto Ping() -> kj::Promise<void>;
  /// Resolves to the reason once the connection is closed or unresponsive.
  auto Watch() -> kj::Promise<std::string>;
  auto Send(const AnyRequest& request) -> kj::Promise<AnyResponse>;
  auto ReadTraffic() -> Traffic;

 private:
  auto PingLoop() -> kj::Promise<std::string>;
  auto RecordResponse() -> void {
    this->last_response = this->context.timer.now();
  }

  const ClientContext& context;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  wire::Peer::Client peer;
  kj::TimePoint last_response;
};

}  // namespace shallotbank::rpc
