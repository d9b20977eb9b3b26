#pragma once

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "raw_socket.h"

namespace shallotbank::rpc {

/// Forwards TCP connections to a port. Can stop forwarding on the connections
/// open at that time without closing them.
class TcpProxy {
 public:
  explicit TcpProxy(std::uint16_t target)
      : target(target),
        listener(RawSocket::Listen()),
        thread([this] { this->Run(); }) {}
  ~TcpProxy() {
    this->stopping = true;
    this->thread.join();
  }
  TcpProxy(const TcpProxy&) = delete;
  auto operator=(const TcpProxy&) -> TcpProxy& = delete;

  auto Address() const -> std::string { return this->listener.Address(); }

  /// Stops forwarding in the given directions on the connections open now.
  auto StopForwarding(bool to_server, bool to_client) -> void {
    std::lock_guard lock(this->mutex);
    for (auto& connection : this->connections) {
      connection.is_stopped = {to_server, to_client};
    }
  }
  /// Closes all open connections.
  auto CloseConnections() -> void {
    std::lock_guard lock(this->mutex);
    this->connections.clear();
  }
  auto AcceptedCount() const -> int { return this->accepted; }
  /// Returns all bytes forwarded to servers so far.
  auto BytesToServer() -> std::string {
    std::lock_guard lock(this->mutex);
    return this->to_server;
  }

 private:
  struct Connection {
    // The socket to the client, then the socket to the server.
    std::array<RawSocket, 2> sockets;
    std::array<bool, 2> is_stopped{};
    bool is_closed = false;
  };

  auto Run() -> void {
    while (!this->stopping) {
      pollfd waiting{.fd = this->listener.Fd(), .events = POLLIN, .revents = 0};
      ::poll(&waiting, 1, 1);
      std::lock_guard lock(this->mutex);
      if ((waiting.revents & POLLIN) != 0) {
        auto client = this->listener.Accept();
        this->connections.push_back(
            {.sockets = {std::move(client), RawSocket::Connect(this->target)}});
        ++this->accepted;
      }
      for (auto& connection : this->connections) {
        this->Forward(connection, 0);
        this->Forward(connection, 1);
      }
      std::erase_if(this->connections,
                    [](const auto& entry) { return entry.is_closed; });
    }
  }

  auto Forward(Connection& connection, std::size_t from) -> void {
    const auto& source = connection.sockets.at(from);
    pollfd ready{.fd = source.Fd(), .events = POLLIN, .revents = 0};
    if (connection.is_stopped.at(from) || ::poll(&ready, 1, 0) != 1) {
      return;
    }
    const auto bytes = source.Receive();
    if (bytes.empty()) {
      connection.is_closed = true;
      return;
    }
    if (from == 0) {
      this->to_server += bytes;
    }
    connection.sockets.at(1 - from).Send(bytes);
  }

  const std::uint16_t target;
  const RawSocket listener;
  std::mutex mutex;
  std::vector<Connection> connections;
  std::string to_server;
  std::atomic<int> accepted = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace shallotbank::rpc
