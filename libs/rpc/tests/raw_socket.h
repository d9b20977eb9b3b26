#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>
#include <system_error>
#include <utility>

namespace shallotbank::rpc {

/// A TCP socket on the loopback interface.
class RawSocket {
 public:
  RawSocket() = default;
  explicit RawSocket(int fd) : fd(fd) {}
  ~RawSocket() { this->Close(); }
  RawSocket(RawSocket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  auto operator=(RawSocket&& other) noexcept -> RawSocket& {
    std::swap(this->fd, other.fd);
    return *this;
  }

  static auto Listen() -> RawSocket {
    RawSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto address = Loopback(0);
    Check(::bind(socket.fd, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)));
    Check(::listen(socket.fd, 128));
    return socket;
  }
  static auto Connect(std::uint16_t port) -> RawSocket {
    RawSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto address = Loopback(port);
    Check(::connect(socket.fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)));
    return socket;
  }
  auto Accept() const -> RawSocket {
    return RawSocket(::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC));
  }

  auto Fd() const -> int { return this->fd; }
  auto Port() const -> std::uint16_t {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
  }
  auto Address() const -> std::string {
    return "127.0.0.1:" + std::to_string(this->Port());
  }
  auto Send(const std::string& bytes) const -> void {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto count = ::send(this->fd, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(count);
    }
  }
  /// Returns the next bytes; empty at the end of the stream.
  auto Receive() const -> std::string {
    std::string bytes(65'536, '\0');
    const auto count = ::recv(this->fd, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
  }
  /// Reads until the peer closes; returns false after `limit_ms` without data.
  auto WaitForClose(int limit_ms) const -> bool {
    pollfd poll_fd{.fd = this->fd, .events = POLLIN, .revents = 0};
    while (::poll(&poll_fd, 1, limit_ms) == 1) {
      if (this->Receive().empty()) {
        return true;
      }
    }
    return false;
  }
  auto Close() -> void {
    if (this->fd >= 0) {
      ::close(std::exchange(this->fd, -1));
    }
  }

 private:
  static auto Check(int result) -> void {
    if (result != 0) {
      throw std::system_error(errno, std::generic_category());
    }
  }
  static auto Loopback(std::uint16_t port) -> sockaddr_in {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  int fd = -1;
};

}  // namespace shallotbank::rpc
