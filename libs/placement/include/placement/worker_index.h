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

/// The workers of a shard and what is placed on them. New work is added by
/// `Placer` only, which decides and commits in one step. Not safe for use by
/// several threads.
class WorkerIndex {
 public:
  WorkerIndex();
  ~WorkerIndex();
  WorkerIndex(WorkerIndex&&) noexcept;
  auto operator=(WorkerIndex&&) noexcept -> WorkerIndex&;
  WorkerIndex(const WorkerIndex&) = delete;
  auto operator=(const WorkerIndex&) -> WorkerIndex& = delete;

  /// Allocates tables ahead, so that no decision waits while they grow.
  auto Reserve(std::size_t workers, std::size_t tasks) -> void;

  /// Adds a live worker, or changes the capacity, domain and rack of a known
  /// one. Tasks and state of a known worker stay. Errors: `IndexError`.
  auto PutWorker(const Worker& worker) -> boost::leaf::result<void>;
  /// Removes the worker and returns the tasks that were on it, which the
  /// index then no longer knows.
  auto RemoveWorker(const WorkerId& id) -> std::vector<TaskId>;
  /// Each of these changes one reason for which a worker gets no new work;
  /// they are independent. False if the worker is not known.
  auto SetLeaving(const WorkerId& id, bool leaving) -> bool;
  auto SetUnreachable(const WorkerId& id, bool unreachable) -> bool;
  auto SetQuarantined(const WorkerId& id, bool quarantined) -> bool;

  /// Adds a task that already runs on the worker, even if this exceeds the
  /// capacity; the worker then gets nothing until it has room again. Errors:
  /// `IndexError`, and the task is not added.
  auto RecordRunning(const WorkerId& worker, const RunningTask& task)
      -> boost::leaf::result<void>;
  /// Gives back what the task holds. False if it is not known.
  auto Release(const TaskId& task) -> bool;
  /// Takes the task's latest report of its use, in place of earlier ones. The
  /// task holds max(declared, reported) in each dimension. Amounts below zero
  /// count as zero, those above `kLargestAmount` as that. False if the task is
  /// not known, as with a report that arrives after the end of the task.
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
