#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "index_state.h"
#include "placement/task.h"
#include "placement/why_not.h"

namespace shallotbank::placement {

/// The tasks of a gang that have the same need.
struct NeedGroup {
  Resources need;
  std::vector<std::size_t> tasks;  ///< Indices into the request.
};

/// Groups tasks by need, the largest first: placing large tasks first leaves
/// fewer that do not fit.
auto GroupByNeed(std::span<const GangTask> tasks) -> std::vector<NeedGroup>;

/// Selects a worker for each task of the request and allocates the capacity in
/// `state`. If the gang does not fit, returns nothing and leaves `state`
/// unchanged.
auto AllocateGang(IndexState& state, std::span<const NeedGroup> groups)
    -> std::optional<std::vector<Slot>>;

/// Returns the reason why the gang would not fit even if all workers that are
/// not leaving were empty, if this is certain.
auto ExplainInfeasible(const IndexState& state,
                       std::span<const NeedGroup> groups)
    -> std::optional<PlacementRefusal>;

/// Selects live workers to reserve, so that the gang fits once everything but
/// services has ended there. Prefers workers where the least work has to end.
/// Returns an empty list if the services leave too little capacity.
auto SelectReservation(const IndexState& state,
                       std::span<const NeedGroup> groups) -> std::vector<Slot>;

}  // namespace shallotbank::placement
