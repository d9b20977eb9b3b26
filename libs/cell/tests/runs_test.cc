#include <boost/test/unit_test.hpp>

#include <optional>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A cell with one worker on which one task of job `a` was started.
struct StartedTaskCell : SchedulerFixture {
  StartedTaskCell() {
    this->AddWorker("w1");
    this->scheduler.OnJob(this->Job("a", 1, 1000), {}, this->clock.Now());
    const auto starts = this->Starts();
    BOOST_REQUIRE(starts.size() == 1);
    this->order = starts[0];
  }
  auto StateOf(const std::string& job) const -> JobState {
    return *DecodeState(this->stored.at(JobId(job)));
  }
  StartOrder order;
};

// No start is sent before its assignment is stored: a new leader must know of
// every run that may exist.
BOOST_AUTO_TEST_CASE(a_start_waits_for_its_assignment_to_be_stored) {
  SchedulerFixture cell;
  cell.AddWorker("w1");
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  BOOST_TEST(cell.Decide().starts.empty());
  BOOST_TEST(cell.Decide().starts.empty());
  cell.Store();
  BOOST_TEST(cell.Decide().starts.size() == 1);
}

// An assignment may never start, so callers still see the job as queued.
BOOST_AUTO_TEST_CASE(a_job_shows_as_running_once_a_start_is_confirmed) {
  StartedTaskCell cell;
  BOOST_TEST((cell.StateOf("a") == JobState::kQueued));
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.Decide();
  BOOST_TEST((cell.StateOf("a") == JobState::kRunning));
}

struct SilenceCase {
  const char* name;
  seconds estimate;
  seconds without_progress;
  bool is_moved;
};

// Progress is reported in whole percent, so a task of ten minutes shows none
// for 6 s; it was stopped and moved from worker to worker and never ended.
BOOST_AUTO_TEST_CASE(long_tasks_are_not_moved_between_two_percents) {
  const SilenceCase cases[] = {
      {"a short task stands still", seconds(1), seconds(4), true},
      {"a task of ten minutes between two percents", seconds(600), seconds(12),
       false},
      {"a task of ten minutes stands still", seconds(600), seconds(70), true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell;
      cell.AddWorker("w1");
      auto job = cell.Job("a", 1, 1000);
      job.steps[0].estimate = test_case.estimate;
      cell.scheduler.OnJob(job, {}, cell.clock.Now());
      const auto starts = cell.Starts();
      BOOST_REQUIRE(starts.size() == 1);
      cell.Answer(starts[0], OrderOutcome::kDone);
      std::size_t stops = 0;
      cell.AnswerPoll("w1", {RunningAs(starts[0], 40)});
      for (seconds passed{}; passed < test_case.without_progress;
           passed += seconds(1)) {
        cell.clock.Advance(seconds(1));
        cell.AnswerPoll("w1", {RunningAs(starts[0], 40)});
        stops += cell.Decide().stops.size();
      }
      BOOST_TEST((stops > 0) == test_case.is_moved);
    }
  }
}

struct AnswerCase {
  const char* name;
  bool had_no_answer_before;
  OrderOutcome outcome;
  std::size_t new_starts;  ///< Of a later run, on the same or another worker.
  bool is_stopped_first;
};

