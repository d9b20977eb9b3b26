#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "index_state.h"
#include "placement/task.h"
#include "placement/why_not.h"

namespace shallotbank::placement {

/// The tasks of a gang with the same need.
struct NeedGroup {
  Resources need;
  std::vector<std::size_t> tasks;  ///< Positions in the request.
};

/// Groups of equal needs, the largest first: placing the large ones first
/// leaves less that does not fit.
auto GroupByNeed(std::span<const GangTask> tasks) -> std::vector<NeedGroup>;

/// The worker for each task of the request, with the room held in `state`; or
/// nothing, and `state` is as before.
auto HoldGang(IndexState& state, std::span<const NeedGroup> groups)
    -> std::optional<std::vector<Slot>>;

/// Why the gang would not fit into empty workers that are not leaving.
auto ExplainNever(const IndexState& state, std::span<const NeedGroup> groups)
    -> std::optional<WhyNot>;

/// The live workers to hold so that the gang fits once all work but services
/// has ended there, those that need least of it to end first. Empty if the
/// services leave too little.
auto ChooseReservation(const IndexState& state,
                       std::span<const NeedGroup> groups) -> std::vector<Slot>;

}  // namespace shallotbank::placement
