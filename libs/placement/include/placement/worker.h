#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::placement {

/// A worker as described by the host list.
struct Worker {
  WorkerId id;
  FailureDomain domain;
  RackId rack;
  Resources capacity;
};

/// Whether a worker receives new work. If several states apply, the first of
/// leaving, unreachable and quarantined is reported.
enum class WorkerState : std::uint8_t {
  kLive,
  kLeaving,
  kUnreachable,
  kQuarantined,
};

/// The state of one worker in the index.
struct WorkerStatus {
  Worker worker;
  WorkerState state = WorkerState::kLive;
  /// Sum of max(declared, reported) over the tasks on the worker.
  Resources used;
  /// `capacity - used`; negative, for example, if tasks use more than they
  /// declared.
  Resources free_capacity;
  std::size_t tasks = 0;
  /// True while the worker is reserved for a gang.
  bool reserved = false;
};

/// The largest valid amounts of a worker's capacity or a task's need. With
/// them, the sum over a million tasks cannot overflow.
inline constexpr Resources kLargestAmount{
    .cores_milli = std::int64_t{1} << 36,
    .memory_mib = std::int64_t{1} << 36,
    .accelerators = std::int64_t{1} << 20};

auto ToText(WorkerState state) -> const char*;
auto operator<<(std::ostream& out, WorkerState state) -> std::ostream&;

}  // namespace shallotbank::placement
