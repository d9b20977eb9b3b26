#include <algorithm>
#include <tuple>

#include "index_state.h"
#include "need.h"
#include "placement/placer.h"
#include "search.h"

namespace shallotbank::placement {
namespace {

constexpr std::size_t kWorkersExamined = 64;
// Pairs are tried among this many tasks of a worker, the largest first.
constexpr std::size_t kTasksPaired = 48;

struct Candidate {
  std::int64_t lack;  ///< Score of what the worker is short of.
  std::uint32_t order;
  Slot slot;
};

/// Tasks to stop on one worker.
struct Victims {
  std::vector<const TaskRecord*> tasks;
  double lost = 0;  ///< Work lost: thousandths of a core times seconds.

  auto IsBetterThan(const Victims& other) const -> bool {
    return std::tuple(this->tasks.size(), this->lost) <
           std::tuple(other.tasks.size(), other.lost);
  }
};

auto LostWork(const TaskRecord& task, TimePoint now) -> double {
  const std::chrono::duration<double> run_time = now - task.started;
  return std::max(run_time.count(), 0.0) *
         static_cast<double>(task.declared.cores_milli);
}

auto Lack(const Resources& need, const Resources& room) -> Resources {
  return Max(need - room, Resources{});
}

auto LackScore(const Resources& lack) -> std::int64_t {
  return FitScore(
      Resources{std::min(lack.cores_milli, kLargestAmount.cores_milli),
                std::min(lack.memory_mib, kLargestAmount.memory_mib),
                std::min(lack.accelerators, kLargestAmount.accelerators)});
}

/// The workers that lack least among those where stopping can help.
auto FindCandidates(const IndexState& state,
                    const Resources& need,
                    SlotSpan excluded) -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  for (Slot slot = 0; slot < state.Slots(); ++slot) {
    const auto& worker = state.At(slot);
    const auto room = worker.Room();
    const auto most = room + worker.used_by_stoppable;
    if (!worker.present || !worker.IsLive() || !need.FitsIn(most) ||
        !most.IsNonNegative() ||
        std::find(excluded.begin(), excluded.end(), slot) != excluded.end()) {
      continue;
    }
    candidates.push_back({LackScore(Lack(need, room)), worker.order, slot});
  }
  const auto is_better = [](const Candidate& left, const Candidate& right) {
    return std::tuple(left.lack, left.order) <
           std::tuple(right.lack, right.order);
  };
  const auto examined = std::min(candidates.size(), kWorkersExamined);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(examined),
                    candidates.end(), is_better);
  candidates.resize(examined);
  return candidates;
}

/// The cheapest single task or, failing that, pair that frees `lack`.
auto FindOneOrTwo(const std::vector<const TaskRecord*>& tasks,
                  const Resources& lack,
                  TimePoint now) -> std::optional<Victims> {
  std::optional<Victims> best;
  const auto offer = [&best](Victims victims) {
    if (!best || victims.IsBetterThan(*best)) {
      best = std::move(victims);
    }
  };
  for (const auto* task : tasks) {
    if (lack.FitsIn(task->used)) {
      offer({{task}, LostWork(*task, now)});
    }
  }
  if (best) {
    return best;
  }
  const auto paired = std::min(tasks.size(), kTasksPaired);
  for (std::size_t i = 0; i < paired; ++i) {
    for (std::size_t j = i + 1; j < paired; ++j) {
      if (lack.FitsIn(tasks[i]->used + tasks[j]->used)) {
        offer({{tasks[i], tasks[j]},
               LostWork(*tasks[i], now) + LostWork(*tasks[j], now)});
      }
    }
  }
  return best;
}

/// Takes the task that helps most until enough is free, then drops those that
/// turned out to be superfluous, the most costly first.
auto FindGreedily(std::vector<const TaskRecord*> tasks,
                  const Resources& lack,
                  TimePoint now) -> Victims {
  Victims victims;
  Resources freed;
  while (!lack.FitsIn(freed)) {
    const auto left = Lack(lack, freed);
    const auto help = [&left](const TaskRecord* task) {
      return FitScore({std::min(task->used.cores_milli, left.cores_milli),
                       std::min(task->used.memory_mib, left.memory_mib),
                       std::min(task->used.accelerators, left.accelerators)});
    };
    const auto most = std::max_element(
        tasks.begin(), tasks.end(),
        [&help](const auto* a, const auto* b) { return help(a) < help(b); });
    freed += (*most)->used;
    victims.tasks.push_back(*most);
    tasks.erase(most);
  }
  std::sort(victims.tasks.begin(), victims.tasks.end(),
            [now](const auto* a, const auto* b) {
              return LostWork(*a, now) > LostWork(*b, now);
            });
  std::erase_if(victims.tasks, [&](const TaskRecord* task) {
    if (!lack.FitsIn(freed - task->used)) {
      return false;
    }
    freed -= task->used;
    return true;
  });
  for (const auto* task : victims.tasks) {
    victims.lost += LostWork(*task, now);
  }
  return victims;
}

auto FindVictims(const WorkerRecord& worker,
                 const Resources& need,
                 TimePoint now,
                 std::size_t limit) -> std::optional<Victims> {
  const auto lack = Lack(need, worker.Room());
  std::vector<const TaskRecord*> tasks;
  for (const auto* task = worker.first_task; task != nullptr;
       task = task->next) {
    if (task->may_stop) {
      tasks.push_back(task);
    }
  }
  std::sort(tasks.begin(), tasks.end(), [](const auto* a, const auto* b) {
    return std::tuple(LackScore(a->used), a->id->Text()) >
           std::tuple(LackScore(b->used), b->id->Text());
  });
  auto victims = FindOneOrTwo(tasks, lack, now);
  if (victims || limit <= 2) {
    return victims;
  }
  return FindGreedily(std::move(tasks), lack, now);
}

}  // namespace

auto Placer::AdviseStops(const TaskRequest& request, TimePoint now)
    -> Decision<StopAdvice> {
  if (!IsValidAmount(request.need)) {
    return WhyNot::kInvalidNeed;
  }
  const auto excluded = FindSlots(*this->state, request.excluded);
  std::optional<Victims> best;
  Slot best_slot = kNoSlot;
  for (const auto& candidate :
       FindCandidates(*this->state, request.need, excluded)) {
    const auto& worker = this->state->At(candidate.slot);
    if (request.need.FitsIn(worker.Room())) {
      return StopAdvice{worker.id, {}};
    }
    // More than two tasks are looked for only where that could be an
    // improvement.
    const auto limit = best ? best->tasks.size() : worker.tasks;
    auto victims = FindVictims(worker, request.need, now, limit);
    if (victims && (!best || victims->IsBetterThan(*best))) {
      best = std::move(victims);
      best_slot = candidate.slot;
    }
  }
  if (!best) {
    return WhyNot::kNothingToStop;
  }
  StopAdvice advice{this->state->At(best_slot).id, {}};
  for (const auto* task : best->tasks) {
    advice.tasks.push_back(*task->id);
  }
  return advice;
}

}  // namespace shallotbank::placement
