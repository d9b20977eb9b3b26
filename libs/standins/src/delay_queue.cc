#include "standins/delay_queue.h"

namespace shallotbank::standins {

DelayQueue::DelayQueue() : thread([this] { this->Run(); }) {}

DelayQueue::~DelayQueue() {
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

auto DelayQueue::RunAfter(Duration delay, Function function) -> void {
  if (delay <= Duration::zero()) {
    function();
    return;
  }
  {
    std::lock_guard lock(this->mutex);
    this->due.emplace(SystemClock().Now() + delay, std::move(function));
  }
  this->changed.notify_all();
}

auto DelayQueue::Run() -> void {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    if (this->due.empty()) {
      this->changed.wait(lock);
      continue;
    }
    const auto next = this->due.begin();
    if (next->first > SystemClock().Now()) {
      this->changed.wait_until(lock, next->first);
      continue;
    }
    const auto function = std::move(next->second);
    this->due.erase(next);
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace shallotbank::standins
