#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

#include "base/clock.h"

namespace shallotbank {

/// Bounded multi-producer, multi-consumer queue. A push to a full queue fails
/// instead of blocking the producer.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : items(capacity) {}

  /// Adds `item`. Returns false if the queue is full or closed; `item` is then
  /// unchanged.
  auto TryPush(T&& item) -> bool {
    {
      std::lock_guard lock(this->mutex);
      if (this->closed || this->items.full()) {
        return false;
      }
      this->items.push_back(std::move(item));
    }
    this->ready.notify_one();
    return true;
  }

  /// Removes the oldest item, waiting for at most `timeout`. Returns nullopt on
  /// timeout, or if the queue is closed and empty.
  auto Pop(Duration timeout) -> std::optional<T> {
    std::unique_lock lock(this->mutex);
    this->ready.wait_for(
        lock, timeout, [this] { return this->closed || !this->items.empty(); });
    if (this->items.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(this->items.front()));
    this->items.pop_front();
    return item;
  }

  auto TryPop() -> std::optional<T> { return this->Pop(Duration::zero()); }

  /// Rejects further items and wakes all waiting consumers.
  auto Close() -> void {
    {
      std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->ready.notify_all();
  }

  auto IsClosed() const -> bool {
    std::lock_guard lock(this->mutex);
    return this->closed;
  }

  auto Size() const -> std::size_t {
    std::lock_guard lock(this->mutex);
    return this->items.size();
  }

 private:
  mutable std::mutex mutex;
  std::condition_variable ready;
  /// Allocates for the items that it holds, not for its capacity.
  boost::circular_buffer_space_optimized<T> items;
  bool closed = false;
};

}  // namespace shallotbank
