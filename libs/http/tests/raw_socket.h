#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

namespace shallotbank::http {

/// A TCP socket on loopback that sends and reads exactly the bytes a test
/// specifies.
class RawSocket {
 public:
  struct RawResponse {
    int status = 0;  ///< 0 if the connection ended or time ran out before it.
    std::string header;
    std::string body;
  };

  explicit RawSocket(int given) : socket(given) {}
  RawSocket(RawSocket&& other) noexcept
      : socket(std::exchange(other.socket, -1)),
        input(std::move(other.input)),
        is_closed(other.is_closed) {}
  RawSocket(const RawSocket&) = delete;
  auto operator=(const RawSocket&) -> RawSocket& = delete;
  auto operator=(RawSocket&& other) noexcept -> RawSocket& {
    std::swap(this->socket, other.socket);
    std::swap(this->input, other.input);
    std::swap(this->is_closed, other.is_closed);
    return *this;
  }
  ~RawSocket() { this->Close(); }

  static auto Connect(std::uint16_t port, int receive_buffer = 0) -> RawSocket {
    const int created = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      ::setsockopt(created, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // After a failure Send returns false and there is nothing to read.
    static_cast<void>(::connect(created, reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)));
    return RawSocket(created);
  }

  auto Number() const -> int { return this->socket; }

  auto Send(std::string_view bytes) const -> bool {
    while (!bytes.empty()) {
      const auto sent =
          ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  auto ShutdownWrite() const -> void { ::shutdown(this->socket, SHUT_WR); }

  auto Close() -> void {
    if (this->socket >= 0) {
      ::close(std::exchange(this->socket, -1));
    }
  }

  /// Reads once; false at the end of the connection or after `timeout`.
  auto ReadSome(Duration timeout) -> bool {
    pollfd wait{this->socket, POLLIN, 0};
    const auto time =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    if (::poll(&wait, 1, static_cast<int>(time.count())) <= 0) {
      return false;
    }
    std::array<char, 16384> bytes{};
    const auto count = ::recv(this->socket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      this->is_closed = true;
      return false;
    }
    this->input.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }

  /// Reads one response; `has_body` is false for responses to HEAD.
  auto ReadResponse(Duration timeout = std::chrono::seconds(5),
                    bool has_body = true) -> RawResponse {
    const auto end = SystemClock().Now() + timeout;
    RawResponse response;
    while (!this->TakeResponse(response, has_body)) {
      const auto left = end - SystemClock().Now();
      if (left <= Duration::zero() || !this->ReadSome(left)) {
        return {};
      }
    }
    return response;
  }

  /// Whether the peer closes within `timeout`; discards what it sends.
  auto IsClosedWithin(Duration timeout) -> bool {
    const auto end = SystemClock().Now() + timeout;
    while (!this->is_closed && SystemClock().Now() < end) {
      this->ReadSome(end - SystemClock().Now());
    }
    return this->is_closed;
  }

  /// Bytes read and not yet consumed.
  auto Input() const -> const std::string& { return this->input; }
  auto DropInput() -> void { this->input.clear(); }

 private:
  auto TakeResponse(RawResponse& response, bool has_body) -> bool {
    constexpr std::string_view kLength = "Content-Length: ";
    const auto header_end = this->input.find("\r\n\r\n");
    if (header_end == std::string::npos) {
      return false;
    }
    const auto body_start = header_end + 4;
    const auto header = this->input.substr(0, body_start);
    std::size_t length = 0;
    const auto field = header.find(kLength);
    if (has_body && field != std::string::npos) {
      length = std::stoul(header.substr(field + kLength.size()));
    }
    if (this->input.size() < body_start + length) {
      return false;
    }
    response.status = std::stoi(header.substr(header.find(' ') + 1));
    response.header = header;
    response.body = this->input.substr(body_start, length);
    this->input.erase(0, body_start + length);
    return true;
  }

  int socket;
  std::string input;
  bool is_closed = false;
};

}  // namespace shallotbank::http
