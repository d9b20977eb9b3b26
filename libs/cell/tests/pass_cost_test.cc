#include <boost/test/unit_test.hpp>

#include <ctime>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;

/// Other hosts claim the leadership after this time without a renewal, which
/// happens between two calls of the scheduler. Allowed in processor time of any
/// build, sanitizers included.
constexpr milliseconds kLongestCall(1500);

/// Calls `function` and returns the processor time that it took.
template <typename Function>
auto ProcessorTime(Function function) -> milliseconds {
  const auto before = std::clock();
  function();
  return milliseconds((std::clock() - before) * 1000 / CLOCKS_PER_SEC);
}

struct LargeStepCase {
  const char* name;
  std::size_t workers;
  std::size_t tasks;
  std::size_t max_per_worker;
  bool is_gang;
};

// A step of 10,000 tasks with a limit per worker kept each leader in one
// placement pass until it had lost its office.
BOOST_AUTO_TEST_CASE(a_large_step_is_placed_in_short_passes) {
  const LargeStepCase cases[] = {
      {"limit per worker", 48, 10'000, 250, false},
      {"limit per worker that leaves tasks without a place", 48, 10'000, 100,
       false},
      {"no limit", 540, 20'000, 0, false},
      {"gang with a limit per worker", 48, 10'000, 250, true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      SchedulerFixture cell;
      for (std::size_t i = 0; i < test_case.workers; i++) {
        cell.AddWorker("w" + std::to_string(i));
      }
      auto job =
          cell.Job("5c0e7a2100000001", test_case.tasks, 100, test_case.is_gang);
      job.steps[0].demand.memory_mib = 10;
      job.steps[0].max_per_worker = test_case.max_per_worker;
      cell.scheduler.OnJob(job, {}, cell.clock.Now());
      const auto room =
          test_case.max_per_worker == 0
              ? test_case.tasks
              : std::min(test_case.tasks,
                         test_case.workers * test_case.max_per_worker);
      milliseconds longest{};
      for (int pass = 0;
           pass < 100 && cell.scheduler.Count().assigned_tasks < room; pass++) {
        longest = std::max(longest, ProcessorTime([&] { cell.Decide(); }));
        BOOST_REQUIRE(longest < kLongestCall);
        cell.Store();
      }
      BOOST_TEST_MESSAGE(test_case.name << ": longest pass " << longest.count()
                                        << " ms");
      BOOST_TEST(cell.scheduler.Count().assigned_tasks == room);
      cell.Decide();
      BOOST_TEST(cell.scheduler.Count().assigned_tasks == room);
    }
  }
}

/// A job whose tasks all run on workers of 1,000 cores.
struct RunningStep : SchedulerFixture {
  RunningStep(std::size_t workers, std::size_t tasks, bool is_gang) {
    for (std::size_t i = 0; i < workers; i++) {
      this->names.push_back("w" + std::to_string(i));
      this->AddWorker(this->names.back(), 1'000'000);
    }
    this->job = this->Job("5c0e7a2100000001", tasks, 40, is_gang);
    this->job.steps[0].demand.memory_mib = 1;
    this->scheduler.OnJob(this->job, {}, this->clock.Now());
    for (int pass = 0; pass < 1000 && this->started < tasks; pass++) {
      const auto decisions = this->Decide();
      if (decisions.batch) {
        this->Store();
      }
      for (const auto& order : decisions.starts) {
        this->Answer(order, OrderOutcome::kDone);
        this->starts[order.target.worker.Text()].push_back(order);
        this->started++;
      }
    }
  }

  auto LosePolls() -> void {
    for (const auto& name : this->names) {
      this->scheduler.OnPollReply(this->PollOrderFor(name), PollReply(),
                                  this->clock.Now(), this->clock.Now());
    }
  }

  JobSpec job;
  std::vector<std::string> names;
  std::map<std::string, std::vector<StartOrder>> starts;
  std::size_t started = 0;
};

struct LostRunsCase {
  const char* name;
  std::size_t workers;
  std::size_t tasks;
  bool is_gang;
};

// Each lost run of a gang visited all its members, and each run that left a
// worker all runs there.
BOOST_AUTO_TEST_CASE(many_runs_are_lost_in_a_short_pass) {
  const LostRunsCase cases[] = {
      {"gang on many workers", 48, 10'000, true},
      {"tasks on one worker", 1, 10'000, false},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      RunningStep cell(test_case.workers, test_case.tasks, test_case.is_gang);
      BOOST_REQUIRE(cell.started == test_case.tasks);
      cell.clock.Advance(std::chrono::seconds(20));
      cell.authority.may_start = false;
      cell.LosePolls();
      const auto took = ProcessorTime([&] { cell.Decide(); });
      BOOST_TEST_MESSAGE(test_case.name << ": " << took.count() << " ms");
      BOOST_TEST(took < kLongestCall);
      BOOST_TEST(cell.scheduler.Count().assigned_tasks == 0U);
    }
  }
}

struct ManyEndsCase {
  const char* name;
  bool is_gang;
  EndKind how;
  /// The runs were given up before their ends are listed.
  bool is_late;
};

// Each end of a gang was stored with all its members, and each late completion
// was searched for among all tasks of its job.
BOOST_AUTO_TEST_CASE(many_ends_are_handled_in_a_short_call) {
  constexpr std::size_t kTasks = 10'000;
  const ManyEndsCase cases[] = {
      {"tasks", false, EndKind::kDone, false},
      {"gang that is stopped", true, EndKind::kStopped, false},
      {"gang that is done", true, EndKind::kDone, false},
      {"late completions", false, EndKind::kDone, true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      RunningStep cell(1, kTasks, test_case.is_gang);
      BOOST_REQUIRE(cell.started == kTasks);
      cell.authority.may_start = false;
      if (test_case.is_late) {
        cell.clock.Advance(std::chrono::seconds(20));
        cell.LosePolls();
        cell.Decide();
        BOOST_REQUIRE(cell.scheduler.Count().assigned_tasks == 0U);
      }
      std::vector<EndedTask> ended;
      for (const auto& order : cell.starts["w0"]) {
        ended.push_back(Ended(order, test_case.how, ended.size() + 1));
        ended.back().checkpoint = "00000bb87a21d94b" + order.task.Text();
      }
      const auto took =
          ProcessorTime([&] { cell.AnswerPoll("w0", {}, std::move(ended)); });
      BOOST_TEST_MESSAGE(test_case.name << ": " << took.count() << " ms");
      BOOST_TEST(took < kLongestCall);
      BOOST_TEST(cell.scheduler.Count().assigned_tasks == 0U);
    }
  }
}

// The occurrences of a recurring job stayed in memory, and each pass visited
// all of them.
BOOST_AUTO_TEST_CASE(occurrences_that_are_over_cost_nothing) {
  constexpr std::size_t kOccurrences = 30'000;
  constexpr int kPasses = 100;
  SchedulerFixture cell;
  cell.AddWorker("w0", 1'000'000);
  auto job = cell.Job("5c0e7a2100000001", 1, 40);
  job.occurrence_count = kOccurrences + 1;
  job.interval = milliseconds(1);
  cell.scheduler.OnJob(job, {}, cell.clock.Now());
  const auto decide = [&cell](milliseconds wall) {
    cell.clock.Advance(milliseconds(30));
    auto decisions = cell.scheduler.Decide(
        cell.clock.Now(), std::chrono::system_clock::time_point(wall),
        cell.authority);
    if (decisions.batch) {
      cell.scheduler.OnStored(decisions.batch->sequence, cell.clock.Now());
    }
    return decisions;
  };
  std::size_t done = 0;
  for (int pass = 0; pass < 1000 && done < kOccurrences; pass++) {
    std::vector<EndedTask> ended;
    for (const auto& order : decide(milliseconds(kOccurrences - 1)).starts) {
      cell.Answer(order, OrderOutcome::kDone);
      ended.push_back(Ended(order, EndKind::kDone, ++done));
    }
    cell.AnswerPoll("w0", {}, std::move(ended));
  }
  BOOST_REQUIRE(done == kOccurrences);
  cell.scheduler.OnWorkerGone(WorkerId("w0"), cell.clock.Now());
  decide(milliseconds(kOccurrences));
  BOOST_TEST(cell.scheduler.Count().waiting_tasks == 1U);
  const auto took = ProcessorTime([&] {
    for (int pass = 0; pass < kPasses; pass++) {
      decide(milliseconds(kOccurrences));
    }
  });
  BOOST_TEST_MESSAGE(took.count() << " ms");
  BOOST_TEST(took < milliseconds(200));
}

}  // namespace
}  // namespace shallotbank::cell
