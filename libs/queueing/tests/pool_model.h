#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "queueing/fair_queue.h"

namespace shallotbank::queueing {

/// Models a single pool of resources, not divided into workers, with known task
/// end times. Honours one reservation at a time, for up to 60 s.
class PoolModel {
 public:
  static constexpr auto kReservationTime = std::chrono::seconds(60);

  PoolModel(FairQueue& queue, const Resources& capacity)
      : queue(&queue), free(capacity) {}

  /// Submits a job whose tasks take `task_duration` each.
  auto Submit(const QueuedJob& job, Duration task_duration) -> bool {
    this->task_durations[job.id] = task_duration;
    return static_cast<bool>(this->queue->Add(job));
  }

  auto NextEnd() const -> std::optional<TimePoint> {
    return this->running.empty() ? std::nullopt
                                 : std::optional(this->running.top().end);
  }

  auto EndTasks(TimePoint now) -> void {
    while (!this->running.empty() && this->running.top().end <= now) {
      const auto& run = this->running.top();
      this->free += run.amount;
      this->queue->Ended(run.job, TaskEnd::kFinished, run.tasks);
      this->running.pop();
    }
  }

  /// Runs one pass and starts everything that fits; calls `on_start` for each
  /// start.
  template <typename OnStart>
  auto Fill(TimePoint now, OnStart on_start) -> void {
    this->UpdateReservation(now);
    while (const auto candidate = this->queue->Next(now)) {
      const auto& shape = candidate->shape;
      const auto amount = Times(shape.need, shape.tasks);
      const bool is_holder = candidate->holds_reservation;
      if (!amount.FitsIn(this->free)) {
        this->queue->Blocked(candidate->job, BlockReason::kNoRoom);
      } else if (!is_holder && !LeavesReservationFree(amount)) {
        this->queue->Blocked(candidate->job, BlockReason::kBehindReservation);
      } else if (this->queue->Started(candidate->job, now)) {
        this->reserved = is_holder ? Resources{} : this->reserved;
        this->free -= amount;
        this->running.push({now + this->task_durations[candidate->job],
                            candidate->job, amount, shape.tasks});
        on_start(*candidate);
      }
    }
  }

  auto Free() const -> const Resources& { return this->free; }

 private:
  struct Run {
    TimePoint end;
    JobId job;
    Resources amount;
    std::int64_t tasks = 0;
    auto operator<(const Run& other) const -> bool {
      return this->end > other.end;
    }
  };

  auto LeavesReservationFree(const Resources& amount) const -> bool {
    const auto rest = this->free - this->reserved;
    return (amount.cores_milli == 0 ||
            amount.cores_milli <= rest.cores_milli) &&
           (amount.memory_mib == 0 || amount.memory_mib <= rest.memory_mib) &&
           (amount.accelerators == 0 ||
            amount.accelerators <= rest.accelerators);
  }

  auto UpdateReservation(TimePoint now) -> void {
    const bool is_held = this->reserved != Resources{};
    if (is_held && now < this->reserved_until) {
      return;
    }
    if (is_held) {
      this->queue->SetReserved(std::nullopt);
      this->reserved = {};
    }
    const auto due = this->queue->ReservationDue(now);
    if (due) {
      this->queue->SetReserved(due);
      this->reserved_until = now + kReservationTime;
      const auto candidate = this->queue->Next(now);
      const bool is_offered = candidate && candidate->holds_reservation;
      this->reserved =
          is_offered ? Times(candidate->shape.need, candidate->shape.tasks)
                     : Resources{};
    }
  }

  FairQueue* queue;
  Resources free;
  Resources reserved;
  TimePoint reserved_until;
  std::unordered_map<JobId, Duration> task_durations;
  std::priority_queue<Run> running;
};

}  // namespace shallotbank::queueing
