#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <boost/leaf.hpp>

#include "base/ids.h"
#include "base/resources.h"
#include "placement/task.h"
#include "placement/worker.h"

namespace shallotbank::placement {

class IndexState;

/// Error object of `WorkerIndex`.
enum class IndexError : std::uint8_t {
  kInvalidAmount,
  kEmptyId,
  kUnknownWorker,
  kAlreadyPlaced,
};

/// The workers of a shard and the tasks placed on them. New work is added by
/// `Placer` only, which decides and commits in one step. Not thread-safe.
class WorkerIndex {
 public:
  WorkerIndex();
  ~WorkerIndex();
  WorkerIndex(WorkerIndex&&) noexcept;
  auto operator=(WorkerIndex&&) noexcept -> WorkerIndex&;
  WorkerIndex(const WorkerIndex&) = delete;
  auto operator=(const WorkerIndex&) -> WorkerIndex& = delete;

  /// Preallocates the tables, so that no decision is delayed by a rehash.
  auto Reserve(std::size_t workers, std::size_t tasks) -> void;

  /// Adds a live worker, or updates the capacity, failure domain and rack of a
  /// known one, which keeps its tasks and state. Errors: `IndexError`.
  auto PutWorker(const Worker& worker) -> boost::leaf::result<void>;
  /// Removes the worker together with its tasks and returns these tasks.
  auto RemoveWorker(const WorkerId& id) -> std::vector<TaskId>;
  /// Each of these functions sets or clears one condition under which a worker
  /// receives no new work; the conditions are independent. Returns false if the
  /// worker is unknown.
  auto SetLeaving(const WorkerId& id, bool leaving) -> bool;
  auto SetUnreachable(const WorkerId& id, bool unreachable) -> bool;
  auto SetQuarantined(const WorkerId& id, bool quarantined) -> bool;

  /// Adds a task that already runs on the worker, even if it exceeds the
  /// capacity; the worker then receives no new work until it has free capacity
  /// again. Errors: `IndexError`, in which case the task is not added.
  auto RecordRunning(const WorkerId& worker, const RunningTask& task)
      -> boost::leaf::result<void>;
  /// Releases the resources of the task. Returns false if the task is unknown.
  auto Release(const TaskId& task) -> bool;
  /// Replaces the task's reported use. The task is charged max(declared,
  /// reported) in each dimension. Amounts are clamped to the range from zero to
  /// `kLargestAmount`. Returns false if the task is unknown, as with a report
  /// that arrives after the task has ended.
  auto ReportUsage(const TaskId& task, const Resources& reported) -> bool;

  auto FindWorker(const WorkerId& id) const -> std::optional<WorkerStatus>;
  auto FindTask(const TaskId& task) const -> std::optional<WorkerId>;
  auto TasksOn(const WorkerId& id) const -> std::vector<TaskId>;
  auto Workers() const -> std::vector<WorkerStatus>;
  auto WorkerCount() const -> std::size_t;
  auto TaskCount() const -> std::size_t;

 private:
  friend class Placer;
  std::unique_ptr<IndexState> state;
};

}  // namespace shallotbank::placement
