#include "crashing_cell.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>
#include <string>

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DeadlyCase {
  const char* name;
  Return how;
  bool is_gang;
  bool changes_leader;
  int most_crashes;
};

// Guards against a task that crashes worker after worker. The jobs whose tasks
// shared these workers are done.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up) {
  const DeadlyCase cases[] = {
      {"workers return under their ids", Return::kSameId, false, false, 3},
      {"workers return under other ids", Return::kOtherId, false, false, 3},
      {"workers stay away", Return::kGone, false, false, 3},
      {"a member of a gang", Return::kOtherId, true, false, 3},
      {"the leader changes after each crash", Return::kSameId, false, true, 4},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      CrashingCell cell(12, test_case.how);
      cell.Run(seconds(1));
      const auto deadly = FirstTask("deadly");
      cell.deadly = {deadly};
      for (int i = 0; i < 20; i++) {
        cell.Submit("innocent" + std::to_string(i), 3, i % 4 == 0);
      }
      cell.Submit("deadly", 3, test_case.is_gang);
      for (int i = 0; i < 8; i++) {
        cell.Run(seconds(5));
        if (test_case.changes_leader && i < 2) {
          cell.ChangeLeader();
        }
      }
      BOOST_TEST((cell.StateOf("deadly") == JobState::kFailed));
      BOOST_TEST(cell.crashes[deadly] >= 2);
      BOOST_TEST(cell.crashes[deadly] <= test_case.most_crashes);
      for (int i = 0; i < 20; i++) {
        BOOST_TEST((cell.StateOf("innocent" + std::to_string(i)) ==
                    JobState::kCompleted));
      }
    }
  }
}

struct InnocentCase {
  const char* name;
  Return how;
  milliseconds interval;  ///< Between the losses of workers.
};

// Workers that crash by themselves, or are cut off, say nothing about the tasks
// that run there, however often it happens.
BOOST_AUTO_TEST_CASE(tasks_are_not_blamed_for_the_loss_of_their_workers) {
  const InnocentCase cases[] = {
      {"workers crash", Return::kSameId, milliseconds(700)},
      {"workers are replaced", Return::kOtherId, milliseconds(700)},
      {"workers are cut off", Return::kCutOff, milliseconds(700)},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      CrashingCell cell(8, test_case.how);
      cell.Run(seconds(1));
      for (int i = 0; i < 30; i++) {
        cell.Submit("job" + std::to_string(i), 4);
        if (i % 3 == 0) {
          cell.CrashAny(static_cast<std::size_t>(i));
        }
        cell.Run(test_case.interval);
      }
      cell.Run(seconds(25));
      for (int i = 0; i < 30; i++) {
        BOOST_TEST(
            (cell.StateOf("job" + std::to_string(i)) == JobState::kCompleted));
      }
    }
  }
}

// The count of crashes outlives a change of the leader.
BOOST_AUTO_TEST_CASE(crashes_are_stored_with_the_progress) {
  for (const auto phase : {TaskPhase::kWaiting, TaskPhase::kAssigned}) {
    for (const int crashes : {0, 3}) {
      TaskProgress task;
      task.phase = phase;
      task.run = 4;
      task.crashes = crashes;
      task.crashed_run = crashes;
      task.possible_crashes = crashes / 2;
      task.worker = {WorkerId("w1"), 7};
      task.assigned_at = {5, 6, milliseconds(1234)};
      JobProgress progress;
      progress.state = JobState::kRunning;
      progress.occurrences = {{0, {{task}}}};
      const auto read = DecodeProgress(EncodeProgress(progress));
      BOOST_REQUIRE(read.has_value());
      const auto& again = read->occurrences.at(0).steps.at(0).at(0);
      BOOST_TEST(again.crashes == crashes);
      BOOST_TEST(again.crashed_run == crashes);
      BOOST_TEST(again.possible_crashes == crashes / 2);
      BOOST_TEST((again.assigned_at == task.assigned_at ||
                  phase == TaskPhase::kWaiting));
      BOOST_TEST(again.run == 4);
      BOOST_TEST((again.phase == phase));
    }
  }
}

struct FormerRecordCase {
  const char* name;
  nlohmann::json task;
  int crashes;
};

// Guards against records that a leader of an earlier release wrote.
BOOST_AUTO_TEST_CASE(tasks_of_earlier_releases_are_read) {
  const FormerRecordCase cases[] = {
      {"waiting", {0, 4, 1, "c"}, 0},
      {"waiting after crashes", {0, 4, 1, "c", 2, 3}, 2},
      {"assigned", {1, 4, 1, "c", "w1", 7}, 0},
      {"assigned after crashes", {1, 4, 1, "c", "w1", 7, 2, 3}, 2},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const nlohmann::json steps = {{test_case.task}};
      const nlohmann::json occurrence = {0, steps};
      const nlohmann::json progress = {1, nlohmann::json::array({occurrence})};
      std::string bytes(1, '1');
      nlohmann::json::to_msgpack(progress, bytes);
      const auto read = DecodeProgress(bytes);
      BOOST_REQUIRE(read.has_value());
      const auto& task = read->occurrences.at(0).steps.at(0).at(0);
      BOOST_TEST(task.run == 4);
      BOOST_TEST(task.checkpoint == "c");
      BOOST_TEST(task.crashes == test_case.crashes);
      BOOST_TEST(task.possible_crashes == 0);
      BOOST_TEST((task.assigned_at == AssignmentTime()));
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