// Whether a refused start may be repeated as a new run. After an unanswered
// attempt a refusal proves nothing, because that attempt may still take effect.
BOOST_AUTO_TEST_CASE(refused_starts) {
  const AnswerCase cases[] = {
      {"no room", false, OrderOutcome::kNoRoom, 1, false},
      {"no ticket", false, OrderOutcome::kNoTicket, 1, false},
      {"unhealthy", false, OrderOutcome::kUnhealthy, 1, false},
      {"malformed", false, OrderOutcome::kMalformed, 1, false},
      {"no room after no answer", true, OrderOutcome::kNoRoom, 0, true},
      {"no ticket after no answer", true, OrderOutcome::kNoTicket, 0, true},
      {"unhealthy after no answer", true, OrderOutcome::kUnhealthy, 0, true},
      // Another incarnation listens there, and orders name the incarnation they
      // are for.
      {"other incarnation after no answer", true,
       OrderOutcome::kOtherIncarnation, 1, false},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      StartedTaskCell cell;
      cell.AddWorker("w2");
      auto order = cell.order;
      if (test_case.had_no_answer_before) {
        cell.Answer(order, OrderOutcome::kNoAnswer);
        cell.clock.Advance(milliseconds(600));
        cell.AnswerPoll("w2");
        const auto again = cell.Decide().starts;
        BOOST_REQUIRE(again.size() == 1);
        BOOST_TEST(again[0].run == order.run);
      }
      cell.Answer(order, test_case.outcome);
      cell.clock.Advance(milliseconds(100));
      std::size_t starts = 0;
      std::size_t stops = 0;
      for (int i = 0; i < 4; i++) {
        const auto decisions = cell.Decide();
        starts += decisions.starts.size();
        stops += decisions.stops.size();
        if (decisions.batch) {
          cell.Store();
        }
      }
      BOOST_TEST(starts == test_case.new_starts);
      BOOST_TEST((stops > 0) == test_case.is_stopped_first);
    }
  }
}

// The HTTP client repeats an order if a reused connection closes without a
// response; the refusal of the second copy says nothing about the first.
BOOST_AUTO_TEST_CASE(a_refused_repeat_of_a_start_does_not_run_elsewhere) {
  for (const auto outcome : {OrderOutcome::kUnhealthy, OrderOutcome::kNoRoom,
                             OrderOutcome::kNoTicket}) {
    BOOST_TEST_CONTEXT(static_cast<int>(outcome)) {
      StartedTaskCell cell;
      cell.AddWorker("w2");
      cell.scheduler.OnStartReply(cell.order, {outcome, std::nullopt, true},
                                  cell.clock.Now());
      cell.clock.Advance(milliseconds(100));
      const auto decisions = cell.Decide();
      BOOST_TEST(decisions.stops.size() == 1);
      BOOST_TEST(cell.Starts().empty());
    }
  }
}

// Once the stop was answered and a later poll does not list the run, the
// unanswered start can no longer take effect.
BOOST_AUTO_TEST_CASE(an_unanswered_start_is_placed_again_once_stopped) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kNoAnswer);
  cell.clock.Advance(milliseconds(600));
  cell.Decide();
  cell.Answer(cell.order, OrderOutcome::kNoRoom);
  const auto stops = cell.Decide().stops;
  BOOST_REQUIRE(stops.size() == 1);
  cell.AnswerPoll("w1");
  BOOST_TEST(cell.Starts().empty());
  cell.scheduler.OnStopReply(stops[0], {OrderOutcome::kDone, std::nullopt},
                             cell.clock.Now());
  cell.AnswerPoll("w1");
  cell.clock.Advance(milliseconds(100));
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  BOOST_TEST(starts[0].run == cell.order.run + 1);
}

// A completion is acknowledged to the worker only after it is stored.
BOOST_AUTO_TEST_CASE(a_completion_is_acknowledged_after_it_is_stored) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.Decide();
  cell.Store();
  cell.AnswerPoll("w1", {}, {Ended(cell.order, EndKind::kDone, 1)});
  cell.clock.Advance(seconds(1));
  const auto before = cell.Decide();
  BOOST_TEST(before.batch.has_value());
  for (const auto& hold : before.polls) {
    BOOST_TEST(hold.acknowledged == 0);
  }
  cell.AnswerPoll("w1", {}, {Ended(cell.order, EndKind::kDone, 1)});
  cell.Store();
  BOOST_TEST((cell.StateOf("a") == JobState::kCompleted));
  const auto after = cell.Decide();
  BOOST_REQUIRE(after.polls.size() == 1);
  BOOST_TEST(after.polls[0].acknowledged == 1);
}

struct EndCase {
  const char* name;
  EndKind how;
  /// Number of times the run ends this way, each time the latest run.
  int times;
  JobState state;
};

