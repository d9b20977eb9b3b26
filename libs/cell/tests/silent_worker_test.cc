#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <vector>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Milliseconds kMaxLease(10'000);
/// Of a poll without an answer; a shorter one means a lost connection.
constexpr milliseconds kPollTimeout(2'500);

/// One worker, whose polls and starts a test answers or leaves unanswered.
struct SilentWorkerCell : SchedulerFixture {
  SilentWorkerCell()
      : SchedulerFixture(SchedulerOptions{.epoch = 7, .max_lease = kMaxLease}) {
    this->AddWorker("w1");
    // Beyond what earlier orders may have led to.
    this->clock.Advance(seconds(15));
    this->AnswerPoll("w1");
  }

  auto LeaveUnanswered(const PollOrder& poll) -> void {
    const auto now = this->clock.Now();
    this->scheduler.OnPollReply(poll, PollReply(), now - kPollTimeout, now);
  }
  enum class Polls { kInFlight, kUnanswered };
  /// Returns the starts of the next decisions, and leaves them unanswered.
  auto StartsWithin(milliseconds time, Polls polls) -> std::vector<StartOrder> {
    std::vector<StartOrder> starts;
    const auto end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      auto decisions = this->Decide();
      if (decisions.batch) {
        this->Store();
      }
      if (polls == Polls::kUnanswered) {
        for (const auto& poll : decisions.polls) {
          this->LeaveUnanswered(poll);
        }
      }
      for (auto& start : decisions.starts) {
        this->Answer(start, OrderOutcome::kNoAnswer);
        starts.push_back(std::move(start));
      }
    }
    return starts;
  }
};

struct SilenceCase {
  const char* name;
  bool has_sent_before;  ///< The start was sent once, without an answer.
};

// Until it answers, the worker may be another incarnation, which the start was
// not decided for and whose leases the leader does not know.
BOOST_AUTO_TEST_CASE(a_worker_that_left_a_poll_unanswered_gets_no_start) {
  const SilenceCase cases[] = {
      {"first start", false},
      {"repeated start", true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SilentWorkerCell cell;
      cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
      if (test_case.has_sent_before) {
        const auto starts = cell.Starts();
        BOOST_REQUIRE(starts.size() == 1);
        cell.Answer(starts[0], OrderOutcome::kNoAnswer);
      } else {
        cell.Decide();
        cell.Store();  // The start is due.
      }
      cell.LeaveUnanswered(cell.PollOrderFor("w1"));
      using Polls = SilentWorkerCell::Polls;
      BOOST_TEST(cell.StartsWithin(seconds(5), Polls::kUnanswered).empty());
      cell.AnswerPoll("w1");
      const auto starts =
          cell.StartsWithin(milliseconds(100), Polls::kInFlight);
      BOOST_TEST(starts.size() == 1U);
    }
  }
}

// The answer to a start shows only that some incarnation is there, and the
// lease in the next start would have passed already.
BOOST_AUTO_TEST_CASE(a_worker_whose_lease_is_left_to_expire_gets_no_run) {
  SilentWorkerCell cell;
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  cell.LeaveUnanswered(cell.PollOrderFor("w1"));
  const auto clock =
      std::chrono::floor<Milliseconds>(cell.clock.Now().time_since_epoch());
  cell.scheduler.OnStartReply(starts[0], {OrderOutcome::kDone, clock},
                              cell.clock.Now());
  cell.scheduler.OnJob(cell.Job("b", 1, 1000), {}, cell.clock.Now());
  cell.Decide();
  BOOST_TEST(cell.scheduler.Count().assigned_tasks == 1U);
}

struct LapseCase {
  const char* name;
  std::optional<OrderOutcome> answer;  ///< To the start.
  std::optional<Milliseconds> clock;
  milliseconds silence;
  bool is_lost;
};

// A start without an answer may run on an incarnation that the leader does not
// know, for the longest lease of that one's clock. The answer of such an
// incarnation set the clock back, and the runs were kept for as long as the
// former one had been up.
BOOST_AUTO_TEST_CASE(an_unnoticed_restart_is_covered_by_the_longest_lease) {
  const LapseCase cases[] = {
      {"confirmed", OrderOutcome::kDone, std::nullopt, seconds(8), true},
      {"unanswered", OrderOutcome::kNoAnswer, std::nullopt, seconds(9), false},
      {"unanswered, for longer", OrderOutcome::kNoAnswer, std::nullopt,
       seconds(12), true},
      {"in flight", std::nullopt, std::nullopt, seconds(9), false},
      {"in flight, for longer", std::nullopt, std::nullopt, seconds(12), true},
      {"confirmed by a clock that started anew", OrderOutcome::kDone,
       seconds(1), seconds(9), false},
      {"confirmed by a clock that started anew, for longer",
       OrderOutcome::kDone, seconds(1), seconds(12), true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SilentWorkerCell cell;
      cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
      const auto starts = cell.Starts();
      BOOST_REQUIRE(starts.size() == 1);
      if (test_case.answer) {
        cell.scheduler.OnStartReply(
            starts[0], {*test_case.answer, test_case.clock}, cell.clock.Now());
      }
      cell.LeaveUnanswered(cell.PollOrderFor("w1"));
      cell.StartsWithin(test_case.silence,
                        SilentWorkerCell::Polls::kUnanswered);
      BOOST_TEST(cell.scheduler.Count().assigned_tasks ==
                 (test_case.is_lost ? 0U : 1U));
    }
  }
}

