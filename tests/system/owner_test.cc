#include <csignal>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cell.h"

namespace shallotbank::system_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fault of the scheduler that owns the shard while tasks run.
struct OwnerFault {
  const char* name;
  void (*inject)(Cell& cell, int owner);
  void (*undo)(Cell& cell, int owner);
  Duration max_resume_time;  // Until a new job starts.
};

auto operator<<(std::ostream& out, const OwnerFault& c) -> std::ostream& {
  return out << c.name;
}

auto Sched(Cell& cell, int host) -> ChildProcess& {
  return *cell.hosts[static_cast<std::size_t>(host)].sched;
}

auto NoUndo(Cell& /*cell*/, int /*owner*/) -> void {}

const std::vector<OwnerFault> kOwnerFaults{
    {"killed", [](Cell& cell, int owner) { Sched(cell, owner).Kill(); }, NoUndo,
     seconds(5)},
    {"paused past its lease and resumed",
     [](Cell& cell, int owner) { Sched(cell, owner).Signal(SIGSTOP); },
     [](Cell& cell, int owner) { Sched(cell, owner).Signal(SIGCONT); },
     seconds(5)},
    {"planned stop",
     [](Cell& cell, int owner) { Sched(cell, owner).Signal(SIGTERM); }, NoUndo,
     milliseconds(500)},
};

// Guards against accepted work that is lost or runs twice when the owner of a
// shard is killed, paused or shut down, and against a stall of placement.
BOOST_DATA_TEST_CASE(WorkSurvivesOwnerFault, kOwnerFaults, c) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  std::vector<std::string> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(cell.SubmitJob(0, "grind", 10, 1500));
    BOOST_REQUIRE(!jobs.back().empty());
  }
  BOOST_REQUIRE(Cell::WaitFor(
      seconds(10), [&] { return cell.workers.Observe().running > 50; }));
  const int owner = cell.ShardOwnerHost();
  BOOST_REQUIRE(owner >= 0);
  const auto start = SystemClock().Now();
  c.inject(cell, owner);
  const std::size_t other = owner == 0 ? 1 : 0;
  jobs.push_back(cell.SubmitJob(other, "grind", 1, 200));
  BOOST_REQUIRE(!jobs.back().empty());
  const auto state_of_new = [&] { return cell.JobState(other, jobs.back()); };
  const bool resumed = Cell::WaitFor(seconds(20), [&] {
    const auto state = state_of_new();
    return state == "running" || state == "finishing" || state == "succeeded";
  });
  const auto elapsed = SystemClock().Now() - start;
  BOOST_TEST(resumed);
  BOOST_TEST_MESSAGE(
      c.name << ": placement resumed after "
             << std::chrono::duration_cast<milliseconds>(elapsed).count()
             << " ms");
  BOOST_TEST((elapsed <= c.max_resume_time));
  std::this_thread::sleep_for(seconds(1));
  c.undo(cell, owner);
  for (const auto& job : jobs) {
    BOOST_TEST(Cell::WaitFor(
        seconds(40), [&] { return cell.JobState(other, job) == "succeeded"; }));
  }
  const auto observations = cell.workers.Observe();
  BOOST_TEST(observations.double_runs == 0U);
  BOOST_TEST(observations.repeated_runs == 0U);
  BOOST_TEST(observations.overcommits == 0U);
  BOOST_TEST(observations.finishes == 201U);
}

// Guards against an owner that is not replaced because a worker failed at the
// same time, and against tasks of that worker that are lost or run twice.
BOOST_AUTO_TEST_CASE(OwnerAndWorkerFailTogether) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  const auto job = cell.SubmitJob(0, "grind", 60, 2000);
  BOOST_REQUIRE(Cell::WaitFor(
      seconds(10), [&] { return cell.workers.Observe().running == 60; }));
  const int owner = cell.ShardOwnerHost();
  BOOST_REQUIRE(owner >= 0);
  const auto worker = cell.workers.RunningTasks().begin()->second;
  Sched(cell, owner).Kill();
  cell.workers.Crash(worker);
  standins::Faults dead;
  dead.silent = true;
  cell.workers.SetFaults(worker, dead);
  cell.host_list.SetState(worker, "leaving");
  const std::size_t other = owner == 0 ? 1 : 0;
  std::this_thread::sleep_for(seconds(3));
  cell.workers.SetFaults(worker, {});  // The host restarts without tasks.
  BOOST_TEST(Cell::WaitFor(
      seconds(40), [&] { return cell.JobState(other, job) == "succeeded"; }));
  const auto observations = cell.workers.Observe();
  BOOST_TEST(observations.double_runs == 0U);
  BOOST_TEST(observations.repeated_runs == 0U);
  BOOST_TEST(observations.overcommits == 0U);
}

}  // namespace
}  // namespace shallotbank::system_test
