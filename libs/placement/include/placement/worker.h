#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::placement {

/// A worker as the host list describes it.
struct Worker {
  WorkerId id;
  FailureDomain domain;
  RackId rack;
  Resources capacity;
};

/// Why a worker gets new work or none. When several hold, the first of
/// leaving, unreachable and quarantined is shown.
enum class WorkerState : std::uint8_t {
  kLive,
  kLeaving,
  kUnreachable,
  kQuarantined,
};

/// What the index knows about one worker.
struct WorkerStatus {
  Worker worker;
  WorkerState state = WorkerState::kLive;
  /// Sum of max(declared, reported) over the tasks on the worker.
  Resources used;
  /// `capacity - used`; below zero where declared sizes were too small.
  Resources room;
  std::size_t tasks = 0;
  /// True while the worker is held for the reservation of a gang.
  bool reserved = false;
};

/// The largest amounts that a worker or a need may have. With them, no sum
/// over a million tasks overflows.
inline constexpr Resources kLargestAmount{
    .cores_milli = std::int64_t{1} << 36,
    .memory_mib = std::int64_t{1} << 36,
    .accelerators = std::int64_t{1} << 20};

auto ToText(WorkerState state) -> const char*;
auto operator<<(std::ostream& out, WorkerState state) -> std::ostream&;

}  // namespace shallotbank::placement
