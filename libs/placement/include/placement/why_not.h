#pragma once

#include <cstdint>
#include <ostream>

namespace shallotbank::placement {

/// Why work was not placed.
enum class WhyNot : std::uint8_t {
  /// An amount is negative or above `kLargestAmount`, a task id is empty, or a
  /// gang has no tasks.
  kInvalidNeed,
  /// A task of the request is placed already or named twice.
  kAlreadyPlaced,
  /// No worker that is not leaving has the capacity, even when empty.
  kLargerThanAnyWorker,
  /// The gang would not fit even if all workers that are not leaving were
  /// empty.
  kGangLargerThanCell,
  /// No worker is live.
  kNoLiveWorker,
  /// Workers with the capacity exist, but none of them is live.
  kNoLiveWorkerLargeEnough,
  /// Only workers excluded by the request have room.
  kOnlyExcludedWorkers,
  /// Workers held for the reservation of a gang have room. For a gang: they
  /// have room for at least one task that it lacks.
  kHeldForReservation,
  /// All workers with the capacity are occupied.
  kNoRoomNow,
  /// The worker named for a probe is not known.
  kUnknownWorker,
  /// The worker named for a probe is not quarantined, or it is leaving or
  /// unreachable.
  kNotProbeable,
  /// No worker has enough tasks that may be stopped.
  kNothingToStop,
};

inline constexpr WhyNot kLastWhyNot = WhyNot::kNothingToStop;

/// True if waiting cannot help as long as the set of workers stays the same.
auto IsPermanent(WhyNot reason) -> bool;

/// A short name for messages and counters, such as `no-room-now`.
auto ToText(WhyNot reason) -> const char*;

auto operator<<(std::ostream& out, WhyNot reason) -> std::ostream&;

}  // namespace shallotbank::placement
