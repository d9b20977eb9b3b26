#include "gang_plan.h"

#include <algorithm>
#include <numeric>

#include "search.h"

namespace shallotbank::placement {
namespace {

struct Allocation {
  Slot slot;
  Resources amount;
};

auto TaskCount(const NeedGroup& group) -> std::int64_t {
  return static_cast<std::int64_t>(group.tasks.size());
}

/// Checks whether there is enough free capacity for each group on its own. It
/// only reads, so a gang that fails this check is refused without a rollback.
auto EachGroupFits(const IndexState& state, std::span<const NeedGroup> groups)
    -> bool {
  return std::all_of(groups.begin(), groups.end(), [&](const auto& group) {
    auto remaining = TaskCount(group);
    state.Grid().VisitFits(
        group.need, [&](Slot, const Resources& free_capacity) {
          remaining -= CountFits(group.need, free_capacity, remaining);
          return remaining > 0;
        });
    return remaining == 0;
  });
}

auto TotalCapacity(const IndexState& state) -> Resources {
  Resources total;
  for (const auto& shape : state.Shapes()) {
    total +=
        Times(shape.capacity, static_cast<std::int64_t>(shape.not_leaving));
  }
  return total;
}

/// Allocates capacity for the tasks of one group. Returns false if some task
/// does not fit.
auto AllocateGroup(IndexState& state,
                   const NeedGroup& group,
                   std::vector<Slot>& chosen,
                   std::vector<Allocation>& allocations) -> bool {
  auto task = group.tasks.begin();
  while (task != group.tasks.end()) {
    const auto slot = FindPacked(state, group.need, {});
    if (slot == kNoSlot) {
      return false;
    }
    // A worker that has received a task remains the best fit as long as another
    // task fits, so several are allocated at once.
    const auto count = CountFits(group.need, state.At(slot).FreeCapacity(),
                                 std::distance(task, group.tasks.end()));
    allocations.push_back({slot, Times(group.need, count)});
    state.AddUsage(slot, allocations.back().amount);
    for (std::int64_t i = 0; i < count; ++i) {
      chosen[*task++] = slot;
    }
  }
  return true;
}

}  // namespace

auto GroupByNeed(std::span<const GangTask> tasks) -> std::vector<NeedGroup> {
  std::vector<std::size_t> order(tasks.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [tasks](std::size_t left, std::size_t right) {
                     const auto key = [](const Resources& need) {
                       return std::tuple(FitScore(need), need.cores_milli);
                     };
                     return key(tasks[left].need) > key(tasks[right].need);
                   });
  std::vector<NeedGroup> groups;
  for (const auto position : order) {
    const auto& need = tasks[position].need;
    if (groups.empty() || groups.back().need != need) {
      groups.push_back({need, {}});
    }
    groups.back().tasks.push_back(position);
  }
  return groups;
}

auto AllocateGang(IndexState& state, std::span<const NeedGroup> groups)
    -> std::optional<std::vector<Slot>> {
  if (!EachGroupFits(state, groups)) {
    return std::nullopt;
  }
  std::size_t tasks = 0;
  for (const auto& group : groups) {
    tasks += group.tasks.size();
  }
  std::vector<Slot> chosen(tasks, kNoSlot);
  std::vector<Allocation> allocations;
  for (const auto& group : groups) {
    if (!AllocateGroup(state, group, chosen, allocations)) {
      for (const auto& allocation : allocations) {
        state.AddUsage(allocation.slot, Resources{} - allocation.amount);
      }
      return std::nullopt;
    }
  }
  return chosen;
}

auto ExplainInfeasible(const IndexState& state,
                       std::span<const NeedGroup> groups)
    -> std::optional<PlacementRefusal> {
  bool any_not_leaving = false;
  Resources needed;
  for (const auto& group : groups) {
    bool large_enough = false;
    auto remaining = TaskCount(group);
    for (const auto& shape : state.Shapes()) {
      if (shape.not_leaving == 0) {
        continue;
      }
      any_not_leaving = true;
      large_enough = large_enough || group.need.FitsIn(shape.capacity);
      const auto per_worker = CountFits(group.need, shape.capacity, remaining);
      const auto workers = static_cast<std::int64_t>(shape.not_leaving);
      remaining -= std::min(remaining, per_worker * workers);
    }
    if (any_not_leaving && !large_enough) {
      return PlacementRefusal::kLargerThanAnyWorker;
    }
    if (any_not_leaving && remaining > 0) {
      return PlacementRefusal::kGangLargerThanCell;
    }
    needed += Times(group.need, TaskCount(group));
  }
  if (any_not_leaving && !needed.FitsIn(TotalCapacity(state))) {
    return PlacementRefusal::kGangLargerThanCell;
  }
  return std::nullopt;
}

auto SelectReservation(const IndexState& state,
                       std::span<const NeedGroup> groups) -> std::vector<Slot> {
  struct Option {
    std::int64_t cost;
    std::uint32_t order;
    Slot slot;
  };
  // The heap returns the option with the lowest cost first.
  const auto is_worse = [](const Option& left, const Option& right) {
    return std::tuple(left.cost, left.order) >
           std::tuple(right.cost, right.order);
  };
  const auto free_after = [](const WorkerRecord& worker) {
    return worker.capacity - worker.used_by_services;
  };
  const auto fits_any = [&groups](const Resources& free_capacity) {
    return std::any_of(groups.begin(), groups.end(), [&](const auto& group) {
      return group.need.FitsIn(free_capacity);
    });
  };
  std::vector<Option> options;
  for (Slot slot = 0; slot < state.Slots(); ++slot) {
    const auto& worker = state.At(slot);
    if (worker.present && worker.IsLive() && fits_any(free_after(worker))) {
      const auto use = worker.used - worker.used_by_services;
      const auto gain = CountFits(groups.front().need, free_after(worker),
                                  TaskCount(groups.front()));
      const auto cost = FitScore(use) / std::max<std::int64_t>(gain, 1);
      options.push_back({cost, worker.order, slot});
    }
  }
  std::make_heap(options.begin(), options.end(), is_worse);

  std::vector<std::int64_t> remaining;
  for (const auto& group : groups) {
    remaining.push_back(TaskCount(group));
  }
  std::vector<Slot> chosen;
  while (!options.empty()) {
    std::pop_heap(options.begin(), options.end(), is_worse);
    const auto slot = options.back().slot;
    options.pop_back();
    auto free_capacity = free_after(state.At(slot));
    bool is_useful = false;
    for (std::size_t i = 0; i < groups.size(); ++i) {
      const auto count = CountFits(groups[i].need, free_capacity, remaining[i]);
      free_capacity -= Times(groups[i].need, count);
      remaining[i] -= count;
      is_useful = is_useful || count > 0;
    }
    if (is_useful) {
      chosen.push_back(slot);
    }
    if (std::all_of(remaining.begin(), remaining.end(),
                    [](auto count) { return count == 0; })) {
      return chosen;
    }
  }
  return {};
}

}  // namespace shallotbank::placement
