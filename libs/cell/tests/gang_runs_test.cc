#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A gang restarts as a whole, and only after all its members have ended.
BOOST_AUTO_TEST_CASE(a_gang_restarts_after_all_its_members_have_ended) {
  SchedulerFixture cell;
  cell.AddWorker("w1", 4000);
  cell.AddWorker("w2", 4000);
  cell.scheduler.OnJob(cell.Job("g", 2, 3000, true), {}, cell.clock.Now());
  const auto first = cell.Starts();
  BOOST_REQUIRE(first.size() == 2);
  for (const auto& order : first) {
    cell.Answer(order, OrderOutcome::kDone);
  }
  const auto& at_w1 =
      first[0].target.worker == WorkerId("w1") ? first[0] : first[1];
  const auto& at_w2 = &at_w1 == &first[0] ? first[1] : first[0];
  cell.AnswerPoll("w1", {}, {Ended(at_w1, EndKind::kFailed, 1)});
  cell.AnswerPoll("w2", {RunningAs(at_w2)});
  BOOST_TEST(cell.Starts().empty());
  cell.AnswerPoll("w2", {}, {Ended(at_w2, EndKind::kBroken, 1)});
  const auto second = cell.Starts();
  BOOST_REQUIRE(second.size() == 2);
  BOOST_TEST(second[0].run == 2);
  BOOST_TEST(second[1].run == 2);
}

BOOST_AUTO_TEST_CASE(one_done_member_completes_its_gang) {
  SchedulerFixture cell;
  cell.AddWorker("w1");
  cell.scheduler.OnJob(cell.Job("g", 3, 1000, true), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 3);
  for (const auto& order : starts) {
    cell.Answer(order, OrderOutcome::kDone);
  }
  cell.AnswerPoll("w1", {}, {Ended(starts[0], EndKind::kDone, 1)});
  cell.Decide();
  BOOST_TEST(
      (*DecodeState(cell.stored.at(JobId("g"))) == JobState::kCompleted));
}

/// A cell with a gang of two, one member on each of two workers. No poll is in
/// flight.
struct StartedGangCell : SchedulerFixture {
  StartedGangCell() {
    this->AddWorker("w1", 4000);
    this->AddWorker("w2", 4000);
    this->scheduler.OnJob(this->Job("g", 2, 3000, true), {}, this->clock.Now());
    this->starts = this->Starts();
    BOOST_REQUIRE(this->starts.size() == 2);
    this->AnswerPoll("w1");
    this->AnswerPoll("w2");
  }
  auto Stopped() -> std::set<TaskId> {
    std::set<TaskId> tasks;
    for (const auto& stop : this->Decide().stops) {
      tasks.insert(stop.task);
    }
    return tasks;
  }
  std::vector<StartOrder> starts;
};

// A member whose gang cannot become complete would wait alone until it fails.
BOOST_AUTO_TEST_CASE(a_refused_member_stops_its_gang_at_once) {
  for (const bool had_no_answer_before : {false, true}) {
    BOOST_TEST_CONTEXT("no answer before: " << had_no_answer_before) {
      StartedGangCell cell;
      cell.Answer(cell.starts[0], OrderOutcome::kDone);
      if (had_no_answer_before) {
        cell.Answer(cell.starts[1], OrderOutcome::kNoAnswer);
        cell.clock.Advance(milliseconds(600));
        BOOST_TEST(cell.Decide().starts.size() == 1);
      }
      cell.Answer(cell.starts[1], OrderOutcome::kNoTicket);
      BOOST_TEST(cell.Stopped().contains(cell.starts[0].task));
    }
  }
}

// A start sent again after its gang has ended would wait alone.
BOOST_AUTO_TEST_CASE(an_unanswered_member_is_not_started_after_its_gang_ended) {
  for (const auto how : {EndKind::kFailed, EndKind::kStopped, EndKind::kLapsed,
                         EndKind::kBroken, EndKind::kAlone}) {
    BOOST_TEST_CONTEXT("how: " << static_cast<int>(how)) {
      StartedGangCell cell;
      cell.Answer(cell.starts[0], OrderOutcome::kDone);
      cell.Answer(cell.starts[1], OrderOutcome::kNoAnswer);
      cell.AnswerPoll(cell.starts[0].target.worker.Text(), {},
                      {Ended(cell.starts[0], how, 1)});
      cell.clock.Advance(milliseconds(600));
      const auto decisions = cell.Decide();
      BOOST_TEST(decisions.starts.empty());
      BOOST_REQUIRE(decisions.stops.size() == 1);
      BOOST_TEST(decisions.stops[0].task == cell.starts[1].task);
    }
  }
}

// Members wait 4 s for each other; stopped before that, the gang starts anew.
BOOST_AUTO_TEST_CASE(a_gang_with_an_unanswered_member_is_stopped_in_time) {
  for (const auto outcome : {OrderOutcome::kNoAnswer, OrderOutcome::kLate}) {
    BOOST_TEST_CONTEXT("outcome: " << static_cast<int>(outcome)) {
      StartedGangCell cell;
      const auto begin = cell.clock.Now();
      cell.Answer(cell.starts[0], OrderOutcome::kDone);
      auto pending = std::vector{cell.starts[1]};
      bool is_stopped = false;
      while (!is_stopped && cell.clock.Now() - begin < seconds(3)) {
        cell.clock.Advance(milliseconds(370));
        for (const auto& order : pending) {
          cell.Answer(order, outcome);
        }
        const auto decisions = cell.Decide();
        pending = decisions.starts;
        for (const auto& stop : decisions.stops) {
          is_stopped |= stop.task == cell.starts[0].task;
        }
      }
      BOOST_TEST(is_stopped);
    }
  }
}

struct SuspectCase {
  const char* name;
  std::set<std::size_t> suspects;  ///< Members of the gang.
  std::size_t expected_starts;
};

// Guards against a gang that waits for workers without recent starts for all of
// its members because one of them is suspected of crashing its workers.
BOOST_AUTO_TEST_CASE(only_the_suspects_of_a_gang_are_started_apart) {
  const SuspectCase cases[] = {
      {"no suspect", {}, 3},        {"the first", {0}, 3},
      {"the second", {1}, 3},       {"the last", {2}, 3},
      {"more than fit", {0, 2}, 0},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell;
      cell.AddWorker("busy", 4000);
      cell.scheduler.OnJob(cell.Job("recent", 1, 1000), {}, cell.clock.Now());
      for (const auto& order : cell.Starts()) {
        cell.Answer(order, OrderOutcome::kDone);
      }
      cell.AddWorker("idle", 1000);
      JobProgress progress;
      progress.next_occurrence = 1;
      progress.occurrences = {{0, {std::vector<TaskProgress>(3)}}};
      for (const auto suspect : test_case.suspects) {
        auto& member = progress.occurrences[0].steps[0][suspect];
        member.run = 1;
        member.crashes = 1;
      }
      cell.scheduler.OnJob(cell.Job("gang", 3, 1000, true), progress,
                           cell.clock.Now());
      const auto starts = cell.Starts();
      BOOST_TEST(starts.size() == test_case.expected_starts);
      for (const auto& order : starts) {
        for (const auto suspect : test_case.suspects) {
          const bool is_suspect =
              order.task == TaskName(JobId("gang"), 0, 0, suspect);
          BOOST_TEST((!is_suspect || order.target.worker == WorkerId("idle")));
        }
      }
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
