#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "builders.h"
#include "placement/placer.h"
#include "reference_placer.h"

namespace shallotbank::placement {

/// Applies one random sequence of operations to the placer and to the reference
/// placer, and compares them after each step.
class History {
 public:
  /// Performs one step, which is determined by `entropy`.
  auto Step(std::uint64_t entropy) -> void {
    this->bits = entropy;
    this->steps++;
    switch (this->Pick(15)) {
      case 0:
      case 1:
        this->PutWorker();
        break;
      case 2:
        this->SetFlag();
        break;
      case 3:
        this->Pick(3) == 0 ? this->RemoveWorker() : this->SetFlag();
        break;
      case 4:
      case 5:
      case 6:
        this->PlaceTask(TaskClass::kBatch);
        break;
      case 7:
      case 8:
        this->PlaceTask(TaskClass::kService);
        break;
      case 9:
      case 10:
        this->PlaceGang();
        break;
      case 11:
        this->Release();
        break;
      case 12:
        this->Report();
        break;
      case 13:
        this->Pick(3) == 0 ? this->RecordRunning()
                           : this->CheckPreemptionPlan();
        break;
      default:
        this->now += std::chrono::seconds(1 + this->Pick(40));
    }
    this->CheckReservation();
    this->CheckState();
  }

  std::size_t placed = 0;
  std::size_t refused = 0;
  std::size_t gangs_placed = 0;
  std::size_t gangs_refused = 0;
  std::size_t reservations = 0;
  std::size_t preemptions_planned = 0;
  std::size_t holders_placed = 0;

 private:
  auto Pick(std::uint64_t choices) -> std::uint64_t {
    const auto choice = this->bits % choices;
    this->bits /= choices;
    return choice;
  }
  auto PickAmount(std::uint64_t cores, std::uint64_t memory) -> Resources {
    const auto accelerators = this->Pick(5) == 0 ? 1 + this->Pick(2) : 0;
    return {static_cast<std::int64_t>((1 + this->Pick(cores)) * 500),
            static_cast<std::int64_t>((1 + this->Pick(memory)) * 700),
            static_cast<std::int64_t>(accelerators)};
  }
  auto PickWorker() -> std::string { return NumberedId('w', this->Pick(9)); }
  auto PickTask() -> std::string {
    return NumberedId('t', this->Pick(this->next_task + 1));
  }
  auto PickRequest(TaskClass task_class) -> TaskRequest {
    auto request =
        MakeTask(NumberedId('t', this->next_task++), this->PickAmount(8, 8),
                 task_class, NumberedId('s', this->Pick(2)));
    request.is_preemptible =
        task_class == TaskClass::kBatch && this->Pick(2) == 0;
    request.is_urgent = this->Pick(4) == 0;
    if (this->Pick(4) == 0) {
      request.excluded = {WorkerId(this->PickWorker())};
    }
    return request;
  }

  auto PutWorker() -> void {
    const auto id = this->PickWorker();
    const Worker worker{
        WorkerId(id), FailureDomain(NumberedId('d', this->Pick(3))),
        RackId(NumberedId('r', this->Pick(2))), this->PickAmount(16, 16)};
    RC_ASSERT(static_cast<bool>(this->index.PutWorker(worker)));
    if (auto* known = this->reference.Find(id)) {
      known->known = worker;
    } else {
      this->reference.workers.push_back({.known = worker});
    }
  }

  auto RemoveWorker() -> void {
    const auto id = this->PickWorker();
    const auto removed = this->index.RemoveWorker(WorkerId(id));
    const auto* worker = this->reference.Find(id);
    RC_ASSERT(removed.size() == (worker ? worker->tasks.size() : 0));
    for (const auto& task : removed) {
      RC_ASSERT(worker->tasks.contains(task.Text()));
      this->reference.locations.erase(task.Text());
    }
    std::erase_if(this->reference.workers,
                  [&](const auto& w) { return w.known.id.Text() == id; });
  }

