#pragma once

#include <atomic>
#include <chrono>
#include <concepts>

namespace shallotbank {

/// Monotonic time. It also advances while the process is stopped.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

/// A source of monotonic time.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// The clock of the runtime.
class SystemClock {
 public:
  auto Now() const -> TimePoint { return std::chrono::steady_clock::now(); }
};

/// A clock that stands still until a test advances it. Safe for use by several
/// threads.
class ManualClock {
 public:
  auto Now() const -> TimePoint {
    return TimePoint(Duration(this->nanoseconds.load()));
  }
  auto Advance(Duration step) -> void { this->nanoseconds += step.count(); }

 private:
  // Starts above zero so that a default-constructed TimePoint lies in the past.
  std::atomic<Duration::rep> nanoseconds{
      Duration(std::chrono::hours(1)).count()};
};

static_assert(Clock<SystemClock> && Clock<ManualClock>);

}  // namespace shallotbank
