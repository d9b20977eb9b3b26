#pragma once

#include <kj/async.h>

#include "peer.capnp.h"
#include "rpc/messages.h"

namespace shallotbank::rpc {

/// Sends a call on the connection of `peer`.
auto SendCall(wire::Peer::Client& peer, const AnyRequest& request)
    -> kj::Promise<AnyResponse>;

}  // namespace shallotbank::rpc
