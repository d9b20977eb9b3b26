#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "builders.h"
#include "naive_placer.h"
#include "placement/placer.h"

namespace shallotbank::placement {

/// Runs one random history on the placer and on the naive one in lockstep, and
/// compares them after each step.
class History {
 public:
  /// `entropy` decides what the step does.
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
        this->Pick(3) == 0 ? this->RecordRunning() : this->Advise();
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
  std::size_t advised = 0;
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
  auto PickWorker() -> std::string { return Id('w', this->Pick(9)); }
  auto PickTask() -> std::string {
    return Id('t', this->Pick(this->next_task + 1));
  }
  auto PickRequest(TaskClass task_class) -> TaskRequest {
    auto request = MakeTask(Id('t', this->next_task++), this->PickAmount(8, 8),
                            task_class, Id('s', this->Pick(2)));
    request.may_stop = task_class == TaskClass::kBatch && this->Pick(2) == 0;
    request.urgent = this->Pick(4) == 0;
    if (this->Pick(4) == 0) {
      request.excluded = {WorkerId(this->PickWorker())};
    }
    return request;
  }

  auto PutWorker() -> void {
    const auto id = this->PickWorker();
    const Worker worker{WorkerId(id), FailureDomain(Id('d', this->Pick(3))),
                        RackId(Id('r', this->Pick(2))),
                        this->PickAmount(16, 16)};
    RC_ASSERT(static_cast<bool>(this->index.PutWorker(worker)));
    if (auto* known = this->naive.Find(id)) {
      known->known = worker;
    } else {
      this->naive.workers.push_back({.known = worker});
    }
  }

  auto RemoveWorker() -> void {
    const auto id = this->PickWorker();
    const auto removed = this->index.RemoveWorker(WorkerId(id));
    const auto* worker = this->naive.Find(id);
    RC_ASSERT(removed.size() == (worker ? worker->tasks.size() : 0));
    for (const auto& task : removed) {
      RC_ASSERT(worker->tasks.contains(task.Text()));
      this->naive.locations.erase(task.Text());
    }
    std::erase_if(this->naive.workers,
                  [&](const auto& w) { return w.known.id.Text() == id; });
  }

  auto SetFlag() -> void {
    const auto id = this->PickWorker();
    const bool value = this->Pick(3) == 0;
    auto* worker = this->naive.Find(id);
    const auto apply = [&](auto set, bool NaivePlacer::Worker::*flag) {
      RC_ASSERT((this->index.*set)(WorkerId(id), value) == (worker != nullptr));
      if (worker != nullptr) {
        worker->*flag = value;
      }
    };
    switch (this->Pick(3)) {
      case 0:
        apply(&WorkerIndex::SetLeaving, &NaivePlacer::Worker::leaving);
        break;
      case 1:
        apply(&WorkerIndex::SetUnreachable, &NaivePlacer::Worker::unreachable);
        break;
      default:
        apply(&WorkerIndex::SetQuarantined, &NaivePlacer::Worker::quarantined);
    }
  }

  auto PlaceTask(TaskClass task_class) -> void {
    const auto request = this->PickRequest(task_class);
    this->ExpireReservation();
    const auto expected = this->naive.Place(request);
    const auto reason = this->placer.WhyNotNow(request, this->now);
    const auto decision = this->placer.Place(request, this->now);
    RC_ASSERT(static_cast<bool>(decision) == expected.has_value());
    RC_ASSERT(reason.has_value() == !expected);
    (expected ? this->placed : this->refused)++;
    if (!decision) {
      RC_ASSERT(*reason == decision.Reason());
      RC_ASSERT(!IsPermanent(*reason) || this->IsTooLarge(request.need));
      return;
    }
    // The same worker, hence the same fit and the same spread.
    RC_ASSERT(decision.Value() == this->naive.workers[*expected].known.id);
    this->Commit(*expected, request.task, request.job, request.need, task_class,
                 request.may_stop);
    RC_ASSERT(this->naive.workers[*expected].Room().IsNonNegative());
  }

