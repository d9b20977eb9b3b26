#include <boost/test/unit_test.hpp>

#include <vector>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kNextBorn = 2;
/// Of a poll without an answer; a shorter one means a lost connection.
constexpr milliseconds kPollTimeout(2'500);

/// A worker that has restarted without its leader knowing of it.
struct RestartedWorkerCell : SchedulerFixture {
  RestartedWorkerCell()
      : SchedulerFixture(
            SchedulerOptions{.epoch = 7, .max_lease = seconds(10)}) {
    this->AddWorker("w1");
    // Beyond what earlier orders may have led to.
    this->clock.Advance(seconds(15));
    this->AnswerPoll("w1");
  }

  /// Makes some decisions; all starts are answered by the next incarnation.
  auto DecideSome(int times) -> Decisions {
    Decisions all;
    for (int i = 0; i < times; i++) {
      auto decisions = this->Decide();
      if (decisions.batch) {
        this->Store();
      }
      for (const auto& start : decisions.starts) {
        this->scheduler.OnStartReply(
            start, {OrderOutcome::kDone, milliseconds(100)}, this->clock.Now());
        all.starts.push_back(start);
      }
      for (const auto& poll : decisions.polls) {
        all.polls.push_back(poll);
      }
    }
    return all;
  }
  auto LeaveUnanswered(const PollOrder& poll) -> void {
    const auto now = this->clock.Now();
    this->scheduler.OnPollReply(poll, PollReply(), now - kPollTimeout, now);
  }
  /// The next incarnation answers that it has no runs and no ends.
  auto AnswerWithoutRuns(const PollOrder& poll) -> void {
    PollReply reply;
    reply.outcome = OrderOutcome::kDone;
    reply.born_unix_ms = kNextBorn;
    reply.worker_clock = milliseconds(300);
    this->scheduler.OnPollReply(poll, reply, this->clock.Now(),
                                this->clock.Now());
  }
};

// Guards against a task that runs again after its end: the number of an end of
// the former incarnation acknowledges one of the next, which nobody has seen.
BOOST_AUTO_TEST_CASE(an_end_of_the_former_incarnation_hides_none_of_the_next) {
  RestartedWorkerCell cell;
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  cell.Answer(starts[0], OrderOutcome::kDone);
  cell.AnswerPoll("w1", {}, {Ended(starts[0], EndKind::kDone, 1)});

  // The task ends on the next incarnation, with the same number.
  cell.scheduler.OnJob(cell.Job("b", 1, 1000), {}, cell.clock.Now());
  const auto decisions = cell.DecideSome(5);
  BOOST_REQUIRE(decisions.starts.size() == 1);
  BOOST_REQUIRE(!decisions.polls.empty());
  const auto& poll = decisions.polls.back();
  if (poll.acknowledged == 0) {
    return;  // The end is listed again.
  }
  cell.AnswerWithoutRuns(poll);
  auto report = cell.Report("w1");
  report.born_unix_ms = kNextBorn;
  cell.scheduler.OnWorker(report, cell.clock.Now());
  for (int i = 0; i < 100; i++) {
    const auto next = cell.DecideSome(1);
    BOOST_REQUIRE(next.starts.empty());
    for (const auto& order : next.polls) {
      cell.AnswerWithoutRuns(order);
    }
  }
}

// Guards against a run that is given up while it works: an answer of the former
// incarnation arrives after one of the next and sets the clock of the worker.
BOOST_AUTO_TEST_CASE(a_late_answer_does_not_set_the_clock_of_the_former_one) {
  RestartedWorkerCell cell;
  cell.scheduler.OnJob(cell.Job("a", 2, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 2);
  const auto former =
      std::chrono::floor<Milliseconds>(cell.clock.Now().time_since_epoch());
  cell.scheduler.OnStartReply(starts[0], {OrderOutcome::kDone, seconds(1)},
                              cell.clock.Now());
  cell.scheduler.OnStartReply(starts[1], {OrderOutcome::kDone, former},
                              cell.clock.Now());
  cell.LeaveUnanswered(cell.PollOrderFor("w1"));
  const auto end = cell.clock.Now() + seconds(9);
  while (cell.clock.Now() < end) {
    for (const auto& poll : cell.Decide().polls) {
      cell.LeaveUnanswered(poll);
    }
  }
  BOOST_TEST(cell.scheduler.Count().assigned_tasks >= 1U);
}

}  // namespace
}  // namespace shallotbank::cell
