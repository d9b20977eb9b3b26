#include <ostream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kJobs = 60;

struct Case {
  std::size_t advisors;
  /// Advisors that stay free of long queries.
  std::size_t reserved;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.advisors << " advisors";
}

const std::vector<Case> kCases{{1, 0}, {3, 1}, {6, 2}, {12, 4}, {40, 4}};

// Guards against a large cell in which a third of the advisors stays idle while
// long queries wait.
BOOST_DATA_TEST_CASE(LongQueriesLeaveFewAdvisorsFree, kCases, c) {
  SchedulerFixture cell;
  cell.scheduler.SetAdvisors(c.advisors);
  const auto long_queue = cell.queue.name;
  cell.queue.advice =
      AdvicePolicy{milliseconds(300), milliseconds(4), milliseconds(2000)};
  cell.Configure();
  for (std::size_t i = 0; i < kJobs; i++) {
    cell.scheduler.OnJob(cell.Job("long-" + std::to_string(i), 1, 1000), {},
                         cell.clock.Now());
  }
  cell.AddWorker("w1", 64'000);
  BOOST_TEST(cell.Decide().advice.size() == c.advisors - c.reserved);

  cell.queue.name = QueueName("short");
  cell.queue.advice =
      AdvicePolicy{milliseconds(9), milliseconds(1), milliseconds(2000)};
  cell.Configure();
  for (std::size_t i = 0; i < c.reserved; i++) {
    cell.scheduler.OnJob(cell.Job("short-" + std::to_string(i), 1, 1000), {},
                         cell.clock.Now());
  }
  cell.queue.name = long_queue;
  BOOST_TEST(cell.Decide().advice.size() == c.reserved);
}

}  // namespace
}  // namespace shallotbank::cell
