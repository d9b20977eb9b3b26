#include <boost/test/unit_test.hpp>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

auto AssignedTo(const std::string& worker, std::size_t tasks) -> JobProgress {
  JobProgress progress;
  progress.state = JobState::kRunning;
  progress.next_occurrence = 1;
  OccurrenceProgress occurrence;
  auto& step = occurrence.steps.emplace_back();
  for (std::size_t i = 0; i < tasks; i++) {
    TaskProgress task;
    task.phase = TaskPhase::kAssigned;
    task.run = 1;
    task.worker = {WorkerId(worker), 1};
    step.push_back(task);
  }
  progress.occurrences.push_back(occurrence);
  return progress;
}

auto Running(const std::string& job, std::size_t index) -> RunningTask {
  return {TaskName(JobId(job), 0, 0, index), 1, "", 10};
}

// A new leader does not know the lease that the previous leader granted. The
// lease must not count as expired, or running tasks would be started a second
// time elsewhere.
BOOST_AUTO_TEST_CASE(running_tasks_of_a_previous_leader_continue) {
  SchedulerFixture cell(2);
  cell.scheduler.OnWorker(cell.Report("w1"), cell.clock.Now());
  cell.scheduler.OnWorker(cell.Report("w2"), cell.clock.Now());
  cell.scheduler.OnJob(cell.Job("a", 2, 1000), AssignedTo("w1", 2),
                       cell.clock.Now());
  cell.AnswerPoll("w2");
  cell.AnswerPoll("w1", {Running("a", 0), Running("a", 1)});
  for (int i = 0; i < 50; i++) {
    BOOST_TEST(cell.Starts().empty());
    cell.clock.Advance(std::chrono::milliseconds(10));
  }
  BOOST_TEST(cell.scheduler.Count().assigned_tasks == 2);
}

struct LostCase {
  const char* name;
  bool is_attached;
  std::chrono::seconds elapsed;
  bool starts_again;
};

auto operator<<(std::ostream& out, const LostCase& test_case) -> std::ostream& {
  return out << test_case.name;
}

const LostCase kLostCases[] = {
    {"silent since the takeover, previous leader may renew", false,
     std::chrono::seconds(16), false},
    {"silent since the takeover, all leases over", false,
     std::chrono::seconds(17), true},
    {"answered, then silent within the lease", true, std::chrono::seconds(6),
     false},
    {"answered, then silent beyond the lease", true, std::chrono::seconds(7),
     true},
};

BOOST_AUTO_TEST_CASE(tasks_of_an_unresponsive_worker) {
  for (const auto& test_case : kLostCases) {
    BOOST_TEST_CONTEXT(test_case) {
      SchedulerFixture cell(2);
      cell.scheduler.OnWorker(cell.Report("w1"), cell.clock.Now());
      cell.scheduler.OnJob(cell.Job("a", 1, 1000), AssignedTo("w1", 1),
                           cell.clock.Now());
      if (test_case.is_attached) {
        cell.AnswerPoll("w1", {Running("a", 0)});
      }
      cell.clock.Advance(test_case.elapsed);
      cell.AddWorker("w2");
      BOOST_TEST(cell.Starts().size() == (test_case.starts_again ? 1U : 0U));
    }
  }
}

// The decision to give up the run of a gang is not stored, only the members
// that have ended, and the others waited for them for good.
BOOST_AUTO_TEST_CASE(a_gang_that_lost_members_before_is_stopped_and_restarted) {
  SchedulerFixture cell(2);
  cell.scheduler.OnWorker(cell.Report("w1"), cell.clock.Now());
  auto progress = AssignedTo("w1", 3);
  progress.occurrences[0].steps[0][0].phase = TaskPhase::kWaiting;
  cell.scheduler.OnJob(cell.Job("g", 3, 1000, true), progress,
                       cell.clock.Now());
  cell.AnswerPoll("w1", {Running("g", 1), Running("g", 2)});
  const auto stops = cell.Decide().stops;
  BOOST_REQUIRE(stops.size() == 2);
  std::vector<EndedTask> ended;
  for (const auto& stop : stops) {
    BOOST_TEST(stop.run == 1);
    cell.scheduler.OnStopReply(stop, {OrderOutcome::kDone, std::nullopt},
                               cell.clock.Now());
    ended.push_back(
        {ended.size() + 1, stop.task, stop.run, EndKind::kStopped, ""});
  }
  cell.AnswerPoll("w1", {}, ended);
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 3);
  for (const auto& start : starts) {
    BOOST_TEST(start.run == 2);
  }
}

