#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "connection.h"
#include "server_state.h"

namespace shallotbank::http {

/// All connections of a server, and the thread that finishes their partial
/// writes and applies their time limits.
class ConnectionTable {
 public:
  explicit ConnectionTable(std::shared_ptr<ServerState> state);
  /// Closes all connections.
  ~ConnectionTable();
  ConnectionTable(const ConnectionTable&) = delete;
  auto operator=(const ConnectionTable&) -> ConnectionTable& = delete;

  /// Takes ownership of `duplicate`, a duplicate of an accepted socket.
  auto Add(int duplicate) -> std::shared_ptr<Connection>;
  auto Size() const -> std::size_t;
  /// True if no connection will accept another request.
  auto AreAllFinishing() const -> bool;
  auto DropOpenRequests() -> void;
  auto CloseAll(const std::string& reason) -> void;

 private:
  auto Run() -> void;
  auto Tick() -> void;
  auto Find(std::uint64_t id) const -> std::shared_ptr<Connection>;
  auto All() const -> std::vector<std::shared_ptr<Connection>>;

  const std::shared_ptr<ServerState> state;
  const int epoll;
  mutable std::mutex mutex;
  std::map<std::uint64_t, std::shared_ptr<Connection>> connections;
  std::uint64_t next_id = 1;
  std::atomic<bool> stopping = false;
  std::thread writer;
};

}  // namespace shallotbank::http
