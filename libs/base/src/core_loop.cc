#include "base/core_loop.h"

#include <algorithm>
#include <exception>

#include "base/log.h"

namespace shallotbank {

auto CoreLoop::PostBlocking(Work work) -> void {
  if (std::this_thread::get_id() == this->thread) {
    this->deferred_work.push_back(std::move(work));
    return;
  }
  // A failed push leaves `work` unchanged.
  // NOLINTNEXTLINE(bugprone-use-after-move)
  while (!this->ring.TryPush(std::move(work))) {
    if (this->ring.IsClosed()) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

auto CoreLoop::Run(Duration interval, const Work& tick) -> void {
  const SystemClock clock;
  this->thread = std::this_thread::get_id();
  auto next_tick = clock.Now() + interval;
  while (!this->stopping) {
    const auto now = clock.Now();
    if (now >= next_tick) {
      this->max_tick_delay =
          std::max<Duration>(this->max_tick_delay, now - next_tick);
      RunGuarded(tick);
      next_tick = clock.Now() + interval;
    }
    this->RunDeferredWork();
    const auto wait = std::max(next_tick - clock.Now(), Duration::zero());
    if (const auto work = this->ring.Pop(wait)) {
      RunGuarded(*work);
    }
  }
  this->ring.Close();
  while (const auto work = this->ring.TryPop()) {
    RunGuarded(*work);
  }
  this->RunDeferredWork();
}

auto CoreLoop::RunGuarded(const Work& work) -> void {
  try {
    work();
  } catch (const std::exception& error) {
    LogEvent(Event::kWorkFailed, {{"error", error.what()}});
  }
}

auto CoreLoop::RunDeferredWork() -> void {
  while (!this->deferred_work.empty()) {
    const auto work = std::move(this->deferred_work.front());
    this->deferred_work.pop_front();
    RunGuarded(work);
  }
}

}  // namespace shallotbank
