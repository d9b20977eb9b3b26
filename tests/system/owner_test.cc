#include <csignal>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cell.h"

namespace shallotbank::system_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What happens to the process that owns the shard while work runs.
struct OwnerFault {
  const char* name;
  void (*inject)(Cell& cell, int owner);
  void (*undo)(Cell& cell, int owner);
  Duration resume_within;  // Until a new job starts.
};

auto operator<<(std::ostream& out, const OwnerFault& c) -> std::ostream& {
  return out << c.name;
}

auto Sched(Cell& cell, int host) -> ChildProcess& {
  return *cell.hosts[static_cast<std::size_t>(host)].sched;
}

auto DoNothing(Cell& /*cell*/, int /*owner*/) -> void {}

const std::vector<OwnerFault> kFaults{
    {"killed", [](Cell& cell, int owner) { Sched(cell, owner).Kill(); },
     DoNothing, seconds(5)},
    {"paused past its lease and resumed",
     [](Cell& cell, int owner) { Sched(cell, owner).Signal(SIGSTOP); },
     [](Cell& cell, int owner) { Sched(cell, owner).Signal(SIGCONT); },
     seconds(5)},
    {"planned stop",
     [](Cell& cell, int owner) { Sched(cell, owner).Signal(SIGTERM); },
     DoNothing, milliseconds(500)},
};

// Guards against accepted work that is lost or runs twice when the owner of a
// shard dies, pauses or stops, and against placement that stands still.
BOOST_DATA_TEST_CASE(WorkSurvivesItsOwner, kFaults, c) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  std::vector<std::string> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(cell.Submit(0, "grind", 10, 1500));
    BOOST_REQUIRE(!jobs.back().empty());
  }
  BOOST_REQUIRE(Cell::WaitFor(
      seconds(10), [&] { return cell.workers.Observe().running > 50; }));
  const int owner = cell.SchedOwner();
  BOOST_REQUIRE(owner >= 0);
  const auto began = SystemClock().Now();
  c.inject(cell, owner);
  const std::size_t other = owner == 0 ? 1 : 0;
  jobs.push_back(cell.Submit(other, "grind", 1, 200));
  BOOST_REQUIRE(!jobs.back().empty());
  const auto state_of_new = [&] { return cell.JobState(other, jobs.back()); };
  const bool resumed = Cell::WaitFor(seconds(20), [&] {
    const auto state = state_of_new();
    return state == "running" || state == "finishing" || state == "succeeded";
  });
  const auto took = SystemClock().Now() - began;
  BOOST_TEST(resumed);
  BOOST_TEST_MESSAGE(c.name
                     << ": placement resumed after "
                     << std::chrono::duration_cast<milliseconds>(took).count()
                     << " ms");
  BOOST_TEST((took <= c.resume_within));
  std::this_thread::sleep_for(seconds(1));
  c.undo(cell, owner);
  for (const auto& job : jobs) {
    BOOST_TEST(Cell::WaitFor(
        seconds(40), [&] { return cell.JobState(other, job) == "succeeded"; }));
  }
  const auto seen = cell.workers.Observe();
  BOOST_TEST(seen.double_runs == 0U);
  BOOST_TEST(seen.repeated_runs == 0U);
  BOOST_TEST(seen.overcommits == 0U);
  BOOST_TEST(seen.finishes == 201U);
}

// Guards against a dead owner that is not replaced when a worker has died with
// it, and against work of that worker that is lost or doubled.
BOOST_AUTO_TEST_CASE(OwnerAndWorkerDieTogether) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  const auto job = cell.Submit(0, "grind", 60, 2000);
  BOOST_REQUIRE(Cell::WaitFor(
      seconds(10), [&] { return cell.workers.Observe().running == 60; }));
  const int owner = cell.SchedOwner();
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
  cell.workers.SetFaults(worker, {});  // The host comes back empty.
  BOOST_TEST(Cell::WaitFor(
      seconds(40), [&] { return cell.JobState(other, job) == "succeeded"; }));
  const auto seen = cell.workers.Observe();
  BOOST_TEST(seen.double_runs == 0U);
  BOOST_TEST(seen.repeated_runs == 0U);
  BOOST_TEST(seen.overcommits == 0U);
}

}  // namespace
}  // namespace shallotbank::system_test
