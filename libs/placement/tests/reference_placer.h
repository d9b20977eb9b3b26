#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/placer.h"

namespace shallotbank::placement {

/// A reference implementation that scans all workers for each decision, slow
/// but simple enough to be verified by reading. It only selects workers; the
/// caller commits.
class ReferencePlacer {
 public:
  struct Task {
    RunningTask running;
    Resources reported;
    auto Use() const -> Resources {
      return Max(this->running.declared, this->reported);
    }
  };
  struct Worker {
    placement::Worker known;
    bool leaving = false;
    bool unreachable = false;
    bool quarantined = false;
    bool reserved = false;
    Resources used{};  ///< Cached, as the benchmark scans 11,000 workers.
    std::unordered_map<std::string, Task> tasks{};

    auto FreeCapacity() const -> Resources {
      return this->known.capacity - this->used;
    }
    auto IsLive() const -> bool {
      return !this->leaving && !this->unreachable && !this->quarantined;
    }
    auto HasCapacityFor(const Resources& need) const -> bool {
      return this->FreeCapacity().IsNonNegative() &&
             need.FitsIn(this->FreeCapacity());
    }
  };
  using Position = std::size_t;
  /// A smaller value is better; the position is the order of insertion.
  using Fit = std::tuple<std::int64_t, std::int64_t, Position>;

  static auto FitOf(const Resources& free_capacity, Position position) -> Fit {
    return {free_capacity.accelerators,
            4 * free_capacity.cores_milli + free_capacity.memory_mib, position};
  }

  auto FindPacked(const TaskRequest& request, bool reserved = false) const
      -> std::optional<Position> {
    std::optional<Fit> best;
    for (Position i = 0; i < this->workers.size(); ++i) {
      const auto& worker = this->workers[i];
      if (worker.IsLive() && worker.reserved == reserved &&
          worker.HasCapacityFor(request.need) && !IsExcluded(worker, request)) {
        const auto fit = FitOf(worker.FreeCapacity(), i);
        best = best ? std::min(*best, fit) : fit;
      }
    }
    return best ? std::optional(std::get<2>(*best)) : std::nullopt;
  }

  auto FindSpread(const TaskRequest& request) const -> std::optional<Position> {
    std::map<FailureDomainText, int> domains;
    std::map<std::pair<FailureDomainText, std::string>, int> racks;
    std::vector<int> counts;
    for (const auto& worker : this->workers) {
      const auto count = static_cast<int>(std::count_if(
          worker.tasks.begin(), worker.tasks.end(), [&](const auto& entry) {
            return entry.second.running.task_class == TaskClass::kService &&
                   entry.second.running.job == request.job;
          }));
      counts.push_back(count);
      domains[worker.known.domain.Text()] += count;
      racks[RackOf(worker)] += count;
    }
    using Key = std::tuple<int, int, int, Fit>;
    std::optional<Key> best;
    for (Position i = 0; i < this->workers.size(); ++i) {
      const auto& worker = this->workers[i];
      if (worker.IsLive() && !worker.reserved &&
          worker.HasCapacityFor(request.need) && !IsExcluded(worker, request)) {
        const Key key(domains[worker.known.domain.Text()],
                      racks[RackOf(worker)], counts[i],
                      FitOf(worker.FreeCapacity(), i));
        best = best ? std::min(*best, key) : key;
      }
    }
    return best ? std::optional(std::get<2>(std::get<3>(*best))) : std::nullopt;
  }

  /// Returns a position for each task, or nothing. Places the largest task
  /// first, each by a full scan, and restores the use of the workers
  /// afterwards.
  auto FindGang(const GangRequest& gang)
      -> std::optional<std::vector<Position>> {
    std::vector<std::size_t> order(gang.tasks.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
      return SizeOf(gang.tasks[a].need) > SizeOf(gang.tasks[b].need);
    });
    std::vector<Resources> saved;
    for (auto& worker : this->workers) {
      saved.push_back(worker.used);
      if (worker.reserved && gang.job == this->reservation_holder) {
        worker.reserved = false;
        this->reopened.push_back(&worker);
      }
    }
    std::vector<Position> chosen(gang.tasks.size());
    bool placed = true;
    for (const auto i : order) {
      TaskRequest request;
      request.need = gang.tasks[i].need;
      const auto found = this->FindPacked(request);
      if (!found) {
        placed = false;
        break;
      }
      chosen[i] = *found;
      this->workers[*found].used += gang.tasks[i].need;
    }
    for (Position i = 0; i < this->workers.size(); ++i) {
      this->workers[i].used = saved[i];
    }
    for (auto* worker : this->reopened) {
      worker->reserved = true;
    }
    this->reopened.clear();
    return placed ? std::optional(chosen) : std::nullopt;
  }

  auto Place(const TaskRequest& request) const -> std::optional<Position> {
    auto found = request.task_class == TaskClass::kService
                     ? this->FindSpread(request)
                     : this->FindPacked(request);
    if (!found && request.is_urgent) {
      found = this->FindPacked(request, true);
    }
    return found;
  }

  auto Commit(Position position, const RunningTask& task) -> void {
    auto& worker = this->workers[position];
    worker.tasks[task.task.Text()] = {task, {}};
    worker.used += task.declared;
    this->locations[task.task.Text()] = worker.known.id.Text();
  }
  auto Release(const std::string& task) -> bool {
    auto* worker = this->WorkerOf(task);
    if (worker == nullptr) {
      return false;
    }
    worker->used -= worker->tasks.at(task).Use();
    worker->tasks.erase(task);
    this->locations.erase(task);
    return true;
  }
  auto Report(const std::string& task, const Resources& reported) -> bool {
    auto* worker = this->WorkerOf(task);
    if (worker == nullptr) {
      return false;
    }
    auto& record = worker->tasks.at(task);
    worker->used -= record.Use();
    record.reported = Max(reported, {});
    worker->used += record.Use();
    return true;
  }
  auto Find(const std::string& id) -> Worker* {
    const auto found =
        std::find_if(this->workers.begin(), this->workers.end(),
                     [&](const auto& w) { return w.known.id.Text() == id; });
    return found == this->workers.end() ? nullptr : &*found;
  }
  auto WorkerOf(const std::string& task) -> Worker* {
    const auto found = this->locations.find(task);
    return found == this->locations.end() ? nullptr : this->Find(found->second);
  }

  std::vector<Worker> workers;  ///< In order of insertion.
  std::unordered_map<std::string, std::string> locations;
  JobId reservation_holder;

 private:
  using FailureDomainText = std::string;

  static auto SizeOf(const Resources& need)
      -> std::tuple<std::int64_t, std::int64_t, std::int64_t> {
    return {need.accelerators, 4 * need.cores_milli + need.memory_mib,
            need.cores_milli};
  }
  static auto RackOf(const Worker& worker)
      -> std::pair<FailureDomainText, std::string> {
    return {worker.known.domain.Text(), worker.known.rack.Text()};
  }
  static auto IsExcluded(const Worker& worker, const TaskRequest& request)
      -> bool {
    return std::find(request.excluded.begin(), request.excluded.end(),
                     worker.known.id) != request.excluded.end();
  }

  std::vector<Worker*> reopened;
};

}  // namespace shallotbank::placement