  auto SetFlag() -> void {
    const auto id = this->PickWorker();
    const bool value = this->Pick(3) == 0;
    auto* worker = this->reference.Find(id);
    const auto apply = [&](auto set, bool ReferencePlacer::Worker::*flag) {
      RC_ASSERT((this->index.*set)(WorkerId(id), value) == (worker != nullptr));
      if (worker != nullptr) {
        worker->*flag = value;
      }
    };
    switch (this->Pick(3)) {
      case 0:
        apply(&WorkerIndex::SetLeaving, &ReferencePlacer::Worker::leaving);
        break;
      case 1:
        apply(&WorkerIndex::SetUnreachable,
              &ReferencePlacer::Worker::unreachable);
        break;
      default:
        apply(&WorkerIndex::SetQuarantined,
              &ReferencePlacer::Worker::quarantined);
    }
  }

  auto PlaceTask(TaskClass task_class) -> void {
    const auto request = this->PickRequest(task_class);
    this->ExpireReservation();
    const auto expected = this->reference.Place(request);
    const auto reason = this->placer.CheckPlacement(request, this->now);
    const auto decision = this->placer.Place(request, this->now);
    RC_ASSERT(static_cast<bool>(decision) == expected.has_value());
    RC_ASSERT(reason.has_value() == !expected);
    (expected ? this->placed : this->refused)++;
    if (!decision) {
      RC_ASSERT(*reason == decision.Reason());
      RC_ASSERT(!IsPermanent(*reason) || this->IsTooLarge(request.need));
      return;
    }
    // Selecting the same worker implies the same fit and the same spread.
    RC_ASSERT(decision.Value() == this->reference.workers[*expected].known.id);
    this->Commit(*expected, request.task, request.job, request.need, task_class,
                 request.is_preemptible);
    RC_ASSERT(
        this->reference.workers[*expected].FreeCapacity().IsNonNegative());
  }

  auto PlaceGang() -> void {
    const auto number = this->Pick(3);
    auto& since = this->waiting_since[number];
    since = std::max(since, kStart);
    GangRequest gang{.job = JobId(NumberedId('g', number)),
                     .tasks = {},
                     .waiting_since = since};
    const auto count = 1 + this->Pick(5);
    const auto first_need = this->PickAmount(12, 12);
    const auto second_need =
        this->Pick(2) == 0 ? first_need : this->PickAmount(8, 8);
    for (std::size_t i = 0; i < count; ++i) {
      gang.tasks.push_back({TaskId(NumberedId('t', this->next_task++)),
                            i % 2 == 0 ? first_need : second_need});
    }
    this->ExpireReservation();
    const auto expected = this->reference.FindGang(gang);
    const auto never = this->placer.CheckFeasibility(gang);
    const auto decision = this->placer.PlaceGang(gang, this->now);
    RC_ASSERT(static_cast<bool>(decision) == expected.has_value());
    (expected ? this->gangs_placed : this->gangs_refused)++;
    if (!decision) {
      RC_ASSERT(!IsPermanent(decision.Reason()) || never.has_value());
      this->AdoptReservation(gang);
      return;
    }
    RC_ASSERT(!never.has_value());
    for (std::size_t i = 0; i < count; ++i) {
      const auto& task = gang.tasks[i];
      const auto& placement = decision.Value()[i];
      const auto& worker = this->reference.workers[(*expected)[i]];
      RC_ASSERT(placement.task == task.task);
      RC_ASSERT(placement.worker == worker.known.id);
      this->Commit((*expected)[i], task.task, gang.job, task.need,
                   TaskClass::kGang, false);
      RC_ASSERT(worker.FreeCapacity().IsNonNegative());
    }
    if (this->reference.reservation_holder == gang.job) {
      this->holders_placed++;
      this->DropReservation();
    }
    since = this->now;
  }

  auto Release() -> void {
    const auto task = this->PickTask();
    RC_ASSERT(this->index.Release(TaskId(task)) ==
              this->reference.Release(task));
  }

  auto Report() -> void {
    const auto task = this->PickTask();
    auto reported = this->PickAmount(12, 12);
    if (this->Pick(4) == 0) {
      reported = {-100, reported.memory_mib, -1};
    }
    RC_ASSERT(this->index.ReportUsage(TaskId(task), reported) ==
              this->reference.Report(task, reported));
  }