BOOST_AUTO_TEST_CASE(ends_of_runs) {
  const EndCase cases[] = {
      {"done", EndKind::kDone, 1, JobState::kCompleted},
      {"one failure", EndKind::kFailed, 1, JobState::kRunning},
      {"as many failures as are allowed", EndKind::kFailed, 2,
       JobState::kFailed},
      {"stopped", EndKind::kStopped, 3, JobState::kRunning},
      {"lapsed", EndKind::kLapsed, 3, JobState::kRunning},
      {"broken", EndKind::kBroken, 3, JobState::kRunning},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      StartedTaskCell cell;
      for (int i = 0; i < test_case.times; i++) {
        cell.Answer(cell.order, OrderOutcome::kDone);
        cell.AnswerPoll("w1", {}, {Ended(cell.order, test_case.how, i + 1)});
        const auto starts = cell.Starts();
        if (!starts.empty()) {
          cell.order = starts[0];
        }
      }
      BOOST_TEST((cell.StateOf("a") == test_case.state));
    }
  }
}

// A step starts when all tasks of the steps it depends on are done.
BOOST_AUTO_TEST_CASE(steps_wait_for_their_dependencies) {
  SchedulerFixture cell;
  cell.AddWorker("w1");
  auto job = cell.Job("a", 2, 1000);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  cell.scheduler.OnJob(job, {}, cell.clock.Now());
  const auto first = cell.Starts();
  BOOST_REQUIRE(first.size() == 2);
  for (const auto& order : first) {
    cell.Answer(order, OrderOutcome::kDone);
  }
  cell.AnswerPoll("w1", {RunningAs(first[1])},
                  {Ended(first[0], EndKind::kDone, 1)});
  BOOST_TEST(cell.Starts().empty());
  cell.AnswerPoll("w1", {}, {Ended(first[1], EndKind::kDone, 2)});
  const auto second = cell.Starts();
  BOOST_REQUIRE(second.size() == 2);
  for (const auto& order : second) {
    BOOST_TEST(order.task.Text().starts_with("a.0.1."));
  }
}

struct LimitCase {
  const char* name;
  std::int64_t worker_cores;
  std::int64_t limit_cores;
  std::size_t started;  ///< Of five tasks of 1,000 each.
};

