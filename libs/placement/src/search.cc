#include "search.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace shallotbank::placement {
namespace {

auto Contains(SlotSpan slots, Slot slot) -> bool {
  return std::find(slots.begin(), slots.end(), slot) != slots.end();
}

/// Returns pairs of the job's task count and the failure domain, fewest tasks
/// first.
auto DomainsByCount(const IndexState& state, const JobSpread& spread)
    -> std::vector<std::pair<std::uint32_t, std::uint32_t>> {
  std::vector<std::pair<std::uint32_t, std::uint32_t>> domains;
  for (std::uint32_t number = 0; number < state.Domains().size(); ++number) {
    domains.emplace_back(JobSpread::CountOf(spread.domains, number), number);
  }
  std::sort(domains.begin(), domains.end());
  return domains;
}

/// Returns the best worker in racks that already run tasks of the job, within
/// the failure domains that run `domain_count` of them. Visits the racks of the
/// job only.
auto FindInUsedRacks(const IndexState& state,
                     const JobSpread& spread,
                     const Resources& need,
                     std::uint32_t domain_count,
                     SlotSpan excluded) -> Slot {
  using Key =
      std::tuple<std::uint32_t, std::uint32_t, std::int64_t, std::uint32_t>;
  Key best_key;
  Slot best = kNoSlot;
  for (const auto& [number, rack_count] : spread.racks) {
    const auto& rack = state.RackAt(number);
    const bool is_worse = best != kNoSlot && rack_count > std::get<0>(best_key);
    if (is_worse ||
        JobSpread::CountOf(spread.domains, rack.domain) != domain_count) {
      continue;
    }
    for (const auto slot : rack.workers) {
      const auto& worker = state.At(slot);
      const auto free_capacity = worker.FreeCapacity();
      if (!worker.IsSchedulable() || !need.FitsIn(free_capacity) ||
          !free_capacity.IsNonNegative() || Contains(excluded, slot)) {
        continue;
      }
      const Key key(rack_count, JobSpread::CountOf(spread.workers, slot),
                    FitScore(free_capacity), worker.order);
      if (best == kNoSlot || key < best_key) {
        best_key = key;
        best = slot;
      }
    }
  }
  return best;
}

}  // namespace

auto FindSlots(const IndexState& state, const std::vector<WorkerId>& ids)
    -> std::vector<Slot> {
  std::vector<Slot> slots;
  for (const auto& id : ids) {
    const auto slot = state.FindWorker(id);
    if (slot != kNoSlot) {
      slots.push_back(slot);
    }
  }
  return slots;
}

auto FindPacked(const IndexState& state,
                const Resources& need,
                SlotSpan excluded) -> Slot {
  FitCandidate best;
  state.Grid().UpdateBest(
      need, best, [excluded](Slot slot) { return !Contains(excluded, slot); });
  return best.slot;
}

auto FindSpread(const IndexState& state,
                const Resources& need,
                const JobId& job,
                SlotSpan excluded) -> Slot {
  const auto* spread = state.SpreadOf(job);
  if (spread == nullptr) {
    return FindPacked(state, need, excluded);
  }
  const auto in_new_rack = [&](Slot slot) {
    return !spread->racks.contains(state.At(slot).rack) &&
           !Contains(excluded, slot);
  };
  const auto domains = DomainsByCount(state, *spread);
  for (auto first = domains.begin(); first != domains.end();) {
    FitCandidate best;
    auto next = first;
    for (; next != domains.end() && next->first == first->first; ++next) {
      state.Domains()[next->second].grid.UpdateBest(need, best, in_new_rack);
    }
    if (best.Found()) {
      return best.slot;
    }
    const auto slot =
        FindInUsedRacks(state, *spread, need, first->first, excluded);
    if (slot != kNoSlot) {
      return slot;
    }
    first = next;
  }
  return kNoSlot;
}

auto FindReserved(const IndexState& state,
                  const Resources& need,
                  SlotSpan excluded) -> Slot {
  FitCandidate best;
  if (!state.Reservation()) {
    return kNoSlot;
  }
  for (const auto slot : state.Reservation()->workers) {
    const auto& worker = state.At(slot);
    const auto free_capacity = worker.FreeCapacity();
    const auto score = FitScore(free_capacity);
    if (worker.IsLive() && free_capacity.IsNonNegative() &&
        need.FitsIn(free_capacity) && !Contains(excluded, slot) &&
        !best.IsBetterThan(score, worker.order)) {
      best = {score, worker.order, slot};
    }
  }
  return best.slot;
}

auto ExplainRefusal(const IndexState& state,
                    const Resources& need,
                    SlotSpan excluded) -> PlacementRefusal {
  bool any_not_leaving = false;
  bool any_live = false;
  bool large_enough = false;
  bool live_large_enough = false;
  for (const auto& shape : state.Shapes()) {
    const bool fits = need.FitsIn(shape.capacity);
    any_not_leaving = any_not_leaving || shape.not_leaving > 0;
    any_live = any_live || shape.live > 0;
    large_enough = large_enough || (fits && shape.not_leaving > 0);
    live_large_enough = live_large_enough || (fits && shape.live > 0);
  }
  if (any_not_leaving && !large_enough) {
    return PlacementRefusal::kLargerThanAnyWorker;
  }
  if (!any_live) {
    return PlacementRefusal::kNoLiveWorker;
  }
  if (!live_large_enough) {
    return PlacementRefusal::kNoLiveWorkerLargeEnough;
  }
  const bool excluded_fits =
      std::any_of(excluded.begin(), excluded.end(), [&](Slot slot) {
        const auto& worker = state.At(slot);
        return worker.in_grid && need.FitsIn(worker.FreeCapacity());
      });
  if (excluded_fits) {
    return PlacementRefusal::kOnlyExcludedWorkers;
  }
  return FindReserved(state, need, excluded) != kNoSlot
             ? PlacementRefusal::kHeldForReservation
             : PlacementRefusal::kNoRoomNow;
}

}  // namespace shallotbank::placement
