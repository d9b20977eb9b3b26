#include <boost/test/unit_test.hpp>

#include <algorithm>
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

/// Tasks run longer in a larger cell, so that the same number of starts leaves
/// as many running tasks per worker.
auto MakeCell(std::size_t workers) -> SimulatedCell {
  const auto running = static_cast<std::int64_t>(workers * kRunningPerWorker);
  const AdvicePolicy advice{microseconds(9000), microseconds(130), seconds(2)};
  return {workers,
          8,
          {{"q", kJobsPerSecond, 1, kWidth, 10'000,
            milliseconds(1000) * running / (kJobsPerSecond * kWidth), false, 0,
            1.5, seconds(1), advice, 70},
           {"waiting", 0, 1, kWidth, 100'000, seconds(1), false, 1, 4,
            seconds(1), advice, 70}}};
}

/// Processor time per event, the median of short rounds.
auto CostPerEvent(SimulatedCell& cell) -> double {
  constexpr int kRounds = 15;
  std::vector<double> costs;
  for (int i = 0; i < kRounds; i++) {
    cell.processor_time = Duration();
    cell.events = 0;
    cell.Run(milliseconds(200));
    costs.push_back(std::chrono::duration<double>(cell.processor_time).count() /
                    static_cast<double>(cell.events));
  }
  std::nth_element(costs.begin(), costs.begin() + kRounds / 2, costs.end());
  return costs[kRounds / 2];
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
      std::vector<double> costs;
      for (const auto workers : {kSmallCell, kLargeCell}) {
        auto cell = MakeCell(workers);
        const auto running = workers * kRunningPerWorker;
        cell.Run(seconds(1) * running / (kJobsPerSecond * kWidth) + seconds(1));
        BOOST_TEST(cell.Count().assigned_tasks > running * 9 / 10);
        cell.AddJobs(1, test_case.waiting_jobs);
        cell.Run(seconds(1));
        costs.push_back(CostPerEvent(cell));
      }
      BOOST_TEST(costs[1] < 2 * costs[0]);
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