// Guards against a run that is given up while its next copy works: a poll lists
// it, the worker restarts, and the next incarnation executes another copy.
BOOST_AUTO_TEST_CASE(a_copy_of_a_confirmed_start_is_covered_by_its_lease) {
  SilentWorkerCell cell;
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  cell.AnswerPoll("w1", {RunningAs(starts[0])});
  cell.Answer(starts[0], OrderOutcome::kNoAnswer);
  cell.LeaveUnanswered(cell.PollOrderFor("w1"));
  cell.StartsWithin(seconds(9), SilentWorkerCell::Polls::kUnanswered);
  BOOST_TEST(cell.scheduler.Count().assigned_tasks == 1U);
  cell.StartsWithin(seconds(3), SilentWorkerCell::Polls::kUnanswered);
  BOOST_TEST(cell.scheduler.Count().assigned_tasks == 0U);
}

// Guards against a run that is given up while it works, since its order took
// long to reach the next incarnation, e.g. by way of a host that was lost.
BOOST_AUTO_TEST_CASE(the_longest_lease_counts_from_the_end_of_the_order) {
  constexpr milliseconds kOnTheWay(900);
  constexpr milliseconds kOrderTimeout(1'300);
  // The clock of a worker may run 2% slow.
  constexpr milliseconds kLongestLease(10'204);
  SilentWorkerCell cell;
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  const auto lease_end = cell.clock.Now() + kOnTheWay + kLongestLease;
  cell.clock.Advance(kOrderTimeout);
  cell.Answer(starts[0], OrderOutcome::kNoAnswer);
  cell.LeaveUnanswered(cell.PollOrderFor("w1"));
  const auto left = std::chrono::duration_cast<milliseconds>(
      lease_end - cell.clock.Now() - milliseconds(60));
  cell.StartsWithin(left, SilentWorkerCell::Polls::kUnanswered);
  BOOST_TEST(cell.scheduler.Count().assigned_tasks == 1U);
  cell.StartsWithin(seconds(3), SilentWorkerCell::Polls::kUnanswered);
  BOOST_TEST(cell.scheduler.Count().assigned_tasks == 0U);
}

// Guards against a gang that keeps its workers until the lease of a silent one
// has lapsed, since only answers to repeated starts showed that it is overdue.
BOOST_AUTO_TEST_CASE(a_gang_with_a_member_on_a_silent_worker_is_given_up_soon) {
  SchedulerFixture cell(SchedulerOptions{.epoch = 7, .max_lease = kMaxLease});
  cell.AddWorker("w1", 1000);
  cell.AddWorker("w2", 1000);
  cell.clock.Advance(seconds(15));
  cell.AnswerPoll("w1");
  cell.AnswerPoll("w2");
  cell.scheduler.OnJob(cell.Job("a", 2, 1000, true), {}, cell.clock.Now());
  std::optional<StartOrder> confirmed;
  for (const auto& start : cell.Starts()) {
    const bool is_confirmed = start.target.worker == WorkerId("w1");
    cell.Answer(start,
                is_confirmed ? OrderOutcome::kDone : OrderOutcome::kNoAnswer);
    if (is_confirmed) {
      confirmed = start;
    }
  }
  BOOST_REQUIRE(confirmed.has_value());
  const auto begin = cell.clock.Now();
  auto next_timeout = begin;
  bool is_stopped = false;
  while (!is_stopped && cell.clock.Now() < begin + seconds(3)) {
    const auto decisions = cell.Decide();
    is_stopped = std::any_of(
        decisions.stops.begin(), decisions.stops.end(),
        [](const auto& stop) { return stop.target.worker == WorkerId("w1"); });
    cell.AnswerPoll("w1", {RunningAs(*confirmed)});
    const auto now = cell.clock.Now();
    if (now >= next_timeout) {
      cell.scheduler.OnPollReply(cell.PollOrderFor("w2"), PollReply(),
                                 now - kPollTimeout, now);
      next_timeout = now + kPollTimeout;
    }
  }
  BOOST_TEST(is_stopped);
}

}  // namespace
}  // namespace shallotbank::cell
