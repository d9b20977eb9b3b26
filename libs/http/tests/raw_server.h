#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "raw_socket.h"

namespace shallotbank::http {

/// Runs a script of the test for each connection, on a separate thread.
class RawServer {
 public:
  /// `number` counts the connections from 0.
  using Script = std::function<void(RawSocket& connection, int number)>;

  explicit RawServer(Script given)
      : script(std::move(given)),
        listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(::bind(this->listener, generic, length) == 0);
    BOOST_REQUIRE(::listen(this->listener, 64) == 0);
    ::getsockname(this->listener, generic, &length);
    this->port = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->Run(); });
  }
  ~RawServer() {
    ::shutdown(this->listener, SHUT_RD);
    this->acceptor.join();
    ::close(this->listener);
    for (auto& thread : this->threads) {
      thread.join();
    }
  }
  RawServer(const RawServer&) = delete;
  auto operator=(const RawServer&) -> RawServer& = delete;

  auto Url(const std::string& path = "/") const -> std::string {
    return "http://127.0.0.1:" + std::to_string(this->port) + path;
  }
  auto Connections() const -> int { return this->connections; }

 private:
  auto Run() -> void {
    int accepted = -1;
    while ((accepted = ::accept4(this->listener, nullptr, nullptr,
                                 SOCK_CLOEXEC)) >= 0) {
      const int number = this->connections++;
      this->threads.emplace_back([this, accepted, number] {
        RawSocket connection(accepted);
        this->script(connection, number);
      });
    }
  }

  const Script script;
  const int listener;
  std::uint16_t port = 0;
  std::atomic<int> connections = 0;
  std::vector<std::thread> threads;  ///< Used by the acceptor, then the owner.
  std::thread acceptor;
};

/// Reads one request without a body; false if the connection ended.
inline auto ReadRequest(RawSocket& connection) -> bool {
  while (connection.Input().find("\r\n\r\n") == std::string::npos) {
    if (!connection.ReadSome(std::chrono::seconds(5))) {
      return false;
    }
  }
  connection.DropInput();
  return true;
}

}  // namespace shallotbank::http
