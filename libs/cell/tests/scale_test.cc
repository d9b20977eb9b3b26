#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

#include "simulated_cell.h"

namespace shallotbank::cell {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSmallCell = 48;
constexpr std::size_t kLargeCell = 384;
constexpr std::size_t kRunningPerWorker = 4;
constexpr std::size_t kWidth = 4;
constexpr int kJobsPerSecond = 40;
constexpr int kRounds = 15;

/// Tasks run longer in a larger cell, so that the same number of starts leaves
/// as many running tasks per worker.
auto MakeCell(std::size_t workers) -> std::unique_ptr<SimulatedCell> {
  const auto running = static_cast<std::int64_t>(workers * kRunningPerWorker);
  const AdvicePolicy advice{microseconds(9000), microseconds(130), seconds(2)};
  return std::make_unique<SimulatedCell>(
      workers, 8,
      std::vector<JobKind>{
          {"q", kJobsPerSecond, 1, kWidth, 10'000,
           milliseconds(1000) * running / (kJobsPerSecond * kWidth), false, 0,
           1.5, seconds(1), advice, 70},
          {"waiting", 0, 1, kWidth, 100'000, seconds(1), false, 1, 4,
           seconds(1), advice, 70}});
}

/// Processor time per event in one short round.
auto CostPerEvent(SimulatedCell& cell) -> double {
  cell.processor_time = Duration();
  cell.events = 0;
  cell.Run(milliseconds(200));
  return std::chrono::duration<double, std::micro>(cell.processor_time)
             .count() /
         static_cast<double>(cell.events);
}

auto Median(std::vector<double> costs) -> double {
  const auto middle = costs.begin() + std::ssize(costs) / 2;
  std::nth_element(costs.begin(), middle, costs.end());
  return *middle;
}

/// A cell whose workers run tasks and in which jobs wait.
auto MakeBusyCell(std::size_t workers, std::size_t waiting_jobs)
    -> std::unique_ptr<SimulatedCell> {
  auto cell = MakeCell(workers);
  const auto running = workers * kRunningPerWorker;
  cell->Run(seconds(1) * running / (kJobsPerSecond * kWidth) + seconds(1));
  BOOST_TEST(cell->Count().assigned_tasks > running * 9 / 10);
  cell->AddJobs(1, waiting_jobs);
  cell->Run(seconds(1));
  return cell;
}

struct ScaleCase {
  const char* name;
  std::size_t waiting_jobs;
};

// The leader ran out of processor time with 350 workers.
BOOST_AUTO_TEST_CASE(cost_per_event_does_not_grow_with_the_workers) {
  const ScaleCase cases[] = {
      {"calm", 0},
      {"2,000 waiting jobs", 2000},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      auto small = MakeBusyCell(kSmallCell, test_case.waiting_jobs);
      auto large = MakeBusyCell(kLargeCell, test_case.waiting_jobs);
      std::vector<double> small_costs;
      std::vector<double> large_costs;
      for (int i = 0; i < kRounds; i++) {
        small_costs.push_back(CostPerEvent(*small));
        large_costs.push_back(CostPerEvent(*large));
      }
      const auto small_cost = Median(std::move(small_costs));
      const auto large_cost = Median(std::move(large_costs));
      BOOST_TEST_MESSAGE(test_case.name << ": " << small_cost << " us with "
                                        << kSmallCell << " workers, "
                                        << large_cost << " us with "
                                        << kLargeCell);
      BOOST_TEST(large_cost < 2 * small_cost);
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
