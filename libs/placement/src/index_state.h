#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fit_grid.h"
#include "fit_score.h"
#include "job_spread.h"
#include "placement/placer.h"
#include "placement/task.h"
#include "placement/worker.h"
#include "reservation_turns.h"

namespace shallotbank::placement {

using JobSpreads = std::unordered_map<JobId, JobSpread>;

struct TaskRecord {
  const TaskId* id = nullptr;  ///< Points to the key in the task table.
  JobSpreads::value_type* spread = nullptr;  ///< Null unless a service.
  Resources declared;
  Resources used;  ///< max(declared, reported).
  TimePoint started;
  TaskRecord* previous = nullptr;  ///< Links the tasks of a worker.
  TaskRecord* next = nullptr;
  Slot worker = kNoSlot;
  TaskClass task_class = TaskClass::kBatch;
  bool is_preemptible = false;
};

struct WorkerRecord {
  WorkerId id;
  Resources capacity;
  Resources used;
  Resources used_by_services;
  Resources used_by_preemptible;
  TaskRecord* first_task = nullptr;
  std::uint32_t tasks = 0;
  std::uint32_t order = 0;  ///< Increases with each added worker.
  std::uint32_t domain = 0;
  std::uint32_t rack = 0;
  bool present = false;
  bool leaving = false;
  bool unreachable = false;
  bool quarantined = false;
  bool reserved = false;
  bool in_grid = false;

  auto FreeCapacity() const -> Resources { return this->capacity - this->used; }
  auto State() const -> WorkerState;
  auto IsLive() const -> bool {
    return !this->leaving && !this->unreachable && !this->quarantined;
  }
  /// True if work without a reservation may be placed here, subject to the free
  /// capacity.
  auto IsSchedulable() const -> bool {
    return this->IsLive() && !this->reserved;
  }
};

/// The tables behind `WorkerIndex`, which the searches of `Placer` share.
class IndexState {
 public:
  struct Domain {
    FailureDomain id;
    FitGrid grid;  ///< The part of `Grid` in this domain.
    std::unordered_map<RackId, std::uint32_t> rack_numbers;
  };
  struct Rack {
    RackId id;
    std::uint32_t domain = 0;
    std::vector<Slot> workers;
  };
  /// Counts of the workers with one capacity.
  struct Shape {
    Resources capacity;
    std::size_t total = 0;
    std::size_t not_leaving = 0;
    std::size_t live = 0;
  };

  auto Reserve(std::size_t worker_count, std::size_t task_count) -> void;

  auto PutWorker(const Worker& worker) -> void;
  auto RemoveWorker(Slot slot) -> std::vector<TaskId>;
  /// Sets a flag of a worker. Returns false if the worker is unknown.
  auto SetFlag(const WorkerId& id, bool WorkerRecord::*flag, bool value)
      -> bool;

  auto FindWorker(const WorkerId& id) const -> Slot;
  auto FindTask(const TaskId& id) const -> const TaskRecord*;
  auto At(Slot slot) const -> const WorkerRecord& {
    return this->workers[slot];
  }
  auto Slots() const -> Slot { return static_cast<Slot>(this->workers.size()); }
  /// Schedulable workers with no negative free capacity.
  auto Grid() const -> const FitGrid& { return this->grid; }
  auto Domains() const -> const std::vector<Domain>& { return this->domains; }
  auto RackAt(std::uint32_t rack) const -> const Rack& {
    return this->racks[rack];
  }
  auto Shapes() const -> const std::vector<Shape>& { return this->shapes; }
  auto SpreadOf(const JobId& job) const -> const JobSpread*;
  auto WorkerCount() const -> std::size_t { return this->slots.size(); }
  auto TaskCount() const -> std::size_t { return this->tasks.size(); }
  auto Describe(Slot slot) const -> WorkerStatus;

  /// Adds an unknown task to the worker and charges its use to the worker.
  auto AddTask(Slot slot, const RunningTask& task) -> void;
  auto RemoveTask(const TaskId& id) -> bool;
  auto SetReportedUsage(const TaskId& id, const Resources& reported) -> bool;
  /// Adds `amount`, which may be negative, to the worker's use.
  auto AddUsage(Slot slot, const Resources& amount) -> void;
  /// Like `AddTask`, but the use of the task is already charged to the worker.
  auto AddAllocatedTask(Slot slot, const RunningTask& task) -> void;

  /// The active reservation; its workers are marked `reserved`.
  struct ReservationRecord {
    JobId job;
    TimePoint expires;
    std::vector<Slot> workers;
  };
  auto Reservation() const -> const std::optional<ReservationRecord>& {
    return this->reservation;
  }
  auto StartReservation(ReservationRecord new_reservation) -> void;
  auto EndReservation() -> void;
  /// Sets or clears the mark of reserved workers. It is cleared while the gang
  /// that holds the reservation is being placed.
  auto SetReserved(std::span<const Slot> reserved_slots, bool reserved) -> void;

  ReservationBackoff reservation_backoff;

 private:
  auto AddToGrid(Slot slot) -> void;
  auto RemoveFromGrid(Slot slot) -> void;
  auto UpdateShapeCounts(Slot slot, bool add) -> void;
  auto DomainNumber(const FailureDomain& id) -> std::uint32_t;
  auto RackNumber(std::uint32_t domain, const RackId& id) -> std::uint32_t;
  auto RemoveFromRack(Slot slot) -> void;
  auto AddToSpread(const JobId& job, Slot slot) -> JobSpreads::value_type*;
  auto RemoveFromSpread(const TaskRecord& task) -> void;
  /// Adds the service tasks of a worker to the counts of its rack and domain,
  /// or subtracts them.
  auto UpdateRackCounts(Slot slot, bool add) -> void;
  auto Link(Slot slot, const RunningTask& task) -> TaskRecord&;
  auto Unlink(TaskRecord& task) -> void;
  auto AddUsageByClass(const TaskRecord& task, const Resources& amount) -> void;

  std::vector<WorkerRecord> workers;
  std::vector<Slot> free_slots;
  std::uint32_t next_order = 0;
  std::unordered_map<WorkerId, Slot> slots;
  std::unordered_map<TaskId, TaskRecord> tasks;
  JobSpreads spreads;
  FitGrid grid;
  std::vector<Domain> domains;
  std::vector<Rack> racks;
  std::unordered_map<FailureDomain, std::uint32_t> domain_numbers;
  std::vector<Shape> shapes;
  std::optional<ReservationRecord> reservation;
};

}  // namespace shallotbank::placement
