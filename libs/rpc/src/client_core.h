#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>

#include "client_context.h"
#include "link.h"
#include "pending_call.h"

namespace shallotbank::rpc {

/// The part of a client that runs on its event loop.
class ClientCore {
 public:
  ClientCore(kj::AsyncIoContext& io,
             const PeerClientOptions& options,
             PeerCallLimiter& call_limiter);

  /// Starts a call that the call limiter has admitted.
  auto Start(const CallPointer& call) -> void;
  auto ReadTraffic() const -> Traffic;

 private:
  auto FindOrCreateChannel(const std::string& address) -> PeerChannel*;
  auto RemoveUnusedChannel() -> void;

  kj::AsyncIoContext& io;
  ClientContext context;
  std::map<std::string, std::unique_ptr<PeerChannel>> channels;
  Traffic removed_traffic;
};

}  // namespace shallotbank::rpc
