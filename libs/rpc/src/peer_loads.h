#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "rpc/peer_client.h"

namespace shallotbank::rpc {

/// Limits the number and the total size of the calls in flight to each peer.
/// Thread-safe.
class PeerCallLimiter {
 public:
  explicit PeerCallLimiter(const PeerClientOptions& options)
      : options(options) {}

  /// Counts the call and returns null, or returns the reason to refuse it.
  auto Admit(const std::string& address, std::size_t bytes) -> const char*;
  auto Release(const std::string& address, std::size_t bytes) -> void;

 private:
  struct Usage {
    std::size_t calls = 0;
    std::size_t bytes = 0;
  };

  const PeerClientOptions& options;
  std::mutex mutex;
  std::map<std::string, Usage> usage_by_address;
};

}  // namespace shallotbank::rpc
