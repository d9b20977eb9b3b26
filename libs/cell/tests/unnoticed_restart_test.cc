#include <ostream>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

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

enum class StartAnswer { kDone, kNoneYet, kLost };

struct AnswerCase {
  const char* name;
  StartAnswer answer;
  bool is_acknowledged;
};

auto operator<<(std::ostream& out, const AnswerCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<AnswerCase> kAnswerCases{
    {"answered start", StartAnswer::kDone, true},
    {"start in flight", StartAnswer::kNoneYet, false},
    {"start without an answer", StartAnswer::kLost, false},
};

/// Whether an end that is stored is acknowledged while the task that started
/// afterwards has this answer.
auto AcknowledgedAfter(StartAnswer answer) -> bool {
  RestartedWorkerCell cell;
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto ended = cell.Starts();
  BOOST_REQUIRE(ended.size() == 1);
  cell.Answer(ended[0], OrderOutcome::kDone);
  cell.scheduler.OnJob(cell.Job("b", 1, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  if (answer == StartAnswer::kDone) {
    cell.Answer(starts[0], OrderOutcome::kDone);
  }
  // Sent and answered before the start was executed.
  cell.AnswerPoll("w1", {}, {Ended(ended[0], EndKind::kDone, 1)});
  if (answer != StartAnswer::kDone) {
    cell.clock.Advance(milliseconds(500));
  }
  if (answer == StartAnswer::kLost) {
    cell.Answer(starts[0], OrderOutcome::kNoAnswer);
  }
  if (cell.Decide().batch) {
    cell.Store();
  }
  const auto polls = cell.Decide().polls;
  BOOST_REQUIRE(polls.size() == 1);
  if (polls[0].acknowledged == 1) {
    return true;
  }
  // Acknowledged as soon as the incarnation is known again.
  if (answer == StartAnswer::kNoneYet) {
    cell.Answer(starts[0], OrderOutcome::kDone);
  }
  cell.clock.Advance(milliseconds(100));
  cell.AnswerPoll("w1", {RunningAs(starts[0])},
                  {Ended(ended[0], EndKind::kDone, 1)});
  const auto next = cell.Decide().polls;
  BOOST_REQUIRE(next.size() == 1);
  BOOST_TEST(next[0].acknowledged == 1U);
  return false;
}

// Guards against a task that runs again after its end, as above: the next
// incarnation may have carried out a start that has no answer.
BOOST_DATA_TEST_CASE(
    no_end_is_acknowledged_while_a_start_may_have_reached_the_next_incarnation,
    kAnswerCases,
    c) {
  BOOST_TEST(AcknowledgedAfter(c.answer) == c.is_acknowledged);
}

// Guards against starts for the former incarnation on one whose answer shows
// that the worker has restarted.
BOOST_AUTO_TEST_CASE(a_clock_that_went_back_holds_starts_until_the_next_poll) {
  RestartedWorkerCell cell;
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto first = cell.Starts();
  BOOST_REQUIRE(first.size() == 1);
  cell.scheduler.OnJob(cell.Job("b", 1, 1000), {}, cell.clock.Now());
  BOOST_REQUIRE(cell.Decide().batch);
  cell.scheduler.OnStartReply(
      first[0], {OrderOutcome::kDone, milliseconds(100)}, cell.clock.Now());
  cell.Store();
  const auto decisions = cell.Decide();
  BOOST_TEST(decisions.starts.empty());
  BOOST_REQUIRE(decisions.polls.size() == 1);
  const auto& poll = decisions.polls[0];
  BOOST_TEST(poll.target.fence > first[0].target.fence);
  BOOST_TEST(!poll.lease_until);
  BOOST_TEST(poll.acknowledged == 0U);
  // The clock of the worker is not steady: it has not restarted.
  cell.AnswerPoll("w1", {RunningAs(first[0])});
  BOOST_TEST(cell.Decide().starts.size() == 1U);
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
