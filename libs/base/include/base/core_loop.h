#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <utility>

#include "base/bounded_ring.h"
#include "base/clock.h"

namespace shallotbank {

/// Event loop of the thread that owns the state of a daemon. Other threads post
/// work to it through a bounded queue.
class CoreLoop {
 public:
  using Work = std::function<void()>;

  explicit CoreLoop(std::size_t capacity = 50'000) : ring(capacity) {}

  /// Returns false if the queue is full or closed; the work is then discarded.
  auto Post(Work work) -> bool { return this->ring.TryPush(std::move(work)); }

  /// Like Post, but blocks while the queue is full. For results that must not
  /// be lost; must not be called on HTTP server threads. On the thread of the
  /// loop itself the work is deferred without blocking.
  auto PostBlocking(Work work) -> void;

  /// Runs posted work, and `tick` every `interval`, until Stop; then runs the
  /// work that remains in the queue. Work that throws is logged and abandoned:
  /// one message must not end the process.
  auto Run(Duration interval, const Work& tick) -> void;
  auto Stop() -> void { this->stopping = true; }
  /// Returns the longest delay of a tick since the last call. Must be called on
  /// the thread of the loop.
  auto TakeMaxTickDelay() -> Duration {
    return std::exchange(this->max_tick_delay, Duration::zero());
  }

 private:
  auto RunDeferredWork() -> void;
  static auto RunGuarded(const Work& work) -> void;

  BoundedRing<Work> ring;
  Duration max_tick_delay{};
  std::deque<Work> deferred_work;  // Posted on the loop's own thread.
  std::atomic<std::thread::id> thread;
  std::atomic<bool> stopping{false};
};

}  // namespace shallotbank
