#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "rpc/peer_client.h"

namespace shallotbank::rpc {

/// Counts the open calls of each peer and their bytes, and refuses those above
/// the limits. Safe for use by several threads.
class PeerLoads {
 public:
  explicit PeerLoads(const PeerClientOptions& options) : options(options) {}

  /// Adds a call; otherwise returns the reason to refuse it.
  auto Admit(const std::string& address, std::size_t bytes) -> const char*;
  auto Release(const std::string& address, std::size_t bytes) -> void;

 private:
  struct Load {
    std::size_t calls = 0;
    std::size_t bytes = 0;
  };

  const PeerClientOptions& options;
  std::mutex mutex;
  std::map<std::string, Load> loads;
};

}  // namespace shallotbank::rpc
