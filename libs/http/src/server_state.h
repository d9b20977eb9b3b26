#pragma once

#include <atomic>
#include <cstddef>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <utility>

#include "http/server.h"

namespace shallotbank::http {

/// State shared by the connections of one server. It outlives the server while
/// a responder exists.
struct ServerState {
  explicit ServerState(ServerOptions given) : options(std::move(given)) {}

  auto Count(const std::string& name, const std::string& reason) -> void {
    if (this->options.metrics != nullptr) {
      this->options.metrics->Add(name, reason);
    }
  }

  auto EndRequest() -> void { this->open_requests.fetch_sub(1); }

  ServerOptions options;
  std::atomic<std::size_t> open_requests = 0;
  std::atomic<bool> draining = false;
  std::atomic<std::size_t> open_peers = 0;  ///< Sockets that Pistache holds.
  std::mutex mutex;                         ///< Guards `options.metrics`.
  /// Held shared from before input is read until it is handled. Whoever holds
  /// it alone sees in the connections all that was read.
  std::shared_mutex reading;
};

}  // namespace shallotbank::http
