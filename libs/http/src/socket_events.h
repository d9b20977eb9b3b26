#pragma once

#include <array>
#include <span>

#include <curl/curl.h>
#include <sys/epoll.h>

#include "base/clock.h"

namespace shallotbank::http {

/// The sockets that libcurl waits for. The cost of a wait depends on the number
/// of sockets that are ready, not on the number of sockets.
class SocketEvents {
 public:
  struct Ready {
    curl_socket_t socket = CURL_SOCKET_BAD;
    int events = 0;  ///< CURL_CSELECT_IN, _OUT and _ERR.
  };

  SocketEvents();
  ~SocketEvents();
  SocketEvents(const SocketEvents&) = delete;
  auto operator=(const SocketEvents&) -> SocketEvents& = delete;

  /// Sets what to wait for on a socket: CURL_POLL_IN, _OUT, _INOUT or _REMOVE.
  auto Update(curl_socket_t socket, int interest) -> void;
  /// Waits until a socket is ready, Wake is called or the time is over. The
  /// result is valid until the next call.
  auto Wait(std::chrono::milliseconds timeout) -> std::span<const Ready>;
  /// Ends the current wait, or the next one. Thread-safe.
  auto Wake() -> void;

 private:
  static constexpr int kMaxReady = 64;

  int epoll_fd;
  int wake_fd;
  std::array<epoll_event, kMaxReady> polled{};
  std::array<Ready, kMaxReady> ready{};
};

}  // namespace shallotbank::http
