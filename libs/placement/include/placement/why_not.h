#pragma once

#include <cstdint>
#include <ostream>

namespace shallotbank::placement {

/// The reason why a task or gang was not placed.
enum class PlacementRefusal : std::uint8_t {
  /// An amount is negative or exceeds `kLargestAmount`, a task id is empty, or
  /// a gang has no tasks.
  kInvalidNeed,
  /// A task of the request is already placed or appears twice in the request.
  kAlreadyPlaced,
  /// Even when empty, no worker has enough capacity, leaving workers aside.
  kLargerThanAnyWorker,
  /// The gang would not fit even if all workers that are not leaving were
  /// empty.
  kGangLargerThanCell,
  /// No worker is live.
  kNoLiveWorker,
  /// Workers with enough capacity exist, but none of them is live.
  kNoLiveWorkerLargeEnough,
  /// Only workers excluded by the request have enough free capacity.
  kOnlyExcludedWorkers,
  /// Only workers reserved for a gang have enough free capacity. For a gang:
  /// they have enough for at least one task that it cannot place elsewhere.
  kHeldForReservation,
  /// All live workers with enough capacity are occupied.
  kNoRoomNow,
  /// The worker to probe is unknown.
  kUnknownWorker,
  /// The worker to probe is not quarantined, or it is leaving or unreachable.
  kNotProbeable,
  /// No worker has enough preemptible tasks.
  kNothingToStop,
};

inline constexpr PlacementRefusal kLastPlacementRefusal =
    PlacementRefusal::kNothingToStop;

/// True if waiting cannot change the outcome while the set of workers stays the
/// same.
auto IsPermanent(PlacementRefusal reason) -> bool;

/// A short name for messages and metrics, such as `no-room-now`.
auto ToText(PlacementRefusal reason) -> const char*;

auto operator<<(std::ostream& out, PlacementRefusal reason) -> std::ostream&;

}  // namespace shallotbank::placement
