#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace shallotbank::system_test {

/// Returns an unused port on 127.0.0.1. It lies below the kernel's ephemeral
/// port range, so no outgoing connection can occupy it before the daemon
/// listens.
inline auto FindFreePort() -> int {
  constexpr int kFirstPort = 20'000;
  constexpr int kPortCount = 12'000;
  // The first port depends on the process id, so that tests that run in
  // parallel do not choose the same ports.
  constexpr int kPidStride = 37;
  static int next = static_cast<int>(::getpid()) * kPidStride % kPortCount;
  while (true) {
    const int port = kFirstPort + next;
    next = (next + 1) % kPortCount;
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool is_free =
        ::bind(socket_fd, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) == 0;
    ::close(socket_fd);
    if (is_free) {
      return port;
    }
  }
}

}  // namespace shallotbank::system_test
