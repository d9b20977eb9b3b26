#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "base/clock.h"

namespace shallotbank::standins {

/// Runs functions after a delay, on one thread of its own.
class DelayQueue {
 public:
  using Function = std::function<void()>;

  DelayQueue();
  /// Functions that are not yet due are dropped.
  ~DelayQueue();

  /// Runs `function` after `delay`; with no delay, at once on this thread.
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
