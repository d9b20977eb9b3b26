#pragma once

#include <chrono>
#include <thread>

#include "http/server.h"

namespace shallotbank::http {

/// Waits until the server has counted all requests as completed, which is
/// shortly after the clients have their responses. Returns false after 4 s.
inline auto WaitUntilCompleted(const Server& server) -> bool {
  for (int i = 0; i < 2000 && server.OpenRequests() > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return server.OpenRequests() == 0;
}

}  // namespace shallotbank::http