  auto PlaceGang() -> void {
    const auto number = this->Pick(3);
    auto& since = this->waiting_since[number];
    since = std::max(since, kStart);
    GangRequest gang{
        .job = JobId(Id('g', number)), .tasks = {}, .waiting_since = since};
    const auto count = 1 + this->Pick(5);
    const auto first_need = this->PickAmount(12, 12);
    const auto second_need =
        this->Pick(2) == 0 ? first_need : this->PickAmount(8, 8);
    for (std::size_t i = 0; i < count; ++i) {
      gang.tasks.push_back({TaskId(Id('t', this->next_task++)),
                            i % 2 == 0 ? first_need : second_need});
    }
    this->ExpireReservation();
    const auto expected = this->naive.FindGang(gang);
    const auto never = this->placer.WhyNever(gang);
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
      const auto& worker = this->naive.workers[(*expected)[i]];
      RC_ASSERT(placement.task == task.task);
      RC_ASSERT(placement.worker == worker.known.id);
      this->Commit((*expected)[i], task.task, gang.job, task.need,
                   TaskClass::kGang, false);
      RC_ASSERT(worker.Room().IsNonNegative());
    }
    if (this->naive.reservation_holder == gang.job) {
      this->holders_placed++;
      this->DropReservation();
    }
    since = this->now;
  }

  auto Release() -> void {
    const auto task = this->PickTask();
    RC_ASSERT(this->index.Release(TaskId(task)) == this->naive.Release(task));
  }

