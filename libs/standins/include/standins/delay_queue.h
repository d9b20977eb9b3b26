#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "base/clock.h"

namespace shallotbank::standins {

/// Runs functions after a delay, on a dedicated thread.
class DelayQueue {
 public:
  using Function = std::function<void()>;

  DelayQueue();
  /// Discards the functions that are not yet due.
  ~DelayQueue();

  /// Runs `function` after `delay`; without a delay, immediately on the calling
  /// thread.
  auto RunAfter(Duration delay, Function function) -> void;

 private:
  auto Run() -> void;

  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<TimePoint, Function> due;
  bool stopping = false;
  std::thread thread;
};

}  // namespace shallotbank::standins
