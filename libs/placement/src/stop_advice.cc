#include <algorithm>
#include <limits>
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
  const auto is_better = [](const Candidate& left, const Candidate& right) {
    return left.lack < right.lack ||
           (left.lack == right.lack && left.order < right.order);
  };
  // A heap with the worst of the best so far on top.
  std::vector<Candidate> best;
  best.reserve(kWorkersExamined + 1);
  for (Slot slot = 0; slot < state.Slots(); ++slot) {
    const auto& worker = state.At(slot);
    const auto room = worker.Room();
    const auto most = room + worker.used_by_stoppable;
    if (!need.FitsIn(most) || !most.IsNonNegative() || !worker.present ||
        !worker.IsLive() ||
        std::find(excluded.begin(), excluded.end(), slot) != excluded.end()) {
      continue;
    }
    const Candidate candidate{LackScore(Lack(need, room)), worker.order, slot};
    const bool is_full = best.size() == kWorkersExamined;
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

/// A task that may be stopped, with the work that this loses.
struct Option {
  const TaskRecord* task;
  std::int64_t size;
  double lost;
};

/// The cheapest single task or, failing that, pair that frees `lack`.
auto FindOneOrTwo(const std::vector<Option>& options, const Resources& lack)
    -> std::optional<Victims> {
  Victims best{.tasks = {}, .lost = std::numeric_limits<double>::infinity()};
  for (const auto& option : options) {
    if (option.lost < best.lost && lack.FitsIn(option.task->used)) {
      best = {{option.task}, option.lost};
    }
  }
  if (!best.tasks.empty()) {
    return best;
  }
  const auto paired = std::min(options.size(), kTasksPaired);
  for (std::size_t i = 0; i < paired; ++i) {
    for (std::size_t j = i + 1; j < paired; ++j) {
      const auto lost = options[i].lost + options[j].lost;
      if (lost < best.lost &&
          lack.FitsIn(options[i].task->used + options[j].task->used)) {
        best = {{options[i].task, options[j].task}, lost};
      }
    }
  }
  return best.tasks.empty() ? std::nullopt : std::optional(std::move(best));
}

/// Takes the task that helps most until enough is free, then drops those that
/// turned out to be superfluous, the most costly first.
auto FindGreedily(std::vector<Option> options, const Resources& lack)
    -> Victims {
  std::vector<Option> taken;
  Resources freed;
  while (!lack.FitsIn(freed)) {
    const auto left = Lack(lack, freed);
    const auto help = [&left](const Option& option) {
      const auto& used = option.task->used;
      return FitScore({std::min(used.cores_milli, left.cores_milli),
                       std::min(used.memory_mib, left.memory_mib),
                       std::min(used.accelerators, left.accelerators)});
    };
    const auto most =
        std::max_element(options.begin(), options.end(),
                         [&help](const Option& a, const Option& b) {
                           return help(a) < help(b);
                         });
    freed += most->task->used;
    taken.push_back(*most);
    options.erase(most);
  }
  std::stable_sort(
      taken.begin(), taken.end(),
      [](const Option& a, const Option& b) { return a.lost > b.lost; });
  Victims victims;
  for (const auto& option : taken) {
    if (lack.FitsIn(freed - option.task->used)) {
      freed -= option.task->used;
    } else {
      victims.tasks.push_back(option.task);
      victims.lost += option.lost;
    }
  }
  return victims;
}

/// The tasks that may be stopped, the largest first.
auto StoppableOn(const WorkerRecord& worker, TimePoint now)
    -> std::vector<Option> {
  std::vector<Option> options;
  options.reserve(worker.tasks);
  for (const auto* task = worker.first_task; task != nullptr;
       task = task->next) {
    if (task->may_stop) {
      options.push_back({task, LackScore(task->used), LostWork(*task, now)});
    }
  }
  std::sort(options.begin(), options.end(),
            [](const Option& a, const Option& b) {
              return a.size != b.size ? a.size > b.size
                                      : a.task->id->Text() < b.task->id->Text();
            });
  return options;
}

/// Sets of more than two are looked for only if `limit` admits them.
auto FindVictims(const WorkerRecord& worker,
                 const Resources& need,
                 TimePoint now,
                 std::size_t limit) -> std::optional<Victims> {
  const auto lack = Lack(need, worker.Room());
  auto options = StoppableOn(worker, now);
  auto victims = FindOneOrTwo(options, lack);
  if (victims || limit <= 2) {
    return victims;
  }
  return FindGreedily(std::move(options), lack);
}

}  // namespace

auto Placer::AdviseStops(const TaskRequest& request, TimePoint now)
    -> Decision<StopAdvice> {
  if (!IsValidAmount(request.need)) {
    return WhyNot::kInvalidNeed;
  }
  const auto excluded = FindSlots(*this->state, request.excluded);
  const auto free_slot = FindPacked(*this->state, request.need, excluded);
  if (free_slot != kNoSlot) {
    return StopAdvice{this->state->At(free_slot).id, {}};
  }
  std::optional<Victims> best;
  Slot best_slot = kNoSlot;
  for (const auto& candidate :
       FindCandidates(*this->state, request.need, excluded)) {
    const auto& worker = this->state->At(candidate.slot);
    if (request.need.FitsIn(worker.Room())) {
      return StopAdvice{worker.id, {}};
    }
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
