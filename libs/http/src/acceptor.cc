#include "acceptor.h"

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotbank::http {
namespace {

namespace leaf = boost::leaf;

constexpr int kBacklog = 1024;

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay(20);

union SocketAddress {
  sockaddr generic;
  sockaddr_in v4;
  sockaddr_in6 v6;
};

/// The length of the filled address; 0 if `text` is not a numeric IP address.
auto ToSocketAddress(const std::string& text,
                     std::uint16_t port,
                     SocketAddress& address) -> socklen_t {
  address = {};
  if (::inet_pton(AF_INET, text.c_str(), &address.v4.sin_addr) == 1) {
    address.v4.sin_family = AF_INET;
    address.v4.sin_port = htons(port);
    return sizeof(address.v4);
  }
  address = {};
  if (::inet_pton(AF_INET6, text.c_str(), &address.v6.sin6_addr) == 1) {
    address.v6.sin6_family = AF_INET6;
    address.v6.sin6_port = htons(port);
    return sizeof(address.v6);
  }
  return 0;
}

auto LastError() -> std::string {
  return std::system_category().message(errno);
}

}  // namespace

Acceptor::Acceptor(OnAccept on_accept) : on_accept(std::move(on_accept)) {}

Acceptor::~Acceptor() {
  this->Stop();
}

auto Acceptor::Listen(const std::string& address, std::uint16_t port)
    -> leaf::result<void> {
  SocketAddress target{};
  auto length = ToSocketAddress(address, port, target);
  if (length == 0) {
    return leaf::new_error(ListenError{address, "not a numeric IP address"});
  }
  this->socket = ::socket(target.generic.sa_family,
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (this->socket < 0 || ::bind(this->socket, &target.generic, length) != 0 ||
      ::listen(this->socket, kBacklog) != 0 ||
      ::getsockname(this->socket, &target.generic, &length) != 0) {
    const ListenError error{address + ":" + std::to_string(port), LastError()};
    if (this->socket >= 0) {
      ::close(std::exchange(this->socket, -1));
    }
    return leaf::new_error(error);
  }
  this->port = ntohs(target.generic.sa_family == AF_INET ? target.v4.sin_port
                                                         : target.v6.sin6_port);
  this->wakeup = ::eventfd(0, EFD_CLOEXEC);
  this->thread = std::thread([this] { this->Run(); });
  return {};
}

auto Acceptor::Stop() -> void {
  if (!this->thread.joinable()) {
    return;
  }
  ::eventfd_write(this->wakeup, 1);
  this->thread.join();
  ::close(std::exchange(this->wakeup, -1));
}

auto Acceptor::Run() -> void {
  std::array<pollfd, 2> poll_fds = {
      {{this->socket, POLLIN, 0}, {this->wakeup, POLLIN, 0}}};
  while (poll_fds[1].revents == 0) {
    ::poll(poll_fds.data(), poll_fds.size(), -1);
    this->AcceptAll();
  }
  ::close(std::exchange(this->socket, -1));
}

auto Acceptor::AcceptAll() -> void {
  while (true) {
    const int accepted =
        ::accept4(this->socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      this->on_accept(accepted);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      std::this_thread::sleep_for(kAcceptRetryDelay);
      return;
    }
  }
}

}  // namespace shallotbank::http
