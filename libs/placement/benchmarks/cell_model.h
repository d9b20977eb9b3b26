#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "placement/task.h"
#include "placement/worker.h"

namespace shallotbank::placement {

/// Generates synthetic workers and work, identical for each run with the same
/// seed.
class CellModel {
 public:
  /// `fill` is the share of the cell that 16.4 tasks per worker use.
  CellModel(std::size_t worker_count, double fill, std::uint64_t seed)
      : random(seed) {
    for (std::size_t i = 0; i < worker_count; ++i) {
      this->workers.push_back(this->MakeWorker(i, worker_count));
      this->total += this->workers.back().capacity;
    }
    const double cores = static_cast<double>(this->total.cores_milli) * fill /
                         (kTasksPerWorker * static_cast<double>(worker_count));
    this->scale = cores / kMeanCoresMilli;
  }

  auto Workers() const -> const std::vector<Worker>& { return this->workers; }
  auto Total() const -> const Resources& { return this->total; }

  auto NextBatch() -> TaskRequest {
    auto request = this->MakeRequest(this->NextJob(), 0);
    request.is_preemptible = this->Pick(2) == 0;
    return request;
  }

  /// Services are jobs of 2 to 200 tasks, most of them small.
  auto NextService() -> TaskRequest {
    if (this->service_tasks_left == 0) {
      this->service_job = this->NextJob();
      this->service_need = this->NextNeed();
      const double exponent = 1 + 6.6 * this->Fraction() * this->Fraction();
      this->service_tasks = static_cast<std::size_t>(std::exp2(exponent));
      this->service_tasks_left = this->service_tasks;
    }
    auto request = this->MakeRequest(
        this->service_job, this->service_tasks - this->service_tasks_left--);
    request.need = this->service_need;
    request.task_class = TaskClass::kService;
    return request;
  }

  /// Gangs have 4 to 128 tasks with the same need; one gang in four has a
  /// larger first task.
  auto NextGang() -> GangRequest {
    GangRequest gang;
    gang.job = JobId(this->NextJob());
    const auto need = this->NextNeed();
    const auto count =
        static_cast<std::size_t>(std::exp2(2 + 5 * this->Fraction()));
    for (std::size_t i = 0; i < count; ++i) {
      gang.tasks.push_back({TaskId(MakeTaskId(gang.job.Text(), i)), need});
    }
    if (this->Pick(4) == 0) {
      gang.tasks.front().need = need + need;
    }
    return gang;
  }

  auto Pick(std::uint64_t choices) -> std::uint64_t {
    return std::uniform_int_distribution<std::uint64_t>(
        0, choices - 1)(this->random);
  }

 private:
  static constexpr double kTasksPerWorker = 16.4;
  // Mean of the cores that `NextNeed` returns at scale 1, with its upper bounds
  // applied.
  static constexpr double kMeanCoresMilli = 2330;

  auto Fraction() -> double {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  /// Creates racks of six workers, in 4 failure domains, or in 7 from 3,000
  /// workers on. There are three sizes of workers; one in twenty has
  /// accelerators.
  auto MakeWorker(std::size_t number, std::size_t worker_count) -> Worker {
    static constexpr std::size_t kRackSize = 6;
    const std::size_t domains = worker_count < 3000 ? 4 : 7;
    const auto rack = number / kRackSize;
    const auto kind = this->Pick(10);
    Resources capacity{64'000, 256 * 1024, this->Pick(20) == 0 ? 8 : 0};
    if (kind == 0) {
      capacity = {32'000, 128 * 1024, capacity.accelerators};
    } else if (kind == 1) {
      capacity = {96'000, 256 * 1024, capacity.accelerators};
    }
    return {WorkerId("worker-" + std::to_string(100'000 + number)),
            FailureDomain("domain-" + std::to_string(rack % domains)),
            RackId("rack-" + std::to_string(rack)), capacity};
  }

  auto NextJob() -> std::string {
    return "job-" + std::to_string(10'000'000 + this->next_job++);
  }
  static auto MakeTaskId(const std::string& job, std::size_t number)
      -> std::string {
    return job + "-task-" + std::to_string(number);
  }
  auto MakeRequest(const std::string& job, std::size_t number) -> TaskRequest {
    TaskRequest request;
    request.task = TaskId(MakeTaskId(job, number));
    request.job = JobId(job);
    request.need = this->NextNeed();
    return request;
  }

  /// Returns mostly small needs and a few large ones, with 1 to 7 GiB of memory
  /// per core; one in fifty needs an accelerator.
  auto NextNeed() -> Resources {
    static constexpr std::array<std::pair<double, double>, 6> kCoresMilli{
        {{500, 30}, {1000, 30}, {2000, 20}, {4000, 12}, {8000, 6}, {32000, 2}}};
    double draw = this->Fraction() * 100;
    double cores = 0;
    for (const auto& [amount, weight] : kCoresMilli) {
      cores = amount;
      draw -= weight;
      if (draw < 0) {
        break;
      }
    }
    cores *= this->scale;
    const double memory = cores * (1 + 6 * this->Fraction());
    const auto round = [](double amount, std::int64_t unit) {
      const auto steps = std::llround(amount / static_cast<double>(unit));
      return std::max<std::int64_t>(steps, 1) * unit;
    };
    return {std::min<std::int64_t>(round(cores, 100), 32'000),
            std::min<std::int64_t>(round(memory, 64), 128 * 1024),
            this->Pick(50) == 0 ? 1 : 0};
  }

  std::mt19937_64 random;
  std::vector<Worker> workers;
  Resources total;
  double scale = 1;
  std::uint64_t next_job = 0;
  std::string service_job;
  Resources service_need;
  std::size_t service_tasks = 0;
  std::size_t service_tasks_left = 0;
};

}  // namespace shallotbank::placement
