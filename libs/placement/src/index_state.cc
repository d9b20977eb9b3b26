#include "index_state.h"

#include <algorithm>

namespace shallotbank::placement {

auto WorkerRecord::State() const -> WorkerState {
  if (this->leaving) {
    return WorkerState::kLeaving;
  }
  if (this->unreachable) {
    return WorkerState::kUnreachable;
  }
  return this->quarantined ? WorkerState::kQuarantined : WorkerState::kLive;
}

auto IndexState::Reserve(std::size_t worker_count, std::size_t task_count)
    -> void {
  this->workers.reserve(worker_count);
  this->slots.reserve(worker_count);
  this->tasks.reserve(task_count);
}

auto IndexState::FindWorker(const WorkerId& id) const -> Slot {
  const auto found = this->slots.find(id);
  return found == this->slots.end() ? kNoSlot : found->second;
}

auto IndexState::FindTask(const TaskId& id) const -> const TaskRecord* {
  const auto found = this->tasks.find(id);
  return found == this->tasks.end() ? nullptr : &found->second;
}

auto IndexState::SpreadOf(const JobId& job) const -> const JobSpread* {
  const auto found = this->spreads.find(job);
  return found == this->spreads.end() ? nullptr : &found->second;
}

auto IndexState::Describe(Slot slot) const -> WorkerStatus {
  const auto& record = this->workers[slot];
  return {.worker = {record.id, this->domains[record.domain].id,
                     this->racks[record.rack].id, record.capacity},
          .state = record.State(),
          .used = record.used,
          .free_capacity = record.FreeCapacity(),
          .tasks = record.tasks,
          .reserved = record.reserved};
}

auto IndexState::DomainNumber(const FailureDomain& id) -> std::uint32_t {
  const auto [entry, is_new] = this->domain_numbers.emplace(
      id, static_cast<std::uint32_t>(this->domains.size()));
  if (is_new) {
    this->domains.push_back({id, {}, {}});
  }
  return entry->second;
}

auto IndexState::RackNumber(std::uint32_t domain, const RackId& id)
    -> std::uint32_t {
  const auto [entry, is_new] = this->domains[domain].rack_numbers.emplace(
      id, static_cast<std::uint32_t>(this->racks.size()));
  if (is_new) {
    this->racks.push_back({id, domain, {}});
  }
  return entry->second;
}

auto IndexState::PutWorker(const Worker& worker) -> void {
  const auto domain = this->DomainNumber(worker.domain);
  const auto rack = this->RackNumber(domain, worker.rack);
  auto slot = this->FindWorker(worker.id);
  if (slot == kNoSlot) {
    if (this->free_slots.empty()) {
      slot = this->Slots();
      this->workers.emplace_back();
    } else {
      slot = this->free_slots.back();
      this->free_slots.pop_back();
    }
    this->slots.emplace(worker.id, slot);
    this->workers[slot].id = worker.id;
    this->workers[slot].order = this->next_order++;
  } else {
    this->RemoveFromGrid(slot);
    this->UpdateShapeCounts(slot, false);
    this->UpdateRackCounts(slot, false);
    this->RemoveFromRack(slot);
  }
  auto& record = this->workers[slot];
  record.present = true;
  record.capacity = worker.capacity;
  record.domain = domain;
  record.rack = rack;
  this->racks[rack].workers.push_back(slot);
  this->UpdateRackCounts(slot, true);
  this->UpdateShapeCounts(slot, true);
  this->AddToGrid(slot);
}

auto IndexState::RemoveWorker(Slot slot) -> std::vector<TaskId> {
  this->RemoveFromGrid(slot);
  this->UpdateShapeCounts(slot, false);
  std::vector<TaskId> removed;
  auto& record = this->workers[slot];
  while (record.first_task != nullptr) {
    removed.push_back(*record.first_task->id);
    this->Unlink(*record.first_task);
    this->tasks.erase(removed.back());
  }
  this->RemoveFromRack(slot);
  if (this->reservation) {
    std::erase(this->reservation->workers, slot);
  }
  this->slots.erase(record.id);
  record = {};
  this->free_slots.push_back(slot);
  return removed;
}

auto IndexState::SetFlag(const WorkerId& id,
                         bool WorkerRecord::*flag,
                         bool value) -> bool {
  const auto slot = this->FindWorker(id);
  if (slot == kNoSlot) {
    return false;
  }
  this->RemoveFromGrid(slot);
  this->UpdateShapeCounts(slot, false);
  this->workers[slot].*flag = value;
  this->UpdateShapeCounts(slot, true);
  this->AddToGrid(slot);
  return true;
}

auto IndexState::RemoveFromRack(Slot slot) -> void {
  std::erase(this->racks[this->workers[slot].rack].workers, slot);
}

auto IndexState::AddToGrid(Slot slot) -> void {
  auto& record = this->workers[slot];
  const auto free_capacity = record.FreeCapacity();
  record.in_grid = record.IsSchedulable() && free_capacity.IsNonNegative();
  if (record.in_grid) {
    this->grid.Insert(slot, record.order, free_capacity);
    this->domains[record.domain].grid.Insert(slot, record.order, free_capacity);
  }
}

auto IndexState::RemoveFromGrid(Slot slot) -> void {
  auto& record = this->workers[slot];
  if (record.in_grid) {
    this->grid.Erase(record.order, record.FreeCapacity());
    this->domains[record.domain].grid.Erase(record.order,
                                            record.FreeCapacity());
    record.in_grid = false;
  }
}

auto IndexState::UpdateShapeCounts(Slot slot, bool add) -> void {
  const auto& record = this->workers[slot];
  auto shape = std::find_if(this->shapes.begin(), this->shapes.end(),
                            [&record](const Shape& candidate) {
                              return candidate.capacity == record.capacity;
                            });
  if (shape == this->shapes.end()) {
    shape = this->shapes.insert(shape, {.capacity = record.capacity});
  }
  const auto amount = add ? std::size_t{1} : std::size_t(-1);
  shape->total += amount;
  shape->not_leaving += record.leaving ? 0 : amount;
  shape->live += record.IsLive() ? amount : 0;
  if (shape->total == 0) {
    this->shapes.erase(shape);
  }
}

auto IndexState::UpdateRackCounts(Slot slot, bool add) -> void {
  const auto& worker = this->workers[slot];
  for (const auto* task = worker.first_task; task != nullptr;
       task = task->next) {
    if (task->spread != nullptr) {
      task->spread->second.UpdateRackCounts(worker.rack, worker.domain, add);
    }
  }
}

auto IndexState::AddToSpread(const JobId& job, Slot slot)
    -> JobSpreads::value_type* {
  auto& entry = *this->spreads.try_emplace(job).first;
  const auto& worker = this->workers[slot];
  entry.second.workers[slot]++;
  entry.second.UpdateRackCounts(worker.rack, worker.domain, true);
  return &entry;
}

auto IndexState::RemoveFromSpread(const TaskRecord& task) -> void {
  auto& spread = task.spread->second;
  const auto& worker = this->workers[task.worker];
  JobSpread::Decrease(spread.workers, task.worker);
  spread.UpdateRackCounts(worker.rack, worker.domain, false);
  if (spread.workers.empty()) {
    this->spreads.erase(this->spreads.find(task.spread->first));
  }
}

auto IndexState::Link(Slot slot, const RunningTask& task) -> TaskRecord& {
  auto& [id, record] = *this->tasks.try_emplace(task.task).first;
  auto& worker = this->workers[slot];
  const bool is_service = task.task_class == TaskClass::kService;
  record = {.id = &id,
            .spread = is_service ? this->AddToSpread(task.job, slot) : nullptr,
            .declared = task.declared,
            .used = task.declared,
            .started = task.started,
            .previous = nullptr,
            .next = worker.first_task,
            .worker = slot,
            .task_class = task.task_class,
            .is_preemptible = task.is_preemptible};
  if (record.next != nullptr) {
    record.next->previous = &record;
  }
  worker.first_task = &record;
  ++worker.tasks;
  return record;
}

auto IndexState::Unlink(TaskRecord& task) -> void {
  auto& worker = this->workers[task.worker];
  (task.previous != nullptr ? task.previous->next : worker.first_task) =
      task.next;
  if (task.next != nullptr) {
    task.next->previous = task.previous;
  }
  --worker.tasks;
  if (task.spread != nullptr) {
    this->RemoveFromSpread(task);
  }
}

auto IndexState::AddUsageByClass(const TaskRecord& task,
                                 const Resources& amount) -> void {
  auto& worker = this->workers[task.worker];
  if (task.task_class == TaskClass::kService) {
    worker.used_by_services += amount;
  }
  if (task.is_preemptible) {
    worker.used_by_preemptible += amount;
  }
}

auto IndexState::AddTask(Slot slot, const RunningTask& task) -> void {
  this->AddUsage(slot, task.declared);
  this->AddAllocatedTask(slot, task);
}

auto IndexState::AddAllocatedTask(Slot slot, const RunningTask& task) -> void {
  const auto& record = this->Link(slot, task);
  this->AddUsageByClass(record, record.used);
}

auto IndexState::RemoveTask(const TaskId& id) -> bool {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return false;
  }
  auto& task = found->second;
  this->AddUsage(task.worker, Resources{} - task.used);
  this->AddUsageByClass(task, Resources{} - task.used);
  this->Unlink(task);
  this->tasks.erase(found);
  return true;
}

auto IndexState::SetReportedUsage(const TaskId& id, const Resources& reported)
    -> bool {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return false;
  }
  auto& task = found->second;
  const auto used = Max(task.declared, reported);
  const auto change = used - task.used;
  if (change != Resources{}) {
    this->AddUsage(task.worker, change);
    this->AddUsageByClass(task, change);
    task.used = used;
  }
  return true;
}

auto IndexState::AddUsage(Slot slot, const Resources& amount) -> void {
  this->RemoveFromGrid(slot);
  this->workers[slot].used += amount;
  this->AddToGrid(slot);
}

auto IndexState::StartReservation(ReservationRecord new_reservation) -> void {
  this->SetReserved(new_reservation.workers, true);
  this->reservation = std::move(new_reservation);
}

auto IndexState::EndReservation() -> void {
  this->SetReserved(this->reservation->workers, false);
  this->reservation.reset();
}

auto IndexState::SetReserved(std::span<const Slot> reserved_slots,
                             bool reserved) -> void {
  for (const auto slot : reserved_slots) {
    this->RemoveFromGrid(slot);
    this->workers[slot].reserved = reserved;
    this->AddToGrid(slot);
  }
}

}  // namespace shallotbank::placement