  auto RecordRunning() -> void {
    const auto id = this->PickWorker();
    const auto request = this->PickRequest(
        this->Pick(2) == 0 ? TaskClass::kService : TaskClass::kBatch);
    const bool recorded = static_cast<bool>(this->index.RecordRunning(
        WorkerId(id), {.task = request.task,
                       .job = request.job,
                       .declared = request.need,
                       .task_class = request.task_class,
                       .is_preemptible = request.is_preemptible,
                       .started = this->now}));
    auto* worker = this->reference.Find(id);
    RC_ASSERT(recorded == (worker != nullptr));
    if (recorded) {
      this->Commit(
          static_cast<std::size_t>(worker - this->reference.workers.data()),
          request.task, request.job, request.need, request.task_class,
          request.is_preemptible);
    }
  }

  auto Commit(std::size_t position,
              const TaskId& task,
              const JobId& job,
              const Resources& need,
              TaskClass task_class,
              bool is_preemptible) -> void {
    this->reference.Commit(position, {.task = task,
                                      .job = job,
                                      .declared = need,
                                      .task_class = task_class,
                                      .is_preemptible = is_preemptible,
                                      .started = this->now});
  }

  auto IsTooLarge(const Resources& need) const -> bool {
    return std::none_of(this->reference.workers.begin(),
                        this->reference.workers.end(), [&](const auto& worker) {
                          return !worker.leaving &&
                                 need.FitsIn(worker.known.capacity);
                        });
  }

  /// Returns the fewest tasks to preempt on the worker, by trying all sets of
  /// them.
  static auto FewestVictims(const ReferencePlacer::Worker& worker,
                            const Resources& need)
      -> std::optional<std::size_t> {
    std::vector<Resources> uses;
    for (const auto& [id, task] : worker.tasks) {
      if (task.running.is_preemptible && uses.size() < 10) {
        uses.push_back(task.Use());
      }
    }
    std::optional<std::size_t> fewest;
    for (std::size_t set = 0; set < std::size_t{1} << uses.size(); ++set) {
      auto free_capacity = worker.FreeCapacity();
      std::size_t count = 0;
      for (std::size_t i = 0; i < uses.size(); ++i) {
        if ((set >> i & 1U) != 0) {
          free_capacity += uses[i];
          ++count;
        }
      }
      if (free_capacity.IsNonNegative() && need.FitsIn(free_capacity)) {
        fewest = std::min(fewest.value_or(count), count);
      }
    }
    return fewest;
  }

  auto CheckPreemptionPlan() -> void {
    auto request = this->PickRequest(TaskClass::kBatch);
    request.excluded.clear();
    std::optional<std::size_t> fewest;
    for (const auto& worker : this->reference.workers) {
      const auto count =
          worker.IsLive() ? FewestVictims(worker, request.need) : std::nullopt;
      if (count) {
        fewest = std::min(fewest.value_or(*count), *count);
      }
    }
    const auto decision = this->placer.PlanPreemption(request, this->now);
    RC_ASSERT(static_cast<bool>(decision) == fewest.has_value());
    if (!decision) {
      return;
    }
    this->preemptions_planned++;
    const auto& plan = decision.Value();
    RC_ASSERT(plan.tasks.size() >= *fewest);
    // Sets of more than two tasks are found greedily, so they may be larger.
    RC_ASSERT(plan.tasks.size() == *fewest || *fewest > 2);
    const auto& worker = *this->reference.Find(plan.worker.Text());
    auto free_capacity = worker.FreeCapacity();
    for (const auto& task : plan.tasks) {
      const auto& victim = worker.tasks.at(task.Text());
      RC_ASSERT(victim.running.is_preemptible);
      free_capacity += victim.Use();
    }
    RC_ASSERT(free_capacity.IsNonNegative() &&
              request.need.FitsIn(free_capacity));
    for (const auto& task : plan.tasks) {
      const auto without = free_capacity - worker.tasks.at(task.Text()).Use();
      RC_ASSERT(!request.need.FitsIn(without) || !without.IsNonNegative());
    }
  }

