#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <boost/leaf.hpp>

#include "http/server.h"

namespace shallotbank::http {

/// Accepts connections on one address. Pistache's listener keeps its socket
/// open until it is destroyed, so it cannot refuse new connections while
/// persistent ones are drained.
class Acceptor {
 public:
  /// Takes ownership of a non-blocking socket; runs on the acceptor's thread.
  using OnAccept = std::function<void(int socket)>;

  explicit Acceptor(OnAccept on_accept);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  auto operator=(const Acceptor&) -> Acceptor& = delete;

  /// Errors: `ListenError`.
  auto Listen(const std::string& address, std::uint16_t port)
      -> boost::leaf::result<void>;
  auto Port() const -> std::uint16_t { return this->port; }
  /// Accepts the connections already established and refuses later ones.
  auto Stop() -> void;

 private:
  auto Run() -> void;
  auto AcceptAll() -> void;

  const OnAccept on_accept;
  int socket = -1;
  int wakeup = -1;
  std::uint16_t port = 0;
  std::thread thread;
};

}  // namespace shallotbank::http