// Tasks of a job that has ended use capacity until they are stopped, although
// their demand is no longer known.
BOOST_AUTO_TEST_CASE(a_worker_with_orphaned_runs_gets_no_tasks) {
  SchedulerFixture cell(2);
  cell.scheduler.OnWorker(cell.Report("w1"), cell.clock.Now());
  cell.AnswerPoll("w1", {Running("ended", 0)});
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto first = cell.Decide();
  BOOST_TEST(first.stops.size() == 1);
  BOOST_TEST(!first.batch);
  cell.AnswerPoll("w1");
  BOOST_TEST(cell.Starts().size() == 1);
}

// An assigned run that is not on the worker was never started, and the higher
// epoch keeps a delayed order from starting it.
BOOST_AUTO_TEST_CASE(an_assignment_that_never_started_is_placed_again) {
  SchedulerFixture cell(2);
  cell.scheduler.OnWorker(cell.Report("w1"), cell.clock.Now());
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), AssignedTo("w1", 1),
                       cell.clock.Now());
  BOOST_TEST(cell.Starts().empty());
  cell.AnswerPoll("w1");
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  BOOST_TEST(starts[0].run == 2);
}

struct FullListCase {
  const char* name;
  bool is_assigned_by_previous_leader;
};

// Guards against a second run of tasks whose ends did not fit into the worker's
// list: they are listed neither as running nor as ended.
BOOST_AUTO_TEST_CASE(runs_whose_ends_are_not_listed_yet_are_not_lost) {
  const FullListCase cases[] = {{"runs of a previous leader", true},
                                {"runs of this leader", false}};
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell(2);
      cell.AddWorker("w1");
      if (test_case.is_assigned_by_previous_leader) {
        cell.scheduler.OnJob(cell.Job("a", 3, 1000), AssignedTo("w1", 3),
                             cell.clock.Now());
      } else {
        cell.scheduler.OnJob(cell.Job("a", 3, 1000), {}, cell.clock.Now());
        for (const auto& order : cell.Starts()) {
          cell.Answer(order, OrderOutcome::kDone);
        }
      }
      const auto end = [](std::size_t index) -> EndedTask {
        return {index + 1, TaskName(JobId("a"), 0, 0, index), 1, EndKind::kDone,
                ""};
      };
      cell.AnswerPoll("w1", {}, {end(0), end(1)}, /*may_omit_ends=*/true);
      BOOST_TEST(cell.scheduler.Count().assigned_tasks == 1U);
      BOOST_TEST(cell.Starts().empty());
      cell.AnswerPoll("w1", {}, {end(2)});
      BOOST_TEST(cell.Starts().empty());
      BOOST_TEST(
          (DecodeState(cell.stored[JobId("a")]) == JobState::kCompleted));
    }
  }
}

// A leader that was paused for some seconds may have been replaced. A worker
// that started again meanwhile does not know the epoch of the next leader and
// would execute the order of the first one.
BOOST_AUTO_TEST_CASE(a_leader_without_authority_starts_nothing) {
  SchedulerFixture cell;
  cell.AddWorker("w1");
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  BOOST_REQUIRE(cell.Decide().batch.has_value());
  cell.Store();
  cell.authority.may_start = false;
  cell.AnswerPoll("w1");
  cell.scheduler.OnJob(cell.Job("b", 1, 1000), {}, cell.clock.Now());
  const auto without = cell.Decide();
  BOOST_TEST(without.starts.empty());
  BOOST_TEST(!without.batch.has_value());
  BOOST_TEST(without.polls.size() == 1);
  cell.authority.may_start = true;
  const auto renewed = cell.Decide();
  BOOST_TEST(renewed.starts.size() == 1);
  BOOST_TEST(renewed.batch.has_value());
}

// A start of the previous leader may still be under way. Once its worker has
// started again, the worker knows of no epoch that would refuse it.
BOOST_AUTO_TEST_CASE(
    starts_of_a_previous_leader_are_stopped_on_a_reborn_worker) {
  SchedulerFixture cell(2);
  auto report = cell.Report("w1");
  report.born_unix_ms = 2;
  cell.scheduler.OnWorker(report, cell.clock.Now());
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), AssignedTo("w1", 1),
                       cell.clock.Now());
  PollReply reply;
  reply.outcome = OrderOutcome::kDone;
  reply.born_unix_ms = 2;
  cell.scheduler.OnPollReply(cell.PollOrderFor("w1"), reply, cell.clock.Now(),
                             cell.clock.Now());
  const auto decisions = cell.Decide();
  BOOST_REQUIRE(decisions.stops.size() == 1);
  BOOST_TEST(decisions.stops[0].run == 1);
  BOOST_TEST(cell.Starts().empty());
  cell.scheduler.OnStopReply(decisions.stops[0],
                             {OrderOutcome::kDone, std::nullopt},
                             cell.clock.Now());
  BOOST_TEST(cell.Starts().size() == 1);
}

}  // namespace
}  // namespace shallotbank::cell