BOOST_AUTO_TEST_CASE(neither_workers_nor_organisations_exceed_their_limit) {
  const LimitCase cases[] = {
      {"room for all", 64'000, 0, 5},
      {"the worker is full", 3500, 0, 3},
      {"the organisation is at its limit", 64'000, 2500, 2},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell;
      OrganisationPolicy organisation;
      organisation.id = OrganisationId("org");
      organisation.limit.cores_milli = test_case.limit_cores;
      cell.configuration.organisations[organisation.id] = organisation;
      cell.Configure();
      cell.AddWorker("w1", test_case.worker_cores);
      cell.scheduler.OnJob(cell.Job("a", 5, 1000), {}, cell.clock.Now());
      BOOST_TEST(cell.Starts().size() == test_case.started);
    }
  }
}

// A run whose progress does not change is moved, because its worker is probably
// stuck.
BOOST_AUTO_TEST_CASE(a_run_without_progress_is_stopped) {
  for (const bool moves : {false, true}) {
    BOOST_TEST_CONTEXT("progress: " << moves) {
      StartedTaskCell cell;
      cell.Answer(cell.order, OrderOutcome::kDone);
      std::size_t stops = 0;
      for (int i = 0; i < 5; i++) {
        cell.AnswerPoll("w1", {RunningAs(cell.order, moves ? i : 7)});
        stops += cell.Decide().stops.size();
        cell.clock.Advance(seconds(1));
      }
      BOOST_TEST((stops > 0) == !moves);
    }
  }
}

// A worker with consecutive failures of distinct jobs gets no new tasks.
BOOST_AUTO_TEST_CASE(a_worker_with_repeated_failures_is_quarantined) {
  SchedulerFixture cell;
  cell.AddWorker("w1");
  std::uint64_t number = 0;
  for (const auto* id : {"a", "b"}) {
    cell.scheduler.OnJob(cell.Job(id, 1, 1000), {}, cell.clock.Now());
    const auto starts = cell.Starts();
    BOOST_REQUIRE(!starts.empty());
    cell.Answer(starts.back(), OrderOutcome::kDone);
    cell.AnswerPoll("w1", {},
                    {Ended(starts.back(), EndKind::kFailed, ++number)});
  }
  cell.AddWorker("w2");
  for (const auto& order : cell.Starts()) {
    BOOST_TEST(order.target.worker == WorkerId("w2"));
  }
}

// Polls of an unresponsive worker must not renew its lease: each could still
// arrive, so its tasks would never count as ended.
BOOST_AUTO_TEST_CASE(an_unresponsive_worker_loses_its_tasks) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kDone);
  const auto unresponsive_since = cell.clock.Now();
  std::optional<TimePoint> started_again;
  cell.scheduler.OnWorker(cell.Report("w2"), cell.clock.Now());
  // The poll that is already in flight.
  cell.scheduler.OnPollReply(cell.PollOrderFor("w1"), {}, cell.clock.Now(),
                             cell.clock.Now());
  while (!started_again &&
         cell.clock.Now() - unresponsive_since < seconds(20)) {
    const auto decisions = cell.Decide();
    if (decisions.batch) {
      cell.Store();
    }
    for (const auto& hold : decisions.polls) {
      if (hold.target.worker == WorkerId("w1")) {
        cell.scheduler.OnPollReply(hold, {}, cell.clock.Now(),
                                   cell.clock.Now());
      }
    }
    for (const auto& start : decisions.starts) {
      if (start.target.worker == WorkerId("w2")) {
        started_again = cell.clock.Now();
      }
    }
    cell.AnswerPoll("w2");
    cell.clock.Advance(milliseconds(100));
  }
  BOOST_REQUIRE(started_again.has_value());
  BOOST_TEST((*started_again - unresponsive_since > seconds(6)));
  BOOST_TEST((*started_again - unresponsive_since < seconds(8)));
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_is_stopped_and_starts_no_more) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.scheduler.OnCancel(JobId("a"), cell.clock.Now());
  const auto decisions = cell.Decide();
  BOOST_TEST(decisions.stops.size() == 1);
  BOOST_TEST((cell.StateOf("a") == JobState::kCancelled));
  cell.Store();
  cell.AnswerPoll("w1", {}, {Ended(cell.order, EndKind::kStopped, 1)});
  BOOST_TEST(cell.Starts().empty());
  BOOST_TEST(cell.scheduler.Count().jobs == 0);
}

// A restarted worker has none of its earlier tasks. An unanswered start for the
// earlier incarnation could take effect in the new one, so it is stopped there
// first.
BOOST_AUTO_TEST_CASE(a_new_incarnation_of_a_worker) {
  for (const bool is_confirmed : {true, false}) {
    BOOST_TEST_CONTEXT("confirmed: " << is_confirmed) {
      StartedTaskCell cell;
      cell.Answer(cell.order,
                  is_confirmed ? OrderOutcome::kDone : OrderOutcome::kNoAnswer);
      cell.clock.Advance(milliseconds(10));
      auto report = cell.Report("w1");
      report.born_unix_ms = 2;
      cell.scheduler.OnWorker(report, cell.clock.Now());
      PollReply reply;
      reply.outcome = OrderOutcome::kDone;
      reply.born_unix_ms = 2;
      cell.scheduler.OnPollReply(cell.PollOrderFor("w1"), reply,
                                 cell.clock.Now(), cell.clock.Now());
      const auto decisions = cell.Decide();
      BOOST_TEST(decisions.stops.size() == (is_confirmed ? 0U : 1U));
      if (decisions.batch) {
        cell.Store();
      }
      BOOST_TEST(cell.Decide().starts.size() == (is_confirmed ? 1U : 0U));
    }
  }
}

