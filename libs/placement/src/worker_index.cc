#include "placement/worker_index.h"

#include <algorithm>

#include "index_state.h"
#include "need.h"

namespace shallotbank::placement {

namespace leaf = boost::leaf;

WorkerIndex::WorkerIndex() : state(std::make_unique<IndexState>()) {}
WorkerIndex::~WorkerIndex() = default;
WorkerIndex::WorkerIndex(WorkerIndex&&) noexcept = default;
auto WorkerIndex::operator=(WorkerIndex&&) noexcept -> WorkerIndex& = default;

auto WorkerIndex::Reserve(std::size_t workers, std::size_t tasks) -> void {
  this->state->Reserve(workers, tasks);
}

auto WorkerIndex::PutWorker(const Worker& worker) -> leaf::result<void> {
  if (worker.id.IsEmpty()) {
    return leaf::new_error(IndexError::kEmptyId);
  }
  if (!IsValidAmount(worker.capacity)) {
    return leaf::new_error(IndexError::kInvalidAmount);
  }
  this->state->PutWorker(worker);
  return {};
}

auto WorkerIndex::RemoveWorker(const WorkerId& id) -> std::vector<TaskId> {
  const auto slot = this->state->FindWorker(id);
  return slot == kNoSlot ? std::vector<TaskId>()
                         : this->state->RemoveWorker(slot);
}

auto WorkerIndex::SetLeaving(const WorkerId& id, bool leaving) -> bool {
  return this->state->SetFlag(id, &WorkerRecord::leaving, leaving);
}

auto WorkerIndex::SetUnreachable(const WorkerId& id, bool unreachable) -> bool {
  return this->state->SetFlag(id, &WorkerRecord::unreachable, unreachable);
}

auto WorkerIndex::SetQuarantined(const WorkerId& id, bool quarantined) -> bool {
  return this->state->SetFlag(id, &WorkerRecord::quarantined, quarantined);
}

auto WorkerIndex::RecordRunning(const WorkerId& worker, const RunningTask& task)
    -> leaf::result<void> {
  const auto slot = this->state->FindWorker(worker);
  if (slot == kNoSlot) {
    return leaf::new_error(IndexError::kUnknownWorker);
  }
  if (task.task.IsEmpty()) {
    return leaf::new_error(IndexError::kEmptyId);
  }
  if (!IsValidAmount(task.declared)) {
    return leaf::new_error(IndexError::kInvalidAmount);
  }
  if (this->state->FindTask(task.task) != nullptr) {
    return leaf::new_error(IndexError::kAlreadyPlaced);
  }
  this->state->AddTask(slot, task);
  return {};
}

auto WorkerIndex::Release(const TaskId& task) -> bool {
  return this->state->RemoveTask(task);
}

auto WorkerIndex::ReportUsage(const TaskId& task, const Resources& reported)
    -> bool {
  return this->state->SetReportedUsage(task, ClampAmount(reported));
}

auto WorkerIndex::FindWorker(const WorkerId& id) const
    -> std::optional<WorkerStatus> {
  const auto slot = this->state->FindWorker(id);
  if (slot == kNoSlot) {
    return std::nullopt;
  }
  return this->state->Describe(slot);
}

auto WorkerIndex::FindTask(const TaskId& task) const
    -> std::optional<WorkerId> {
  const auto* record = this->state->FindTask(task);
  if (record == nullptr) {
    return std::nullopt;
  }
  return this->state->At(record->worker).id;
}

auto WorkerIndex::TasksOn(const WorkerId& id) const -> std::vector<TaskId> {
  std::vector<TaskId> tasks;
  const auto slot = this->state->FindWorker(id);
  if (slot != kNoSlot) {
    for (const auto* task = this->state->At(slot).first_task; task != nullptr;
         task = task->next) {
      tasks.push_back(*task->id);
    }
  }
  return tasks;
}

auto WorkerIndex::Workers() const -> std::vector<WorkerStatus> {
  std::vector<WorkerStatus> workers;
  workers.reserve(this->WorkerCount());
  for (Slot slot = 0; slot < this->state->Slots(); ++slot) {
    if (this->state->At(slot).present) {
      workers.push_back(this->state->Describe(slot));
    }
  }
  return workers;
}

auto WorkerIndex::WorkerCount() const -> std::size_t {
  return this->state->WorkerCount();
}

auto WorkerIndex::TaskCount() const -> std::size_t {
  return this->state->TaskCount();
}

}  // namespace shallotbank::placement
