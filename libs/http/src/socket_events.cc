#include "socket_events.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace shallotbank::http {
namespace {

auto ThrowIfFailed(int result, const char* call) -> int {
  if (result < 0) {
    throw std::system_error(errno, std::generic_category(), call);
  }
  return result;
}

auto ToEpollEvents(int interest) -> std::uint32_t {
  std::uint32_t events = 0;
  if ((interest & CURL_POLL_IN) != 0) {
    events |= EPOLLIN;
  }
  if ((interest & CURL_POLL_OUT) != 0) {
    events |= EPOLLOUT;
  }
  return events;
}

auto ToCurlEvents(std::uint32_t events) -> int {
  int result = 0;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0) {
    result |= CURL_CSELECT_IN;
  }
  if ((events & EPOLLOUT) != 0) {
    result |= CURL_CSELECT_OUT;
  }
  if ((events & EPOLLERR) != 0) {
    result |= CURL_CSELECT_ERR;
  }
  return result;
}

}  // namespace

SocketEvents::SocketEvents()
    : epoll_fd(ThrowIfFailed(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      wake_fd(
          ThrowIfFailed(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK), "eventfd")) {
  this->Update(this->wake_fd, CURL_POLL_IN);
}

SocketEvents::~SocketEvents() {
  ::close(this->wake_fd);
  ::close(this->epoll_fd);
}

auto SocketEvents::Update(curl_socket_t socket, int interest) -> void {
  if (interest == CURL_POLL_REMOVE) {
    ::epoll_ctl(this->epoll_fd, EPOLL_CTL_DEL, socket, nullptr);
    return;
  }
  epoll_event event{};
  event.events = ToEpollEvents(interest);
  event.data.fd = socket;
  if (::epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, socket, &event) != 0 &&
      errno == EEXIST) {
    ::epoll_ctl(this->epoll_fd, EPOLL_CTL_MOD, socket, &event);
  }
}

auto SocketEvents::Wait(std::chrono::milliseconds timeout)
    -> std::span<const Ready> {
  const int count = ::epoll_wait(this->epoll_fd, this->polled.data(), kMaxReady,
                                 static_cast<int>(timeout.count()));
  std::size_t sockets = 0;
  for (int i = 0; i < count; i++) {
    const auto& event = this->polled[static_cast<std::size_t>(i)];
    if (event.data.fd == this->wake_fd) {
      std::uint64_t wakes = 0;
      [[maybe_unused]] const auto bytes =
          ::read(this->wake_fd, &wakes, sizeof(wakes));
      continue;
    }
    this->ready[sockets++] = {event.data.fd, ToCurlEvents(event.events)};
  }
  return {this->ready.data(), sockets};
}

auto SocketEvents::Wake() -> void {
  const std::uint64_t wake = 1;
  [[maybe_unused]] const auto bytes =
      ::write(this->wake_fd, &wake, sizeof(wake));
}

}  // namespace shallotbank::http