// Nothing runs on a worker that the order did not reach, so the task need not
// wait for the end of its lease.
BOOST_AUTO_TEST_CASE(a_start_that_was_not_delivered_is_placed_elsewhere) {
  for (const bool has_unanswered_copy : {false, true}) {
    BOOST_TEST_CONTEXT("unanswered before: " << has_unanswered_copy) {
      StartedTaskCell cell;
      cell.AddWorker("w2");
      if (has_unanswered_copy) {
        cell.Answer(cell.order, OrderOutcome::kNoAnswer);
      }
      OrderReply reply;
      reply.is_undelivered = true;
      cell.scheduler.OnStartReply(cell.order, reply, cell.clock.Now());
      cell.clock.Advance(milliseconds(60));
      const auto starts = cell.Starts();
      BOOST_REQUIRE(starts.size() == (has_unanswered_copy ? 0 : 1));
      if (!starts.empty()) {
        BOOST_TEST(starts[0].target.worker == WorkerId("w2"));
      }
    }
  }
}

// A poll whose connection is lost shows at once that the worker is gone. After
// one that is only late, it may be another incarnation.
BOOST_AUTO_TEST_CASE(a_worker_that_left_a_poll_unanswered_gets_no_tasks) {
  for (const bool is_late : {false, true}) {
    BOOST_TEST_CONTEXT("late: " << is_late) {
      SchedulerFixture cell;
      cell.AddWorker("w1");
      const auto polls = cell.Decide().polls;
      BOOST_REQUIRE(polls.size() == 1);
      const auto sent = cell.clock.Now();
      cell.clock.Advance(is_late ? Duration(seconds(3)) : milliseconds(50));
      cell.scheduler.OnPollReply(polls[0], {}, sent, cell.clock.Now());
      cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
      BOOST_TEST(cell.Starts().empty());
      cell.AnswerPoll("w1");
      BOOST_TEST(cell.Starts().size() == 1U);
    }
  }
}

struct ShrinkingCase {
  const char* name;
  bool is_unanswered;  ///< One attempt of each start got no answer.
  std::int64_t cores;  ///< After the assignment of four tasks of 1,000 each.
  std::size_t starts;
  std::size_t stops;
};

// The capacity of a worker may shrink between the assignment of a task and its
// start, or the next attempt to start it.
BOOST_AUTO_TEST_CASE(a_worker_that_shrinks_is_not_overcommitted) {
  const ShrinkingCase cases[] = {
      {"unchanged", false, 4000, 4, 0},
      {"smaller before the starts", false, 2500, 2, 0},
      {"no room at all", false, 0, 0, 0},
      {"smaller after an unanswered attempt", true, 2500, 2, 2},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell;
      cell.AddWorker("w1", 4000);
      cell.scheduler.OnJob(cell.Job("a", 4, 1000), {}, cell.clock.Now());
      BOOST_REQUIRE(cell.Decide().batch.has_value());
      cell.Store();
      if (test_case.is_unanswered) {
        for (const auto& order : cell.Decide().starts) {
          cell.Answer(order, OrderOutcome::kNoAnswer);
        }
        cell.clock.Advance(milliseconds(600));
      }
      cell.scheduler.OnWorker(cell.Report("w1", test_case.cores),
                              cell.clock.Now());
      const auto decisions = cell.Decide();
      BOOST_TEST(decisions.starts.size() == test_case.starts);
      BOOST_TEST(decisions.stops.size() == test_case.stops);
    }
  }
}

