#pragma once

#include <kj/timer.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "mailbox.h"
#include "rpc/peer_server.h"

namespace shallotbank::rpc {

class ServerCore;

/// State shared by the connections of one server.
struct ServerContext {
  PeerServerOptions options;
  std::function<void(IncomingCall)> handler;
  std::shared_ptr<Mailbox<ServerCore>> mailbox;
  kj::Timer& timer;
  /// Number of replies held by the handler; shared with those replies.
  std::shared_ptr<std::atomic<std::size_t>> pending_replies;

  auto Count(const std::string& counter, const std::string& reason) const
      -> void {
    if (this->options.metrics != nullptr) {
      this->options.metrics->Add(counter, reason);
    }
  }
};

}  // namespace shallotbank::rpc
