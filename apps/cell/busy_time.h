#pragma once

#include <array>
#include <cstddef>

#include "base/clock.h"

namespace shallotbank::cell {

/// What the thread of the core loop works on.
enum class Duty {
  kCallers,        ///< Requests of callers.
  kStoreReplies,   ///< Replies of the store, the advice service and peers.
  kWorkerReplies,  ///< Replies of workers to orders and polls.
  kDeciding,       ///< Decisions of the scheduler.
  kSending,        ///< Sending the orders and records that were decided on.
  kFeeding,        ///< Progress updates to other hosts.
  kCount,
};

/// Time that the thread of the core loop has spent on each duty. Includes time
/// during which the thread was ready but did not have the processor. Not
/// thread-safe.
class BusyTime {
 public:
  /// Adds the time until its destruction to a duty.
  class Scope {
   public:
    explicit Scope(Duration& total)
        : total(total), started_at(SystemClock().Now()) {}
    ~Scope() { this->total += SystemClock().Now() - this->started_at; }
    Scope(const Scope&) = delete;
    auto operator=(const Scope&) -> Scope& = delete;

   private:
    Duration& total;
    const TimePoint started_at;
  };

  auto Measure(Duty duty) -> Scope {
    return Scope(this->totals[static_cast<std::size_t>(duty)]);
  }
  auto Total(Duty duty) const -> Duration {
    return this->totals[static_cast<std::size_t>(duty)];
  }

 private:
  std::array<Duration, static_cast<std::size_t>(Duty::kCount)> totals{};
};

}  // namespace shallotbank::cell