// Tasks that run when their worker shrinks keep running, and nothing is added
// until they leave room.
BOOST_AUTO_TEST_CASE(a_worker_that_shrank_gets_tasks_once_it_has_room) {
  SchedulerFixture cell;
  cell.AddWorker("w1", 4000);
  cell.scheduler.OnJob(cell.Job("a", 4, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 4);
  std::vector<RunningTask> running;
  for (const auto& order : starts) {
    cell.Answer(order, OrderOutcome::kDone);
    running.push_back(RunningAs(order, 10));
  }
  cell.scheduler.OnWorker(cell.Report("w1", 2000), cell.clock.Now());
  cell.scheduler.OnJob(cell.Job("b", 1, 1000), {}, cell.clock.Now());
  cell.AnswerPoll("w1", running);
  const auto none = cell.Decide();
  BOOST_TEST(none.stops.empty());
  BOOST_TEST(cell.Starts().empty());
  cell.AnswerPoll(
      "w1", {running[0]},
      {Ended(starts[1], EndKind::kDone, 1), Ended(starts[2], EndKind::kDone, 2),
       Ended(starts[3], EndKind::kDone, 3)});
  BOOST_TEST(cell.Starts().size() == 1);
}

struct RebornCase {
  const char* name;
  bool is_confirmed;  ///< By the answer to a second copy of the start.
  bool is_done;       ///< The run ended before the worker did.
  bool is_delisted;   ///< Until the worker is back.
};

/// Answers a poll of the given incarnation of `w1`.
auto AnswerPollOf(SchedulerFixture& cell,
                  std::int64_t born,
                  std::vector<RunningTask> running = {}) -> void {
  PollReply reply;
  reply.outcome = OrderOutcome::kDone;
  reply.born_unix_ms = born;
  reply.running = std::move(running);
  cell.scheduler.OnPollReply(cell.PollOrderFor("w1"), reply, cell.clock.Now(),
                             cell.clock.Now());
}

// A worker executes an unanswered start seconds later. If it starts again in
// between, it knows of no run or end of the task that would prevent it.
BOOST_AUTO_TEST_CASE(an_unanswered_start_does_not_run_on_a_reborn_worker) {
  const RebornCase cases[] = {
      {"without any answer", false, false, false},
      {"confirmed by a second copy", true, false, false},
      {"confirmed and done", true, true, false},
      {"confirmed and done, and the worker was delisted", true, true, true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      StartedTaskCell cell;
      cell.AddWorker("w2");
      cell.Answer(cell.order, OrderOutcome::kNoAnswer);
      if (test_case.is_confirmed) {
        cell.Answer(cell.order, OrderOutcome::kDone);
      }
      if (test_case.is_done) {
        cell.AnswerPoll("w1", {}, {Ended(cell.order, EndKind::kDone, 1)});
        cell.Decide();
        cell.Store();
      }
      if (test_case.is_delisted) {
        cell.scheduler.OnWorkerGone(WorkerId("w1"), cell.clock.Now());
        cell.Decide();
      }
      cell.clock.Advance(seconds(2));
      auto report = cell.Report("w1");
      report.born_unix_ms = 2;
      cell.scheduler.OnWorker(report, cell.clock.Now());
      AnswerPollOf(cell, 2);
      cell.AnswerPoll("w2");
      const auto first = cell.Decide();
      BOOST_REQUIRE(first.stops.size() == 1);
      BOOST_TEST(first.stops[0].task == cell.order.task);
      BOOST_TEST(first.stops[0].run == cell.order.run);
      BOOST_TEST(cell.Starts().empty());
      cell.scheduler.OnJob(cell.Job("b", 1, 1000), {}, cell.clock.Now());
      for (const auto& start : cell.Starts()) {
        BOOST_TEST(start.target.worker == WorkerId("w2"));
      }
      cell.scheduler.OnStopReply(first.stops[0],
                                 {OrderOutcome::kDone, std::nullopt},
                                 cell.clock.Now());
      AnswerPollOf(cell, 2);
      std::size_t starts = 0;
      for (const auto& start : cell.Starts()) {
        starts += start.task == cell.order.task ? 1 : 0;
      }
      BOOST_TEST(starts == (test_case.is_done ? 0U : 1U));
    }
  }
}

// The incarnation that answered the stop has ended; the next one still starts
// what an earlier order asks for.
BOOST_AUTO_TEST_CASE(a_stop_counts_only_for_the_incarnation_that_answered_it) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kNoAnswer);
  cell.clock.Advance(seconds(2));
  AnswerPollOf(cell, 2);
  const auto stops = cell.Decide().stops;
  BOOST_REQUIRE(stops.size() == 1);
  AnswerPollOf(cell, 3);
  cell.scheduler.OnStopReply(stops[0], {OrderOutcome::kDone, std::nullopt},
                             cell.clock.Now());
  AnswerPollOf(cell, 3);
  BOOST_TEST(cell.Starts().empty());
}

