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
  const TaskId* id = nullptr;                ///< The key in the table of tasks.
  JobSpreads::value_type* spread = nullptr;  ///< Only for services.
  Resources declared;
  Resources used;  ///< max(declared, reported).
  TimePoint started;
  TaskRecord* previous = nullptr;  ///< On the same worker.
  TaskRecord* next = nullptr;
  Slot worker = kNoSlot;
  TaskClass task_class = TaskClass::kBatch;
  bool may_stop = false;
};

struct WorkerRecord {
  WorkerId id;
  Resources capacity;
  Resources used;
  Resources used_by_services;
  Resources used_by_stoppable;
  TaskRecord* first_task = nullptr;
  std::uint32_t tasks = 0;
  std::uint32_t order = 0;  ///< Increases with each worker added.
  std::uint32_t domain = 0;
  std::uint32_t rack = 0;
  bool present = false;
  bool leaving = false;
  bool unreachable = false;
  bool quarantined = false;
  bool reserved = false;
  bool in_grid = false;

  auto Room() const -> Resources { return this->capacity - this->used; }
  auto State() const -> WorkerState;
  auto IsLive() const -> bool {
    return !this->leaving && !this->unreachable && !this->quarantined;
  }
  /// Whether work without a reservation may be placed, given the room.
  auto IsOpen() const -> bool { return this->IsLive() && !this->reserved; }
};

/// Tables behind `WorkerIndex`, shared with the searches of `Placer`.
class IndexState {
 public:
  struct Domain {
    FailureDomain id;
    FitGrid grid;  ///< Its part of `Grid`, for work that is spread.
    std::unordered_map<RackId, std::uint32_t> rack_numbers;
  };
  struct Rack {
    RackId id;
    std::uint32_t domain = 0;
    std::vector<Slot> workers;
  };
  /// Workers of equal capacity.
  struct Shape {
    Resources capacity;
    std::size_t total = 0;
    std::size_t staying = 0;  ///< Not leaving.
    std::size_t live = 0;
  };

  auto Reserve(std::size_t worker_count, std::size_t task_count) -> void;

  auto PutWorker(const Worker& worker) -> void;
  auto RemoveWorker(Slot slot) -> std::vector<TaskId>;
  /// Sets one of the flags of a worker; false if it is not known.
  auto SetFlag(const WorkerId& id, bool WorkerRecord::*flag, bool value)
      -> bool;

  auto FindWorker(const WorkerId& id) const -> Slot;
  auto FindTask(const TaskId& id) const -> const TaskRecord*;
  auto At(Slot slot) const -> const WorkerRecord& {
    return this->workers[slot];
  }
  auto Slots() const -> Slot { return static_cast<Slot>(this->workers.size()); }
  /// Open workers with non-negative room.
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

  /// Adds a task to the worker; the task must not be known.
  auto AddTask(Slot slot, const RunningTask& task) -> void;
  auto RemoveTask(const TaskId& id) -> bool;
  auto SetReported(const TaskId& id, const Resources& reported) -> bool;
  /// Adds `amount` (which may be negative) to the use of a worker.
  auto HoldRoom(Slot slot, const Resources& amount) -> void;
  /// As `AddTask`, but the use of the task is held already.
  auto AdoptTask(Slot slot, const RunningTask& task) -> void;

  /// The reservation in force; its workers are marked `reserved`.
  struct Held {
    JobId job;
    TimePoint expires;
    std::vector<Slot> workers;
  };
  auto Reservation() const -> const std::optional<Held>& { return this->held; }
  auto StartReservation(Held reservation) -> void;
  auto EndReservation() -> void;
  /// Opens the reserved workers for the gang that holds them, or closes them.
  auto SetReserved(std::span<const Slot> reserved_slots, bool reserved) -> void;

  ReservationTurns turns;

 private:
  auto File(Slot slot) -> void;
  auto Unfile(Slot slot) -> void;
  auto CountShape(Slot slot, bool add) -> void;
  auto DomainNumber(const FailureDomain& id) -> std::uint32_t;
  auto RackNumber(std::uint32_t domain, const RackId& id) -> std::uint32_t;
  auto LeaveRack(Slot slot) -> void;
  auto AddToSpread(const JobId& job, Slot slot) -> JobSpreads::value_type*;
  auto RemoveFromSpread(const TaskRecord& task) -> void;
  /// Counts the services of a worker in its rack and domain, or takes them out.
  auto CountInRack(Slot slot, bool add) -> void;
  auto Link(Slot slot, const RunningTask& task) -> TaskRecord&;
  auto Unlink(TaskRecord& task) -> void;
  auto AddUseOfKind(const TaskRecord& task, const Resources& amount) -> void;

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
  std::optional<Held> held;
};

}  // namespace shallotbank::placement
