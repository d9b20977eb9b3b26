#pragma once

#include <malloc.h>
#include <time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell_model.h"
#include "placement/placer.h"
#include "reference_placer.h"

namespace shallotbank::placement {

inline constexpr TimePoint kBenchStart{std::chrono::hours(1)};

/// Returns the number of bytes that the process has allocated.
inline auto AllocatedBytes() -> std::size_t {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Durations of decisions. The CPU time of the thread excludes the time in
/// which other processes held the core; the wall clock time includes it.
struct DecisionTimes {
  std::vector<Duration> cpu;
  std::vector<Duration> wall;
};

inline auto ThreadCpuTime() -> Duration {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

/// Runs `work` and adds its duration to `times`.
template <typename Work>
auto MeasureTime(DecisionTimes& times, const Work& work) {
  const auto wall_start = std::chrono::steady_clock::now();
  const auto cpu_start = ThreadCpuTime();
  auto result = work();
  times.cpu.push_back(ThreadCpuTime() - cpu_start);
  times.wall.push_back(std::chrono::steady_clock::now() - wall_start);
  return result;
}

/// A cell with the real index and, if started, the reference placer kept in
/// step.
class BenchCell {
 public:
  struct Placed {
    RunningTask task;
    std::size_t worker;  ///< Index in `CellModel::Workers`.
  };

  explicit BenchCell(CellModel& cell_model) : model(cell_model) {
    const auto& workers = this->model.Workers();
    this->index.Reserve(workers.size(), 20 * workers.size());
    for (std::size_t i = 0; i < workers.size(); ++i) {
      this->positions.emplace(workers[i].id, i);
      if (!this->index.PutWorker(workers[i])) {
        std::abort();
      }
    }
  }

  auto Commit(const RunningTask& task, const WorkerId& worker) -> void {
    const auto position = this->positions.at(worker);
    this->tasks.push_back({task, position});
    this->used += task.declared;
    if (this->reference) {
      this->reference->Commit(position, task);
    }
  }
  auto Commit(const TaskRequest& request, const WorkerId& worker) -> void {
    this->Commit(RunningTask{.task = request.task,
                             .job = request.job,
                             .declared = request.need,
                             .task_class = request.task_class,
                             .is_preemptible = request.is_preemptible,
                             .started = this->now},
                 worker);
  }
  auto Commit(const GangRequest& gang, const std::vector<Placement>& placements)
      -> void {
    for (std::size_t i = 0; i < placements.size(); ++i) {
      this->Commit(RunningTask{.task = gang.tasks[i].task,
                               .job = gang.job,
                               .declared = gang.tasks[i].need,
                               .task_class = TaskClass::kGang,
                               .is_preemptible = false,
                               .started = this->now},
                   placements[i].worker);
    }
  }

  auto ReleaseRandom() -> void {
    auto& chosen = this->tasks[this->model.Pick(this->tasks.size())];
    std::swap(chosen, this->tasks.back());
    const auto& last = this->tasks.back();
    this->index.Release(last.task.task);
    this->used -= last.task.declared;
    if (this->reference) {
      this->reference->Release(last.task.task.Text());
    }
    this->tasks.pop_back();
  }

  /// Returns the larger of the allocated shares of cores and memory.
  auto Fill() const -> double {
    auto total = this->model.Total();
    total.accelerators = 0;
    return DominantShare(this->used, total);
  }

  /// Places batch and service tasks up to `fill`, or until so many consecutive
  /// tasks are refused that the cell counts as full.
  auto FillUpTo(double fill) -> void {
    constexpr int kRefusals = 2000;
    for (int refused = 0; this->Fill() < fill && refused < kRefusals;) {
      const auto request = this->model.Pick(5) == 0 ? this->model.NextService()
                                                    : this->model.NextBatch();
      this->now += std::chrono::milliseconds(1);
      const auto decision = this->placer.Place(request, this->now);
      if (decision) {
        this->Commit(request, decision.Value());
        refused = 0;
      } else {
        ++refused;
      }
    }
  }

  auto StartReference() -> void {
    this->reference.emplace();
    for (const auto& worker : this->model.Workers()) {
      this->reference->workers.push_back({.known = worker});
    }
    for (const auto& placed : this->tasks) {
      this->reference->Commit(placed.worker, placed.task);
    }
  }

  // NOLINTNEXTLINE(cppcoreguidelines-avoid-const-or-ref-data-members)
  CellModel& model;
  WorkerIndex index;
  Placer placer{index};
  std::optional<ReferencePlacer> reference;
  std::vector<Placed> tasks;
  std::unordered_map<WorkerId, std::size_t> positions;
  Resources used;
  TimePoint now = kBenchStart;
};

}  // namespace shallotbank::placement
