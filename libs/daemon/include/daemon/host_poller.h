#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "base/core_loop.h"
#include "base/metrics.h"
#include "http/client.h"
#include "platform/host_list.h"

namespace shallotbank::daemon {

/// Polls the platform's host list. Runs on the core loop. While the list cannot
/// be read, the latest list that was read stays in use.
class HostPoller {
 public:
  using ChangeListener = std::function<void()>;

  HostPoller(std::string url,
             Duration interval,
             CoreLoop& loop,
             http::Client& client,
             Metrics& metrics);

  /// Sets the function that is called when a new list differs from the previous
  /// one.
  auto SetListener(ChangeListener change_listener) -> void {
    this->change_listener = std::move(change_listener);
  }
  /// Sends a read if one is due and none is in flight.
  auto Tick(TimePoint now) -> void;
  auto Table() const -> const platform::HostTable& { return this->table; }

 private:
  auto HandleReply(const http::Reply& reply) -> void;

  std::string url;
  Duration interval;
  CoreLoop& loop;
  http::Client& client;
  Metrics& metrics;
  ChangeListener change_listener;
  platform::HostTable table;
  TimePoint next_read;
  bool is_read_in_flight = false;
  bool is_reachable = true;
};

}  // namespace shallotbank::daemon