  auto ExpireReservation() -> void {
    if (!this->reference.reservation_holder.IsEmpty() &&
        this->now >= this->reserved_at + kReservationLifetime) {
      this->DropReservation();
    }
  }

  auto DropReservation() -> void {
    for (auto& worker : this->reference.workers) {
      worker.reserved = false;
    }
    this->reference.reservation_holder = {};
  }

  /// After a refusal, checks that a new reservation follows the rules and
  /// copies it to the reference placer.
  auto AdoptReservation(const GangRequest& gang) -> void {
    const auto current = this->placer.CurrentReservation(this->now);
    if (!current || !this->reference.reservation_holder.IsEmpty()) {
      return;
    }
    RC_ASSERT(current->job == gang.job);
    RC_ASSERT(this->now - gang.waiting_since >= kStarvationThreshold);
    RC_ASSERT(current->expires == this->now + kReservationLifetime);
    RC_ASSERT(!current->workers.empty());
    this->reservations++;
    this->reserved_at = this->now;
    this->reference.reservation_holder = gang.job;
    for (const auto& id : current->workers) {
      auto& worker = *this->reference.Find(id.Text());
      RC_ASSERT(worker.IsLive());
      worker.reserved = true;
    }
    RC_ASSERT(this->FitsWithoutBatchWork(gang));
  }

  /// Checks whether the gang fits on the reserved workers once everything but
  /// services has ended. Checked for equal needs only, where the order of the
  /// reference placer finds a placement if there is one.
  auto FitsWithoutBatchWork(const GangRequest& gang) const -> bool {
    auto drained = this->reference;
    for (auto& worker : drained.workers) {
      worker.leaving = !worker.reserved;
      worker.used = {};
      for (const auto& [id, task] : worker.tasks) {
        if (task.running.task_class == TaskClass::kService) {
          worker.used += task.Use();
        }
      }
    }
    const bool is_uniform = std::all_of(
        gang.tasks.begin(), gang.tasks.end(),
        [&](const auto& t) { return t.need == gang.tasks.front().need; });
    return !is_uniform || drained.FindGang(gang).has_value();
  }

  auto CheckReservation() -> void {
    this->ExpireReservation();
    const auto current = this->placer.CurrentReservation(this->now);
    RC_ASSERT(current.has_value() ==
              !this->reference.reservation_holder.IsEmpty());
    if (current) {
      RC_ASSERT(current->job == this->reference.reservation_holder);
    }
  }

  auto CheckState() -> void {
    RC_ASSERT(this->index.WorkerCount() == this->reference.workers.size());
    RC_ASSERT(this->index.TaskCount() == this->reference.locations.size());
    for (const auto& worker : this->reference.workers) {
      Resources sum;
      for (const auto& [id, task] : worker.tasks) {
        sum += task.Use();
      }
      const auto status = this->index.FindWorker(worker.known.id);
      RC_ASSERT(status.has_value());
      RC_ASSERT(worker.used == sum);
      RC_ASSERT(status->used == sum);
      RC_ASSERT(status->free_capacity == worker.known.capacity - sum);
      RC_ASSERT(status->tasks == worker.tasks.size());
      RC_ASSERT((status->state == WorkerState::kLive) == worker.IsLive());
      RC_ASSERT(status->reserved == worker.reserved);
      if (this->steps % kStepsPerListing == 0) {
        for (const auto& task : this->index.TasksOn(worker.known.id)) {
          RC_ASSERT(worker.tasks.contains(task.Text()));
        }
      }
    }
  }

  static constexpr std::size_t kStepsPerListing = 8;

  std::uint64_t bits = 0;
  std::size_t steps = 0;
  std::size_t next_task = 0;
  TimePoint now = kStart;
  std::array<TimePoint, 3> waiting_since{};
  TimePoint reserved_at;
  WorkerIndex index;
  Placer placer{index};
  ReferencePlacer reference;
};

}  // namespace shallotbank::placement