  auto Report() -> void {
    const auto task = this->PickTask();
    auto reported = this->PickAmount(12, 12);
    if (this->Pick(4) == 0) {
      reported = {-100, reported.memory_mib, -1};
    }
    RC_ASSERT(this->index.ReportUsage(TaskId(task), reported) ==
              this->naive.Report(task, reported));
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
                       .may_stop = request.may_stop,
                       .started = this->now}));
    auto* worker = this->naive.Find(id);
    RC_ASSERT(recorded == (worker != nullptr));
    if (recorded) {
      this->Commit(
          static_cast<std::size_t>(worker - this->naive.workers.data()),
          request.task, request.job, request.need, request.task_class,
          request.may_stop);
    }
  }

  auto Commit(std::size_t position,
              const TaskId& task,
              const JobId& job,
              const Resources& need,
              TaskClass task_class,
              bool may_stop) -> void {
    this->naive.Commit(position, {.task = task,
                                  .job = job,
                                  .declared = need,
                                  .task_class = task_class,
                                  .may_stop = may_stop,
                                  .started = this->now});
  }

  auto IsTooLarge(const Resources& need) const -> bool {
    return std::none_of(this->naive.workers.begin(), this->naive.workers.end(),
                        [&](const auto& worker) {
                          return !worker.leaving &&
                                 need.FitsIn(worker.known.capacity);
                        });
  }

  /// The fewest tasks to stop on the worker, by trying all sets of them.
  static auto FewestStops(const NaivePlacer::Worker& worker,
                          const Resources& need) -> std::optional<std::size_t> {
    std::vector<Resources> uses;
    for (const auto& [id, task] : worker.tasks) {
      if (task.running.may_stop && uses.size() < 10) {
        uses.push_back(task.Use());
      }
    }
    std::optional<std::size_t> fewest;
    for (std::size_t set = 0; set < std::size_t{1} << uses.size(); ++set) {
      auto room = worker.Room();
      std::size_t count = 0;
      for (std::size_t i = 0; i < uses.size(); ++i) {
        if ((set >> i & 1U) != 0) {
          room += uses[i];
          ++count;
        }
      }
      if (room.IsNonNegative() && need.FitsIn(room)) {
        fewest = std::min(fewest.value_or(count), count);
      }
    }
    return fewest;
  }

  auto Advise() -> void {
    auto request = this->PickRequest(TaskClass::kBatch);
    request.excluded.clear();
    std::optional<std::size_t> fewest;
    for (const auto& worker : this->naive.workers) {
      const auto count =
          worker.IsLive() ? FewestStops(worker, request.need) : std::nullopt;
      if (count) {
        fewest = std::min(fewest.value_or(*count), *count);
      }
    }
    const auto decision = this->placer.AdviseStops(request, this->now);
    RC_ASSERT(static_cast<bool>(decision) == fewest.has_value());
    if (!decision) {
      return;
    }
    this->advised++;
    const auto& advice = decision.Value();
    RC_ASSERT(advice.tasks.size() >= *fewest);
    // More than two are found greedily.
    RC_ASSERT(advice.tasks.size() == *fewest || *fewest > 2);
    const auto& worker = *this->naive.Find(advice.worker.Text());
    auto room = worker.Room();
    for (const auto& task : advice.tasks) {
      const auto& victim = worker.tasks.at(task.Text());
      RC_ASSERT(victim.running.may_stop);
      room += victim.Use();
    }
    RC_ASSERT(room.IsNonNegative() && request.need.FitsIn(room));
    for (const auto& task : advice.tasks) {
      const auto without = room - worker.tasks.at(task.Text()).Use();
      RC_ASSERT(!request.need.FitsIn(without) || !without.IsNonNegative());
    }
  }

  auto ExpireReservation() -> void {
    if (!this->naive.reservation_holder.IsEmpty() &&
        this->now >= this->reserved_at + kReservationLifetime) {
      this->DropReservation();
    }
  }

  auto DropReservation() -> void {
    for (auto& worker : this->naive.workers) {
      worker.reserved = false;
    }
    this->naive.reservation_holder = {};
  }

  /// A refused gang may have got the reservation, by the rules for it.
  auto AdoptReservation(const GangRequest& gang) -> void {
    const auto current = this->placer.CurrentReservation(this->now);
    if (!current || !this->naive.reservation_holder.IsEmpty()) {
      return;
    }
    RC_ASSERT(current->job == gang.job);
    RC_ASSERT(this->now - gang.waiting_since >= kStarvedAfter);
    RC_ASSERT(current->expires == this->now + kReservationLifetime);
    RC_ASSERT(!current->workers.empty());
    this->reservations++;
    this->reserved_at = this->now;
    this->naive.reservation_holder = gang.job;
    for (const auto& id : current->workers) {
      auto& worker = *this->naive.Find(id.Text());
      RC_ASSERT(worker.IsLive());
      worker.reserved = true;
    }
    RC_ASSERT(this->FitsWhenDrained(gang));
  }

  /// Whether the gang fits on the reserved workers once all but the services
  /// has ended. Only for equal needs, where the naive order finds a place if
  /// there is one.
  auto FitsWhenDrained(const GangRequest& gang) const -> bool {
    auto drained = this->naive;
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
    RC_ASSERT(current.has_value() == !this->naive.reservation_holder.IsEmpty());
    if (current) {
      RC_ASSERT(current->job == this->naive.reservation_holder);
    }
  }

  auto CheckState() -> void {
    RC_ASSERT(this->index.WorkerCount() == this->naive.workers.size());
    RC_ASSERT(this->index.TaskCount() == this->naive.locations.size());
    for (const auto& worker : this->naive.workers) {
      Resources sum;
      for (const auto& [id, task] : worker.tasks) {
        sum += task.Use();
      }
      const auto status = this->index.FindWorker(worker.known.id);
      RC_ASSERT(status.has_value());
      RC_ASSERT(worker.used == sum);
      RC_ASSERT(status->used == sum);
      RC_ASSERT(status->room == worker.known.capacity - sum);
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
  NaivePlacer naive;
};

}  // namespace shallotbank::placement
