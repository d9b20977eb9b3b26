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
  std::uint64_t correct = 0;
  std::uint64_t wrong = 0;    ///< Responses that belong to another request.
  std::uint64_t missing = 0;  ///< No response although the client waited.
};

/// Sends `requests` from each of `threads` clients, each on a new
/// connection. For every second request the client disconnects after 1 to 6 ms,
/// about when the response is due, so that responses to closed connections are
/// sent while new connections have the same descriptor number. The response to
/// path /ID must have body /ID.
inline auto ProbeLateResponses(std::uint16_t port, int threads, int requests)
    -> ProbeResult {
  std::atomic<std::uint64_t> correct = 0;
  std::atomic<std::uint64_t> wrong = 0;
  std::atomic<std::uint64_t> missing = 0;
  const auto call = [&](int thread) {
    std::mt19937 random(static_cast<std::uint32_t>(thread));
    std::uniform_int_distribution<int> timeout_ms(1, 6);
    for (int i = 0; i < requests; ++i) {
      const auto id = "/" + std::to_string(thread * requests + i);
      auto socket = RawSocket::Connect(port);
      socket.Send("GET " + id +
                  " HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
      const bool disconnects_early = i % 2 == 1;
      const Duration timeout =
          disconnects_early ? std::chrono::milliseconds(timeout_ms(random))
                            : std::chrono::milliseconds(2000);
      const auto response = socket.ReadResponse(timeout);
      if (response.status == 0) {
        missing += disconnects_early ? 0 : 1;
      } else if (response.body == id) {
        correct++;
      } else {
        wrong++;
      }
    }
  };
  std::vector<std::thread> clients;
  for (int thread = 0; thread < threads; ++thread) {
    clients.emplace_back(call, thread);
  }
  for (auto& client : clients) {
    client.join();
  }
  return {correct, wrong, missing};
}

}  // namespace shallotbank::http
