#include "connection_table.h"

#include <algorithm>
#include <array>
#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

namespace shallotbank::http {
namespace {

constexpr std::size_t kMaxEventsPerWait = 64;

/// How often time limits are checked; a limit may act this much late.
constexpr std::chrono::milliseconds kTickInterval(50);
constexpr std::chrono::milliseconds kDrainTickInterval(10);

}  // namespace

ConnectionTable::ConnectionTable(std::shared_ptr<ServerState> state)
    : state(std::move(state)), epoll(::epoll_create1(EPOLL_CLOEXEC)) {
  this->writer = std::thread([this] { this->Run(); });
}

ConnectionTable::~ConnectionTable() {
  this->CloseAll("stop");
  this->stopping = true;
  this->writer.join();
  this->CloseAll("stop");
  ::close(this->epoll);
}

auto ConnectionTable::Add(int duplicate) -> std::shared_ptr<Connection> {
  std::lock_guard lock(this->mutex);
  const auto id = this->next_id++;
  auto connection =
      std::make_shared<Connection>(id, duplicate, this->epoll, this->state);
  this->connections.emplace(id, connection);
  return connection;
}

auto ConnectionTable::Size() const -> std::size_t {
  std::lock_guard lock(this->mutex);
  return this->connections.size();
}

auto ConnectionTable::All() const -> std::vector<std::shared_ptr<Connection>> {
  std::vector<std::shared_ptr<Connection>> all;
  std::lock_guard lock(this->mutex);
  all.reserve(this->connections.size());
  for (const auto& [id, connection] : this->connections) {
    all.push_back(connection);
  }
  return all;
}

auto ConnectionTable::Find(std::uint64_t id) const
    -> std::shared_ptr<Connection> {
  std::lock_guard lock(this->mutex);
  const auto found = this->connections.find(id);
  return found == this->connections.end() ? nullptr : found->second;
}

auto ConnectionTable::AreAllFinishing() const -> bool {
  const auto all = this->All();
  return std::all_of(all.begin(), all.end(), [](const auto& connection) {
    return connection->IsFinishing();
  });
}

auto ConnectionTable::DropOpenRequests() -> void {
  for (const auto& connection : this->All()) {
    connection->DropOpenRequests();
  }
}

auto ConnectionTable::CloseAll(const std::string& reason) -> void {
  for (const auto& connection : this->All()) {
    connection->Close(reason);
  }
}

auto ConnectionTable::Run() -> void {
  std::array<epoll_event, kMaxEventsPerWait> events{};
  auto next_tick = SystemClock().Now();
  while (!this->stopping) {
    const auto tick =
        this->state->draining ? kDrainTickInterval : kTickInterval;
    const int count =
        ::epoll_wait(this->epoll, events.data(), kMaxEventsPerWait,
                     static_cast<int>(tick.count()));
    for (int i = 0; i < count; ++i) {
      const auto& event = events[static_cast<std::size_t>(i)];
      if (const auto connection = this->Find(event.data.u64)) {
        connection->OnWritable();
      }
    }
    if (SystemClock().Now() >= next_tick) {
      this->Tick();
      next_tick = SystemClock().Now() + tick;
    }
  }
}

auto ConnectionTable::Tick() -> void {
  const auto now = SystemClock().Now();
  for (const auto& connection : this->All()) {
    if (connection->OnTick(now)) {
      std::lock_guard lock(this->mutex);
      this->connections.erase(connection->Id());
    }
  }
}

}  // namespace shallotbank::http
