#include <boost/test/unit_test.hpp>

#include <ctime>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;

/// Other hosts claim the leadership after this time without a renewal, which
/// happens between two calls of the scheduler. Allowed in processor time of any
/// build, sanitizers included.
constexpr milliseconds kLongestCall(1500);

/// Calls `function` and returns the processor time that it took.
template <typename Function>
auto ProcessorTime(Function function) -> milliseconds {
  const auto before = std::clock();
  function();
  return milliseconds((std::clock() - before) * 1000 / CLOCKS_PER_SEC);
}

struct LargeStepCase {
  const char* name;
  std::size_t workers;
  std::size_t tasks;
  std::size_t max_per_worker;
  bool is_gang;
};

// A step of 10,000 tasks with a limit per worker kept each leader in one
// placement pass until it had lost its office.
BOOST_AUTO_TEST_CASE(a_large_step_is_placed_in_short_passes) {
  const LargeStepCase cases[] = {
      {"limit per worker", 48, 10'000, 250, false},
      {"limit per worker that leaves tasks without a place", 48, 10'000, 100,
       false},
      {"no limit", 540, 20'000, 0, false},
      {"gang with a limit per worker", 48, 10'000, 250, true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell;
      for (std::size_t i = 0; i < test_case.workers; i++) {
        cell.AddWorker("w" + std::to_string(i));
      }
      auto job =
          cell.Job("5c0e7a2100000001", test_case.tasks, 100, test_case.is_gang);
      job.steps[0].demand.memory_mib = 10;
      job.steps[0].max_per_worker = test_case.max_per_worker;
      cell.scheduler.OnJob(job, {}, cell.clock.Now());
      const auto room =
          test_case.max_per_worker == 0
              ? test_case.tasks
              : std::min(test_case.tasks,
                         test_case.workers * test_case.max_per_worker);
      milliseconds longest{};
      for (int pass = 0;
           pass < 100 && cell.scheduler.Count().assigned_tasks < room; pass++) {
        longest = std::max(longest, ProcessorTime([&] { cell.Decide(); }));
        BOOST_REQUIRE(longest < kLongestCall);
        cell.Store();
      }
      BOOST_TEST_MESSAGE(test_case.name << ": longest pass " << longest.count()
                                        << " ms");
      BOOST_TEST(cell.scheduler.Count().assigned_tasks == room);
      cell.Decide();
      BOOST_TEST(cell.scheduler.Count().assigned_tasks == room);
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
