#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "crashing_cell.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The last ones gave up an innocent job, or started a deadly task too often.
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6, 13, 34, 36, 48};
// The limit of the platform: three starts and two more.
constexpr int kMaxStarts = 5;

struct LeaderCase {
  const char* name;
  Return how;
  bool is_gang;
  bool is_unanswered;
  int lost_leaders;
  milliseconds time_without_leader;
};

// Guards against crashes that are forgotten when the leader is lost before it
// notices them.
BOOST_AUTO_TEST_CASE(crashes_are_counted_although_the_leader_is_lost) {
  const LeaderCase cases[] = {
      {"once", Return::kSameId, false, false, 1, milliseconds(0)},
      {"three times", Return::kSameId, false, false, 3, milliseconds(0)},
      {"at each crash", Return::kSameId, false, false, 100, milliseconds(0)},
      {"workers under other ids", Return::kOtherId, false, false, 100,
       milliseconds(500)},
      {"workers that left the list meanwhile", Return::kOtherId, false, false,
       100, milliseconds(2500)},
      {"workers that stay away", Return::kGone, false, false, 100,
       milliseconds(500)},
      {"a member of a gang", Return::kOtherId, true, false, 100,
       milliseconds(500)},
      {"unanswered starts", Return::kSameId, false, true, 100, milliseconds(0)},
      {"unanswered starts, a lasting leader", Return::kSameId, false, true, 0,
       milliseconds(0)},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      CrashingCell cell(16, test_case.how);
      cell.Run(seconds(1));
      const auto deadly = FirstTask("deadly");
      cell.deadly = {deadly};
      if (test_case.is_unanswered) {
        cell.unanswered = {deadly};
      }
      for (int i = 0; i < 20; i++) {
        cell.Submit("innocent" + std::to_string(i), 3, i % 4 == 0);
      }
      cell.Submit("deadly", 3, test_case.is_gang);
      for (int seen = 0, ticks = 0; ticks < 6000 && !cell.HasEnded(); ticks++) {
        cell.Run(milliseconds(20));
        if (cell.crashes[deadly] > seen) {
          seen = cell.crashes[deadly];
          if (seen <= test_case.lost_leaders) {
            cell.ChangeLeader(test_case.time_without_leader);
          }
        }
      }
      cell.RunUntilEnded(seconds(0));
      BOOST_TEST((cell.StateOf("deadly") == JobState::kFailed));
      BOOST_TEST(cell.starts[deadly] <= kMaxStarts);
      for (int i = 0; i < 20; i++) {
        BOOST_TEST((cell.StateOf("innocent" + std::to_string(i)) ==
                    JobState::kCompleted));
      }
    }
  }
}

/// What happens at random besides the crashes of deadly tasks.
struct SeriesCase {
  const char* name;
  Return how;
  int deadly_percent;         ///< Of the jobs.
  milliseconds change_after;  ///< Longest time between changes of the leader.
  milliseconds crash_after;   ///< The same for other crashes; 0: none.
  milliseconds store_delay{};
};

// Tasks that crash their workers are given up in time, and no other task is,
// whatever the moments at which leaders and workers are lost.
BOOST_AUTO_TEST_CASE(series_of_leaders_do_not_blame_the_innocent) {
  const SeriesCase cases[] = {
      {"deadly tasks", Return::kOtherId, 20, milliseconds(4000),
       milliseconds(0)},
      {"deadly tasks, under the same ids", Return::kSameId, 20,
       milliseconds(4000), milliseconds(0)},
      {"other crashes as well", Return::kOtherId, 10, milliseconds(3000),
       milliseconds(2000)},
      {"other crashes only", Return::kSameId, 0, milliseconds(3000),
       milliseconds(500)},
      {"workers that are cut off", Return::kCutOff, 0, milliseconds(2000),
       milliseconds(400)},
      {"a slow store", Return::kOtherId, 20, milliseconds(6000),
       milliseconds(2000), milliseconds(500)},
      {"leaders that hardly last", Return::kOtherId, 10, milliseconds(1500),
       milliseconds(1500)},
  };
  for (const auto& test_case : cases) {
    for (const auto seed : kSeeds) {
      BOOST_TEST_CONTEXT(test_case.name << ", seed " << seed) {
        std::mt19937_64 random(seed);
        const auto until = [&random](milliseconds most) {
          return milliseconds(
              1 + static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(most.count())));
        };
        CrashingCell cell(24, test_case.how);
        cell.store_delay = test_case.store_delay;
        cell.Run(seconds(1));
        std::vector<std::string> jobs;
        auto change_in = until(test_case.change_after);
        auto crash_in = test_case.crash_after;
        for (milliseconds time{}; time < seconds(30);
             time += milliseconds(20)) {
          cell.Run(milliseconds(20));
          if (time < seconds(15) && random() % 12 == 0) {
            jobs.push_back("job" + std::to_string(jobs.size()));
            if (random() % 100 <
                static_cast<std::uint64_t>(test_case.deadly_percent)) {
              cell.deadly.insert(FirstTask(jobs.back()));
              if (random() % 4 == 0) {
                cell.unanswered.insert(FirstTask(jobs.back()));
              }
            }
            cell.Submit(jobs.back(), 1 + random() % 4, random() % 6 == 0);
          }
          change_in -= milliseconds(20);
          if (change_in <= milliseconds(0)) {
            change_in = until(test_case.change_after) + milliseconds(300);
            cell.ChangeLeader(until(milliseconds(1000)));
          }
          crash_in -= milliseconds(20);
          if (test_case.crash_after > milliseconds(0) &&
              crash_in <= milliseconds(0)) {
            crash_in = until(test_case.crash_after);
            cell.CrashAny(static_cast<std::size_t>(random()));
          }
        }
        cell.RunUntilEnded(seconds(90));
        for (const auto& job : jobs) {
          const auto task = FirstTask(job);
          const bool is_deadly = cell.deadly.contains(task);
          BOOST_TEST_CONTEXT(job << (is_deadly ? ", deadly" : "")) {
            BOOST_TEST(
                (cell.StateOf(job) ==
                 (is_deadly ? JobState::kFailed : JobState::kCompleted)));
            if (is_deadly) {
              BOOST_TEST(cell.starts[task] <= kMaxStarts);
            }
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
