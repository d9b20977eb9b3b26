#pragma once

#include <span>

#include "index_state.h"
#include "placement/why_not.h"

namespace shallotbank::placement {

using SlotSpan = std::span<const Slot>;

/// Returns the slots of those workers that are known.
auto FindSlots(const IndexState& state, const std::vector<WorkerId>& ids)
    -> std::vector<Slot>;

/// Returns the schedulable worker with the least free capacity that suffices,
/// or `kNoSlot`.
auto FindPacked(const IndexState& state,
                const Resources& need,
                SlotSpan excluded) -> Slot;

/// Returns a schedulable worker with enough free capacity in the failure domain
/// with the fewest tasks of the job, then in such a rack, then such a worker,
/// or `kNoSlot`.
auto FindSpread(const IndexState& state,
                const Resources& need,
                const JobId& job,
                SlotSpan excluded) -> Slot;

/// Like `FindPacked`, among the live workers of the reservation.
auto FindReserved(const IndexState& state,
                  const Resources& need,
                  SlotSpan excluded) -> Slot;

/// Explains why no schedulable worker was found for `need`.
auto ExplainRefusal(const IndexState& state,
                    const Resources& need,
                    SlotSpan excluded) -> PlacementRefusal;

}  // namespace shallotbank::placement
