#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "client_context.h"
#include "peer.capnp.h"

namespace shallotbank::rpc {

/// One connection to a peer. Must outlive the promises it returns.
class ClientConnection {
 public:
  ClientConnection(const ClientContext& context,
                   kj::Own<kj::AsyncIoStream> stream);

  /// Fails if there is no answer within the connect timeout.
  auto Ping() -> kj::Promise<void>;
  /// Ends with the reason when the connection is closed or goes silent.
  auto Watch() -> kj::Promise<std::string>;
  auto Send(const AnyRequest& request) -> kj::Promise<AnyResponse>;
  auto ReadTraffic() -> Traffic;

 private:
  auto PingAgain() -> kj::Promise<std::string>;
  auto Heard() -> void { this->last_answer = this->context.timer.now(); }

  const ClientContext& context;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  wire::Peer::Client peer;
  kj::TimePoint last_answer;
};

}  // namespace shallotbank::rpc
