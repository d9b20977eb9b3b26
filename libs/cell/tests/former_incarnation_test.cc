#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Milliseconds kMaxLease(10'000);

/// A task that runs on `w1`, in one of its incarnations.
struct RebornWorkerCell : SchedulerFixture {
  explicit RebornWorkerCell(Milliseconds max_lease = kMaxLease)
      : SchedulerFixture(SchedulerOptions{.epoch = 7, .max_lease = max_lease}) {
  }

  auto List(std::int64_t born) -> void {
    auto report = this->Report("w1");
    report.born_unix_ms = born;
    this->scheduler.OnWorker(report, this->clock.Now());
  }
  /// Returns the poll of `w1` that the next decision sends, if any.
  auto SentPoll() -> std::optional<PollOrder> {
    for (auto& poll : this->Decide().polls) {
      if (poll.target.worker == WorkerId("w1")) {
        return std::move(poll);
      }
    }
    return std::nullopt;
  }
  auto AnswerOf(const PollOrder& order,
                std::int64_t born,
                milliseconds worker_clock,
                std::vector<RunningTask> running = {}) -> void {
    PollReply reply;
    reply.outcome = OrderOutcome::kDone;
    reply.born_unix_ms = born;
    reply.worker_clock = worker_clock;
    reply.running = std::move(running);
    this->scheduler.OnPollReply(order, reply, this->clock.Now(),
                                this->clock.Now());
  }
  /// Attaches the incarnation that is listed.
  auto Attach(std::int64_t born, milliseconds worker_clock) -> PollOrder {
    auto poll = this->SentPoll();
    BOOST_REQUIRE(poll.has_value());
    this->AnswerOf(*poll, born, worker_clock);
    return *poll;
  }
};

// The header that names a worker does not tell its incarnations apart, so
// that only a higher fence shuts out orders to the former one.
BOOST_AUTO_TEST_CASE(each_incarnation_of_a_worker_gets_a_higher_fence) {
  RebornWorkerCell cell;
  cell.List(1);
  const auto first = cell.Attach(1, seconds(100));
  cell.List(2);
  const auto second = cell.Attach(2, seconds(1));
  BOOST_TEST(second.target.fence > first.target.fence);
  cell.scheduler.OnWorkerGone(WorkerId("w1"), cell.clock.Now());
  cell.List(3);
  const auto third = cell.Attach(3, seconds(1));
  BOOST_TEST(third.target.fence > second.target.fence);
  SchedulerFixture next(8);
  next.AddWorker("w1");
  next.scheduler.OnJob(next.Job("a", 1, 1000), {}, next.clock.Now());
  const auto starts = next.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  BOOST_TEST(starts[0].target.fence > third.target.fence);
}

// The reply shows the restart, but others of the former incarnation's orders
// may still be executed before one with the next fence.
BOOST_AUTO_TEST_CASE(an_order_to_the_former_incarnation_attaches_nothing) {
  RebornWorkerCell cell;
  cell.List(1);
  const auto first = cell.Attach(1, seconds(100));
  const auto late = cell.SentPoll();
  BOOST_REQUIRE(late.has_value());
  cell.AnswerOf(*late, 2, seconds(1));
  cell.List(2);
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  BOOST_TEST(cell.scheduler.Count().attached_workers == 0U);
  const auto poll = cell.SentPoll();
  BOOST_REQUIRE(poll.has_value());
  BOOST_TEST(poll->target.fence > first.target.fence);
  BOOST_TEST(!poll->lease_until.has_value());
  BOOST_TEST(poll->acknowledged == 0U);
  cell.AnswerOf(*poll, 2, seconds(2));
  BOOST_TEST(cell.Starts().size() == 1U);
}

struct LeaseCase {
  const char* name;
  /// Of the worker's silence since its first answer.
  milliseconds silence;
  bool is_lost;
};

