#include <algorithm>
#include <limits>
#include <tuple>

#include "index_state.h"
#include "need.h"
#include "placement/placer.h"
#include "search.h"

namespace shallotbank::placement {
namespace {

constexpr std::size_t kMaxCandidates = 64;
// Maximum number of tasks of a worker among which pairs are tried, the largest
// first.
constexpr std::size_t kMaxPairedTasks = 48;

struct Candidate {
  std::int64_t shortfall;  ///< `ShortfallScore` of the worker.
  std::uint32_t order;
  Slot slot;
};

/// Tasks to preempt on one worker.
struct VictimSet {
  std::vector<const TaskRecord*> tasks;
  double lost_work = 0;  ///< Thousandths of a core times seconds.

  auto IsBetterThan(const VictimSet& other) const -> bool {
    return std::tuple(this->tasks.size(), this->lost_work) <
           std::tuple(other.tasks.size(), other.lost_work);
  }
};

auto LostWork(const TaskRecord& task, TimePoint now) -> double {
  const std::chrono::duration<double> run_time = now - task.started;
  return std::max(run_time.count(), 0.0) *
         static_cast<double>(task.declared.cores_milli);
}

auto Shortfall(const Resources& need, const Resources& free_capacity)
    -> Resources {
  return Max(need - free_capacity, Resources{});
}

auto ShortfallScore(const Resources& shortfall) -> std::int64_t {
  return FitScore(
      Resources{std::min(shortfall.cores_milli, kLargestAmount.cores_milli),
                std::min(shortfall.memory_mib, kLargestAmount.memory_mib),
                std::min(shortfall.accelerators, kLargestAmount.accelerators)});
}

/// Returns the workers with the smallest shortfall among those where preemption
/// can help.
auto FindCandidates(const IndexState& state,
                    const Resources& need,
                    SlotSpan excluded) -> std::vector<Candidate> {
  const auto is_better = [](const Candidate& left, const Candidate& right) {
    return left.shortfall < right.shortfall ||
           (left.shortfall == right.shortfall && left.order < right.order);
  };
  // A heap with the worst of the best candidates so far on top.
  std::vector<Candidate> best;
  best.reserve(kMaxCandidates + 1);
  for (Slot slot = 0; slot < state.Slots(); ++slot) {
    const auto& worker = state.At(slot);
    const auto free_capacity = worker.FreeCapacity();
    const auto most = free_capacity + worker.used_by_preemptible;
    if (!need.FitsIn(most) || !most.IsNonNegative() || !worker.present ||
        !worker.IsLive() ||
        std::find(excluded.begin(), excluded.end(), slot) != excluded.end()) {
      continue;
    }
    const Candidate candidate{ShortfallScore(Shortfall(need, free_capacity)),
                              worker.order, slot};
    const bool is_full = best.size() == kMaxCandidates;
    if (is_full && !is_better(candidate, best.front())) {
      continue;
    }
    best.push_back(candidate);
    std::push_heap(best.begin(), best.end(), is_better);
    if (is_full) {
      std::pop_heap(best.begin(), best.end(), is_better);
      best.pop_back();
    }
  }
  std::sort_heap(best.begin(), best.end(), is_better);
  return best;
}

/// A preemptible task and the work lost by stopping it.
struct PreemptibleTask {
  const TaskRecord* task;
  std::int64_t size;
  double lost_work;
};

/// Returns the single task that frees `shortfall` with the least lost work or,
/// if there is none, such a pair.
auto FindOneOrTwo(const std::vector<PreemptibleTask>& preemptible,
                  const Resources& shortfall) -> std::optional<VictimSet> {
  VictimSet best{.tasks = {},
                 .lost_work = std::numeric_limits<double>::infinity()};
  for (const auto& entry : preemptible) {
    if (entry.lost_work < best.lost_work &&
        shortfall.FitsIn(entry.task->used)) {
      best = {{entry.task}, entry.lost_work};
    }
  }
  if (!best.tasks.empty()) {
    return best;
  }
  const auto paired = std::min(preemptible.size(), kMaxPairedTasks);
  for (std::size_t i = 0; i < paired; ++i) {
    for (std::size_t j = i + 1; j < paired; ++j) {
      const auto lost_work =
          preemptible[i].lost_work + preemptible[j].lost_work;
      if (lost_work < best.lost_work &&
          shortfall.FitsIn(preemptible[i].task->used +
                           preemptible[j].task->used)) {
        best = {{preemptible[i].task, preemptible[j].task}, lost_work};
      }
    }
  }
  return best.tasks.empty() ? std::nullopt : std::optional(std::move(best));
}

/// Repeatedly selects the task that reduces the shortfall most until it is
/// covered, then drops those that have become superfluous, the most costly
/// first.
auto FindGreedily(std::vector<PreemptibleTask> preemptible,
                  const Resources& shortfall) -> VictimSet {
  std::vector<PreemptibleTask> taken;
  Resources freed;
  while (!shortfall.FitsIn(freed)) {
    const auto uncovered = Shortfall(shortfall, freed);
    const auto reduction = [&uncovered](const PreemptibleTask& entry) {
      const auto& used = entry.task->used;
      return FitScore({std::min(used.cores_milli, uncovered.cores_milli),
                       std::min(used.memory_mib, uncovered.memory_mib),
                       std::min(used.accelerators, uncovered.accelerators)});
    };
    const auto most = std::max_element(
        preemptible.begin(), preemptible.end(),
        [&reduction](const PreemptibleTask& a, const PreemptibleTask& b) {
          return reduction(a) < reduction(b);
        });
    freed += most->task->used;
    taken.push_back(*most);
    preemptible.erase(most);
  }
  std::stable_sort(taken.begin(), taken.end(),
                   [](const PreemptibleTask& a, const PreemptibleTask& b) {
                     return a.lost_work > b.lost_work;
                   });
  VictimSet victims;
  for (const auto& entry : taken) {
    if (shortfall.FitsIn(freed - entry.task->used)) {
      freed -= entry.task->used;
    } else {
      victims.tasks.push_back(entry.task);
      victims.lost_work += entry.lost_work;
    }
  }
  return victims;
}

/// Returns the preemptible tasks of the worker, the largest first.
auto ListPreemptibleTasks(const WorkerRecord& worker, TimePoint now)
    -> std::vector<PreemptibleTask> {
  std::vector<PreemptibleTask> preemptible;
  preemptible.reserve(worker.tasks);
  for (const auto* task = worker.first_task; task != nullptr;
       task = task->next) {
    if (task->is_preemptible) {
      preemptible.push_back(
          {task, ShortfallScore(task->used), LostWork(*task, now)});
    }
  }
  std::sort(preemptible.begin(), preemptible.end(),
            [](const PreemptibleTask& a, const PreemptibleTask& b) {
              return a.size != b.size ? a.size > b.size
                                      : a.task->id->Text() < b.task->id->Text();
            });
  return preemptible;
}

/// Searches for sets of more than two tasks only if `limit` allows them.
auto FindVictims(const WorkerRecord& worker,
                 const Resources& need,
                 TimePoint now,
                 std::size_t limit) -> std::optional<VictimSet> {
  const auto shortfall = Shortfall(need, worker.FreeCapacity());
  auto preemptible = ListPreemptibleTasks(worker, now);
  auto victims = FindOneOrTwo(preemptible, shortfall);
  if (victims || limit <= 2) {
    return victims;
  }
  return FindGreedily(std::move(preemptible), shortfall);
}

}  // namespace

auto Placer::PlanPreemption(const TaskRequest& request, TimePoint now)
    -> Decision<PreemptionPlan> {
  if (!IsValidAmount(request.need)) {
    return PlacementRefusal::kInvalidNeed;
  }
  const auto excluded = FindSlots(*this->state, request.excluded);
  const auto free_slot = FindPacked(*this->state, request.need, excluded);
  if (free_slot != kNoSlot) {
    return PreemptionPlan{this->state->At(free_slot).id, {}};
  }
  std::optional<VictimSet> best;
  Slot best_slot = kNoSlot;
  for (const auto& candidate :
       FindCandidates(*this->state, request.need, excluded)) {
    const auto& worker = this->state->At(candidate.slot);
    if (request.need.FitsIn(worker.FreeCapacity())) {
      return PreemptionPlan{worker.id, {}};
    }
    const auto limit = best ? best->tasks.size() : worker.tasks;
    auto victims = FindVictims(worker, request.need, now, limit);
    if (victims && (!best || victims->IsBetterThan(*best))) {
      best = std::move(victims);
      best_slot = candidate.slot;
    }
  }
  if (!best) {
    return PlacementRefusal::kNothingToStop;
  }
  PreemptionPlan plan{this->state->At(best_slot).id, {}};
  for (const auto* task : best->tasks) {
    plan.tasks.push_back(*task->id);
  }
  return plan;
}

}  // namespace shallotbank::placement
