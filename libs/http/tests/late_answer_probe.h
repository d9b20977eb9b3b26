#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "raw_socket.h"

namespace shallotbank::http {

struct ProbeResult {
  std::uint64_t right = 0;
  std::uint64_t wrong = 0;  ///< Answers that belong to another request.
  std::uint64_t none = 0;   ///< No answer though the caller waited.
};

/// Sends `requests` from each of `threads` callers, each on a connection of its
/// own. Every second caller gives up after 1 to 6 ms, about when its answer is
/// due, so that answers to closed connections meet new connections under the
/// same socket number. The answer to path /ID must have body /ID.
inline auto ProbeLateAnswers(std::uint16_t port, int threads, int requests)
    -> ProbeResult {
  std::atomic<std::uint64_t> right = 0;
  std::atomic<std::uint64_t> wrong = 0;
  std::atomic<std::uint64_t> none = 0;
  const auto call = [&](int thread) {
    std::mt19937 random(static_cast<std::uint32_t>(thread));
    std::uniform_int_distribution<int> patience_ms(1, 6);
    for (int i = 0; i < requests; ++i) {
      const auto id = "/" + std::to_string(thread * requests + i);
      auto socket = RawSocket::Connect(port);
      socket.Send("GET " + id +
                  " HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
      const bool gives_up = i % 2 == 1;
      const Duration patience =
          gives_up ? std::chrono::milliseconds(patience_ms(random))
                   : std::chrono::milliseconds(2000);
      const auto answer = socket.ReadAnswer(patience);
      if (answer.status == 0) {
        none += gives_up ? 0 : 1;
      } else if (answer.body == id) {
        right++;
      } else {
        wrong++;
      }
    }
  };
  std::vector<std::thread> callers;
  for (int thread = 0; thread < threads; ++thread) {
    callers.emplace_back(call, thread);
  }
  for (auto& caller : callers) {
    caller.join();
  }
  return {right, wrong, none};
}

}  // namespace shallotbank::http