// A poll of the former incarnation names a lease by another clock, which the
// next one shortens to the longest lease that it grants.
BOOST_AUTO_TEST_CASE(a_reborn_worker_may_keep_its_runs_for_the_longest_lease) {
  const LeaseCase cases[] = {
      {"after the usual lease", seconds(8), false},
      {"within the longest lease", milliseconds(9'500), false},
      {"after the longest lease", seconds(12), true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      RebornWorkerCell cell;
      cell.List(1);
      cell.Attach(1, seconds(100));
      cell.List(2);
      cell.Attach(2, seconds(1));
      const auto attached_at = cell.clock.Now();
      cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
      const auto starts = cell.Starts();
      BOOST_REQUIRE(starts.size() == 1);
      cell.Answer(starts[0], OrderOutcome::kDone);
      cell.scheduler.OnPollReply(cell.PollOrderFor("w1"), PollReply(),
                                 cell.clock.Now(), cell.clock.Now());
      while (cell.clock.Now() - attached_at < test_case.silence) {
        for (const auto& poll : cell.Decide().polls) {
          cell.scheduler.OnPollReply(poll, PollReply(), cell.clock.Now(),
                                     cell.clock.Now());
        }
      }
      BOOST_TEST(cell.scheduler.Count().assigned_tasks ==
                 (test_case.is_lost ? 0U : 1U));
    }
  }
}

struct UnreachedCase {
  const char* name;
  bool is_taken_over;  ///< Assigned by a previous leader; else its restart is
                       ///< known from its entry.
  seconds silence;
  bool is_lost;
};

// An incarnation that this leader has not reached may hold the longest lease by
// an order that was not meant for it, or by one of a previous leader, which may
// have sent it until 10 s after the takeover.
BOOST_AUTO_TEST_CASE(a_worker_that_was_not_reached_may_hold_the_longest_lease) {
  const UnreachedCase cases[] = {
      {"restarted, within the longest lease", false, seconds(9), false},
      {"restarted, after it", false, seconds(12), true},
      {"taken over, within the longest lease", true, seconds(19), false},
      {"taken over, after it", true, seconds(22), true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      RebornWorkerCell cell;
      cell.List(1);
      JobProgress progress;
      if (test_case.is_taken_over) {
        progress.next_occurrence = 1;
        auto& step = progress.occurrences.emplace_back().steps.emplace_back();
        auto& task = step.emplace_back();
        task.phase = TaskPhase::kAssigned;
        task.run = 1;
        task.worker = {WorkerId("w1"), 1};
      } else {
        cell.Attach(1, seconds(100));
      }
      cell.scheduler.OnJob(cell.Job("a", 1, 1000), progress, cell.clock.Now());
      if (!test_case.is_taken_over) {
        const auto starts = cell.Starts();
        BOOST_REQUIRE(starts.size() == 1);
        cell.Answer(starts[0], OrderOutcome::kDone);
        cell.List(2);
      }
      const auto end = cell.clock.Now() + test_case.silence;
      while (cell.clock.Now() < end) {
        for (const auto& poll : cell.Decide().polls) {
          cell.scheduler.OnPollReply(poll, PollReply(), cell.clock.Now(),
                                     cell.clock.Now());
        }
      }
      BOOST_TEST(cell.scheduler.Count().assigned_tasks ==
                 (test_case.is_lost ? 0U : 1U));
    }
  }
}

struct FencedCase {
  const char* name;
  bool is_for_former;
  bool is_fenced;
};

// The next incarnation rejects an order to the former one for the higher fence
// of the same leader.
BOOST_AUTO_TEST_CASE(an_outdated_order_does_not_depose_its_leader) {
  const FencedCase cases[] = {
      {"order to the former incarnation", true, false},
      {"order to the current incarnation", false, true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      RebornWorkerCell poll_cell;
      RebornWorkerCell start_cell;
      RebornWorkerCell stop_cell;
      for (auto* cell : {&poll_cell, &start_cell, &stop_cell}) {
        cell->List(1);
        auto order = cell->Attach(1, seconds(100));
        if (test_case.is_for_former) {
          cell->List(2);
          cell->Attach(2, seconds(1));
        }
        PollReply reply;
        reply.outcome = OrderOutcome::kFenced;
        const auto now = cell->clock.Now();
        const OrderReply fenced{OrderOutcome::kFenced, seconds(1)};
        if (cell == &poll_cell) {
          cell->scheduler.OnPollReply(order, reply, now, now);
        } else if (cell == &start_cell) {
          cell->scheduler.OnStartReply({order.target, TaskId("a.0.0.0"), 1},
                                       fenced, now);
        } else {
          cell->scheduler.OnStopReply({order.target, TaskId("a.0.0.0"), 1},
                                      fenced, now);
        }
        BOOST_TEST(cell->scheduler.IsFenced() == test_case.is_fenced);
      }
    }
  }
}

// The clock of each incarnation starts anew, and a late answer of the former
// one moved that of the next one ahead, and with it the leases that it got.
BOOST_AUTO_TEST_CASE(an_answer_of_the_former_incarnation_sets_no_clock) {
  RebornWorkerCell cell;
  cell.List(1);
  cell.Attach(1, seconds(100));
  cell.scheduler.OnJob(cell.Job("a", 1, 1000), {}, cell.clock.Now());
  const auto starts = cell.Starts();
  BOOST_REQUIRE(starts.size() == 1);
  cell.List(2);
  cell.Attach(2, seconds(1));
  cell.scheduler.OnStartReply(starts[0], {OrderOutcome::kDone, seconds(200)},
                              cell.clock.Now());
  const auto poll = cell.SentPoll();
  BOOST_REQUIRE(poll.has_value());
  BOOST_REQUIRE(poll->lease_until.has_value());
  BOOST_TEST((*poll->lease_until < seconds(10)));
}

}  // namespace
}  // namespace shallotbank::cell
