#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>

#include "client_context.h"
#include "link.h"
#include "open_call.h"

namespace shallotbank::rpc {

/// The part of a client that lives on its event loop.
class ClientCore {
 public:
  ClientCore(kj::AsyncIoContext& io,
             const PeerClientOptions& options,
             PeerLoads& loads);

  /// Starts a call that was admitted.
  auto Start(const CallPointer& call) -> void;
  auto ReadTraffic() const -> Traffic;

 private:
  auto FindLink(const std::string& address) -> Link*;
  auto RemoveLinkWithoutCalls() -> void;

  kj::AsyncIoContext& io;
  ClientContext context;
  std::map<std::string, std::unique_ptr<Link>> links;
  Traffic removed_traffic;
};

}  // namespace shallotbank::rpc
