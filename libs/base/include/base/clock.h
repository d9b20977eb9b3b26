#pragma once

#include <time.h>  // NOLINT(modernize-deprecated-headers): POSIX names.

#include <atomic>
#include <chrono>
#include <concepts>

namespace shallotbank {

/// Monotonic time.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

/// A source of monotonic time.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// Monotonic system clock. It does not advance while the host is suspended.
class SystemClock {
 public:
  auto Now() const -> TimePoint { return std::chrono::steady_clock::now(); }
};

/// Time since boot, including suspended time. Leases and authority use it
/// because the clock of the remote side advances while this host is suspended.
class BootClock {
 public:
  auto Now() const -> TimePoint {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec));
  }
};

/// Clock for tests that advances only on request. Thread-safe.
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

static_assert(Clock<SystemClock> && Clock<BootClock> && Clock<ManualClock>);

}  // namespace shallotbank
