#pragma once

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "raw_socket.h"

namespace shallotbank::rpc {

/// Forwards TCP connections to a port and can stop forwarding on the
/// connections that are open at that moment, without closing them.
class Relay {
 public:
  explicit Relay(std::uint16_t target)
      : target(target),
        listener(RawSocket::Listen()),
        thread([this] { this->Run(); }) {}
  ~Relay() {
    this->stopping = true;
    this->thread.join();
  }
  Relay(const Relay&) = delete;
  auto operator=(const Relay&) -> Relay& = delete;

  auto Address() const -> std::string { return this->listener.Address(); }

  /// Affects open connections only.
  auto Silence(bool to_server, bool to_client) -> void {
    std::lock_guard lock(this->mutex);
    for (auto& connection : this->connections) {
      connection.is_silent = {to_server, to_client};
    }
  }
  /// Closes the open connections.
  auto Cut() -> void {
    std::lock_guard lock(this->mutex);
    this->connections.clear();
  }
  auto Accepted() const -> int { return this->accepted; }
  /// All bytes that were forwarded to the server.
  auto BytesToServer() -> std::string {
    std::lock_guard lock(this->mutex);
    return this->to_server;
  }

 private:
  struct Connection {
    // The side of the client, then the side of the server.
    std::array<RawSocket, 2> sockets;
    std::array<bool, 2> is_silent{};
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
    if (connection.is_silent.at(from) || ::poll(&ready, 1, 0) != 1) {
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
