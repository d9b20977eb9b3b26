#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <queue>
#include <thread>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "http/responder.h"

namespace shallotbank::http {

/// Sends responses from a separate thread after a delay.
class DelayedResponder {
 public:
  DelayedResponder() : thread([this] { this->Run(); }) {}
  ~DelayedResponder() {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_one();
    this->thread.join();
  }
  DelayedResponder(const DelayedResponder&) = delete;
  auto operator=(const DelayedResponder&) -> DelayedResponder& = delete;

  auto SendAfter(Duration delay, Response response, Responder responder)
      -> void {
    {
      std::lock_guard lock(this->mutex);
      this->due.push({SystemClock().Now() + delay, std::move(response),
                      std::make_shared<Responder>(std::move(responder))});
    }
    this->changed.notify_one();
  }

 private:
  struct Item {
    TimePoint at;
    Response response;
    std::shared_ptr<Responder> responder;
    auto operator<(const Item& other) const -> bool {
      return this->at > other.at;  // The earliest is on top.
    }
  };

  auto Run() -> void {
    std::unique_lock lock(this->mutex);
    while (!this->stopping || !this->due.empty()) {
      if (this->due.empty()) {
        this->changed.wait(lock);
        continue;
      }
      const auto at = this->due.top().at;
      if (SystemClock().Now() < at) {
        this->changed.wait_until(lock, at);
        continue;
      }
      auto item = this->due.top();
      this->due.pop();
      lock.unlock();
      item.responder->Send(std::move(item.response));
      lock.lock();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::priority_queue<Item> due;
  bool stopping = false;
  std::thread thread;
};

}  // namespace shallotbank::http