// The pause after an unanswered start must not delay the stop of the run.
BOOST_AUTO_TEST_CASE(
    an_unanswered_start_of_a_cancelled_job_is_stopped_at_once) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kNoAnswer);
  cell.scheduler.OnCancel(JobId("a"), cell.clock.Now());
  BOOST_TEST(cell.Decide().stops.size() == 1);
}

struct LateCompletionCase {
  const char* name;
  EndKind how;
  bool is_gang;
  int decisions;   ///< Made between the loss of the run and the late end.
  bool is_stored;  ///< The assignment of the next run.
  JobState state;
  std::size_t stops;  ///< Of the next run.
};

// A completion that a worker reports only after its run was given up still
// counts: it will be acknowledged, so the task must not run again.
BOOST_AUTO_TEST_CASE(a_completion_of_a_run_that_was_given_up) {
  const LateCompletionCase cases[] = {
      {"the task waits", EndKind::kDone, false, 0, false, JobState::kCompleted,
       0},
      {"the next run is being stored", EndKind::kDone, false, 1, false,
       JobState::kCompleted, 0},
      {"the next run was started", EndKind::kDone, false, 2, true,
       JobState::kCompleted, 1},
      {"a member of a gang that waits", EndKind::kDone, true, 0, false,
       JobState::kCompleted, 0},
      {"stopped, and the task waits", EndKind::kStopped, false, 0, false,
       JobState::kRunning, 0},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell;
      cell.AddWorker("w1");
      cell.scheduler.OnJob(cell.Job("a", 1, 1000, test_case.is_gang), {},
                           cell.clock.Now());
      const auto starts = cell.Starts();
      BOOST_REQUIRE(starts.size() == 1);
      cell.Answer(starts[0], OrderOutcome::kDone);
      cell.Decide();
      cell.Store();
      cell.scheduler.OnPollReply(cell.PollOrderFor("w1"), {}, cell.clock.Now(),
                                 cell.clock.Now());
      cell.clock.Advance(seconds(7));
      cell.Decide();  // Gives up the run.
      cell.Store();
      cell.AddWorker("w2");
      for (int i = 0; i < test_case.decisions; i++) {
        const auto decisions = cell.Decide();
        if (decisions.batch && test_case.is_stored) {
          cell.Store();
        }
      }
      cell.AnswerPoll("w1", {}, {Ended(starts[0], test_case.how, 1)});
      std::size_t stops = 0;
      std::size_t new_starts = 0;
      for (int i = 0; i < 3; i++) {
        const auto decisions = cell.Decide();
        stops += decisions.stops.size();
        new_starts += decisions.starts.size();
        if (decisions.batch) {
          cell.Store();
        }
      }
      BOOST_TEST((*DecodeState(cell.stored.at(JobId("a"))) == test_case.state));
      BOOST_TEST(stops == test_case.stops);
      BOOST_TEST((new_starts > 0) == (test_case.how != EndKind::kDone));
    }
  }
}

// The answer to a poll may wait in this process when the lease ends, and list
// the completion of the run.
BOOST_AUTO_TEST_CASE(a_lease_lapses_only_after_the_poll_in_flight_is_answered) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.AnswerPoll("w1", {RunningAs(cell.order)});
  BOOST_REQUIRE(cell.Decide().polls.size() == 1);
  cell.clock.Advance(seconds(7));
  BOOST_TEST(cell.Decide().notes.empty());
  cell.AnswerPoll("w1", {}, {Ended(cell.order, EndKind::kDone, 1)});
  cell.Decide();
  BOOST_TEST((cell.StateOf("a") == JobState::kCompleted));
}

