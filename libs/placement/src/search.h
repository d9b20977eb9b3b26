#pragma once

#include <span>

#include "index_state.h"
#include "placement/why_not.h"

namespace shallotbank::placement {

using SlotSpan = std::span<const Slot>;

/// The slots of the workers that are known.
auto FindSlots(const IndexState& state, const std::vector<WorkerId>& ids)
    -> std::vector<Slot>;

/// The open worker with the least room that suffices, or `kNoSlot`.
auto FindPacked(const IndexState& state,
                const Resources& need,
                SlotSpan excluded) -> Slot;

/// The open worker with room in the domain, rack and worker with the fewest
/// tasks of the job, or `kNoSlot`.
auto FindSpread(const IndexState& state,
                const Resources& need,
                const JobId& job,
                SlotSpan excluded) -> Slot;

/// As `FindPacked`, among the live workers held for the reservation.
auto FindReserved(const IndexState& state,
                  const Resources& need,
                  SlotSpan excluded) -> Slot;

/// Why no open worker was found for `need`.
auto ExplainRefusal(const IndexState& state,
                    const Resources& need,
                    SlotSpan excluded) -> WhyNot;

}  // namespace shallotbank::placement
