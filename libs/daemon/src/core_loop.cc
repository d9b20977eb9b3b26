#include "daemon/core_loop.h"

#include <algorithm>
#include <thread>

namespace shallotbank::daemon {

auto CoreLoop::PostAndWait(Work work) -> void {
  while (!this->ring.TryPush(std::move(work))) {
    if (this->ring.IsClosed()) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

auto CoreLoop::Run(Duration interval, const Work& tick) -> void {
  const SystemClock clock;
  auto next_tick = clock.Now() + interval;
  while (!this->stopping) {
    const auto now = clock.Now();
    if (now >= next_tick) {
      tick();
      next_tick = clock.Now() + interval;
    }
    const auto wait = std::max(next_tick - clock.Now(), Duration::zero());
    if (const auto work = this->ring.Pop(wait)) {
      (*work)();
    }
  }
  this->ring.Close();
  while (const auto work = this->ring.TryPop()) {
    (*work)();
  }
}

}  // namespace shallotbank::daemon