// A poll after an unanswered one renews no lease, so waiting for its answer
// brings the lease closer to its end.
BOOST_AUTO_TEST_CASE(a_poll_after_an_unanswered_one_does_not_wait) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.AnswerPoll("w1", {RunningAs(cell.order)});
  const auto first = cell.Decide().polls;
  BOOST_REQUIRE(first.size() == 1);
  BOOST_TEST((first[0].wait > Milliseconds::zero()));
  cell.scheduler.OnPollReply(first[0], {}, cell.clock.Now(), cell.clock.Now());
  cell.clock.Advance(seconds(1));
  const auto second = cell.Decide().polls;
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST((second[0].wait == Milliseconds::zero()));
}

// After a poll without an answer the worker may be another incarnation, which
// would discard its own completions up to that number.
BOOST_AUTO_TEST_CASE(nothing_is_acknowledged_after_an_unanswered_poll) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.AnswerPoll("w1", {}, {Ended(cell.order, EndKind::kDone, 1)});
  cell.Decide();
  cell.Store();
  const auto before = cell.Decide().polls;
  BOOST_REQUIRE(before.size() == 1);
  BOOST_TEST(before[0].acknowledged == 1);
  cell.scheduler.OnPollReply(before[0], {}, cell.clock.Now(), cell.clock.Now());
  cell.clock.Advance(seconds(1));
  const auto after = cell.Decide().polls;
  BOOST_REQUIRE(after.size() == 1);
  BOOST_TEST(after[0].acknowledged == 0);
}

// Guards against a poll that is executed late, by the next incarnation of the
// worker, and discards its completions unseen.
BOOST_AUTO_TEST_CASE(completions_are_acknowledged_only_once) {
  StartedTaskCell cell;
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.AnswerPoll("w1", {}, {Ended(cell.order, EndKind::kDone, 1)});
  cell.Decide();
  cell.Store();
  const auto first = cell.Decide().polls;
  BOOST_REQUIRE(first.size() == 1);
  BOOST_TEST(first[0].acknowledged == 1U);
  PollReply reply;
  reply.outcome = OrderOutcome::kDone;
  reply.worker_clock =
      std::chrono::floor<Milliseconds>(cell.clock.Now().time_since_epoch());
  reply.born_unix_ms = 1;
  cell.scheduler.OnPollReply(first[0], reply, cell.clock.Now(),
                             cell.clock.Now());
  const auto second = cell.Decide().polls;
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second[0].acknowledged == 0U);
}

// Guards against starts that time out before they are sent, because thousands
// wait for the few connections to one worker: their tasks were placed again and
// again, and hardly any began.
BOOST_AUTO_TEST_CASE(starts_to_one_worker_are_sent_in_portions) {
  constexpr std::size_t kTasks = 200;
  constexpr std::size_t kInFlight = 64;
  SchedulerFixture cell;
  cell.AddWorker("w1");
  cell.scheduler.OnJob(cell.Job("a", kTasks, 100), {}, cell.clock.Now());
  const auto first = cell.Starts();
  BOOST_REQUIRE(first.size() == kInFlight);
  BOOST_TEST(cell.Decide().starts.empty());
  for (std::size_t i = 0; i < 10; i++) {
    cell.Answer(first[i], OrderOutcome::kDone);
  }
  BOOST_TEST(cell.Decide().starts.size() == 10U);
  BOOST_TEST(cell.scheduler.Count().assigned_tasks == kTasks);
}

// The answer of the earlier incarnation is handled after the restart is known.
BOOST_AUTO_TEST_CASE(a_late_confirmation_does_not_replace_the_stop) {
  StartedTaskCell cell;
  cell.AddWorker("w2");
  cell.Answer(cell.order, OrderOutcome::kNoAnswer);
  AnswerPollOf(cell, 2);
  BOOST_TEST(cell.Decide().stops.size() == 1);
  cell.Answer(cell.order, OrderOutcome::kDone);
  cell.clock.Advance(milliseconds(10));
  AnswerPollOf(cell, 2);
  BOOST_TEST(cell.Starts().empty());
}

}  // namespace
}  // namespace shallotbank::cell
