#include "gang_plan.h"

#include <algorithm>
#include <numeric>

#include "search.h"

namespace shallotbank::placement {
namespace {

struct Hold {
  Slot slot;
  Resources amount;
};

auto Count(const NeedGroup& group) -> std::int64_t {
  return static_cast<std::int64_t>(group.tasks.size());
}

/// Whether each group on its own has enough room. Reads only, so a gang that
/// does not fit is refused without changes to take back.
auto EachGroupFits(const IndexState& state, std::span<const NeedGroup> groups)
    -> bool {
  return std::all_of(groups.begin(), groups.end(), [&](const auto& group) {
    auto missing = Count(group);
    state.Grid().VisitFits(group.need, [&](Slot, const Resources& room) {
      missing -= TimesIn(group.need, room, missing);
      return missing > 0;
    });
    return missing == 0;
  });
}

auto TotalCapacity(const IndexState& state) -> Resources {
  Resources total;
  for (const auto& shape : state.Shapes()) {
    total += Times(shape.capacity, static_cast<std::int64_t>(shape.staying));
  }
  return total;
}

/// Holds room for the tasks of one group; false if some found none.
auto HoldGroup(IndexState& state,
               const NeedGroup& group,
               std::vector<Slot>& chosen,
               std::vector<Hold>& holds) -> bool {
  auto task = group.tasks.begin();
  while (task != group.tasks.end()) {
    const auto slot = FindPacked(state, group.need, {});
    if (slot == kNoSlot) {
      return false;
    }
    // A worker that takes a task stays the best fit while another one fits.
    const auto count = TimesIn(group.need, state.At(slot).Room(),
                               std::distance(task, group.tasks.end()));
    holds.push_back({slot, Times(group.need, count)});
    state.HoldRoom(slot, holds.back().amount);
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

auto HoldGang(IndexState& state, std::span<const NeedGroup> groups)
    -> std::optional<std::vector<Slot>> {
  if (!EachGroupFits(state, groups)) {
    return std::nullopt;
  }
  std::size_t tasks = 0;
  for (const auto& group : groups) {
    tasks += group.tasks.size();
  }
  std::vector<Slot> chosen(tasks, kNoSlot);
  std::vector<Hold> holds;
  for (const auto& group : groups) {
    if (!HoldGroup(state, group, chosen, holds)) {
      for (const auto& hold : holds) {
        state.HoldRoom(hold.slot, Resources{} - hold.amount);
      }
      return std::nullopt;
    }
  }
  return chosen;
}

auto ExplainNever(const IndexState& state, std::span<const NeedGroup> groups)
    -> std::optional<WhyNot> {
  bool any_staying = false;
  Resources needed;
  for (const auto& group : groups) {
    bool large_enough = false;
    auto missing = Count(group);
    for (const auto& shape : state.Shapes()) {
      if (shape.staying == 0) {
        continue;
      }
      any_staying = true;
      large_enough = large_enough || group.need.FitsIn(shape.capacity);
      const auto each = TimesIn(group.need, shape.capacity, missing);
      const auto workers = static_cast<std::int64_t>(shape.staying);
      missing -= std::min(missing, each * workers);
    }
    if (any_staying && !large_enough) {
      return WhyNot::kLargerThanAnyWorker;
    }
    if (any_staying && missing > 0) {
      return WhyNot::kGangLargerThanCell;
    }
    needed += Times(group.need, Count(group));
  }
  if (any_staying && !needed.FitsIn(TotalCapacity(state))) {
    return WhyNot::kGangLargerThanCell;
  }
  return std::nullopt;
}

auto ChooseReservation(const IndexState& state,
                       std::span<const NeedGroup> groups) -> std::vector<Slot> {
  struct Option {
    std::int64_t cost;
    std::uint32_t order;
    Slot slot;
  };
  // The least room comes out of the heap first.
  const auto is_later = [](const Option& left, const Option& right) {
    return std::tuple(left.cost, left.order) >
           std::tuple(right.cost, right.order);
  };
  const auto room_after = [](const WorkerRecord& worker) {
    return worker.capacity - worker.used_by_services;
  };
  const auto fits_any = [&groups](const Resources& room) {
    return std::any_of(groups.begin(), groups.end(), [&](const auto& group) {
      return group.need.FitsIn(room);
    });
  };
  std::vector<Option> options;
  for (Slot slot = 0; slot < state.Slots(); ++slot) {
    const auto& worker = state.At(slot);
    if (worker.present && worker.IsLive() && fits_any(room_after(worker))) {
      const auto use = worker.used - worker.used_by_services;
      const auto gain = TimesIn(groups.front().need, room_after(worker),
                                Count(groups.front()));
      const auto cost = FitScore(use) / std::max<std::int64_t>(gain, 1);
      options.push_back({cost, worker.order, slot});
    }
  }
  std::make_heap(options.begin(), options.end(), is_later);

  std::vector<std::int64_t> missing;
  for (const auto& group : groups) {
    missing.push_back(Count(group));
  }
  std::vector<Slot> chosen;
  while (!options.empty()) {
    std::pop_heap(options.begin(), options.end(), is_later);
    const auto slot = options.back().slot;
    options.pop_back();
    auto room = room_after(state.At(slot));
    bool is_useful = false;
    for (std::size_t i = 0; i < groups.size(); ++i) {
      const auto count = TimesIn(groups[i].need, room, missing[i]);
      room -= Times(groups[i].need, count);
      missing[i] -= count;
      is_useful = is_useful || count > 0;
    }
    if (is_useful) {
      chosen.push_back(slot);
    }
    if (std::all_of(missing.begin(), missing.end(),
                    [](auto count) { return count == 0; })) {
      return chosen;
    }
  }
  return {};
}

}  // namespace shallotbank::placement
