#pragma once

#include <cstdio>

#include "base/process.h"

namespace shallotbank::standins {

/// Starts a stand-in and serves until SIGTERM. Prints its URL on stdout.
template <typename Standin>
auto ServeUntilStopped(Standin& standin) -> int {
  const auto started = standin.Start();
  if (!started) {
    std::fprintf(stderr, "cannot listen on the port\n");
    return kExitFailure;
  }
  std::printf("%s\n", standin.Url().c_str());
  std::fflush(stdout);
  while (!WaitForStopSignal(std::chrono::hours(1))) {
  }
  return kExitOk;
}

inline constexpr std::int64_t kMaxPort = 65'535;

}  // namespace shallotbank::standins
