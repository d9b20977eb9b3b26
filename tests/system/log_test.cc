#include <thread>

#include <boost/test/unit_test.hpp>

#include "cell.h"

namespace shallotbank::system_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against accepted work that is lost, or taken in twice, when the log's
// answers are lost after the append took effect.
BOOST_AUTO_TEST_CASE(LostAnswersLoseAndDoubleNothing) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  standins::Faults faults;
  faults.lose_answers = 0.5;
  cell.log.SetFaults(faults);
  std::vector<std::string> accepted;
  for (int i = 0; i < 12; ++i) {
    const auto job = cell.Submit(i % 2, "grind", 2, 100);
    if (!job.empty()) {
      accepted.push_back(job);
    }
  }
  BOOST_TEST(!accepted.empty());
  cell.log.SetFaults({});
  for (const auto& job : accepted) {
    BOOST_TEST(Cell::WaitFor(
        seconds(30), [&] { return cell.JobState(0, job) == "succeeded"; }));
  }
  const auto seen = cell.workers.Observe();
  BOOST_TEST(seen.double_runs == 0U);
  BOOST_TEST(seen.repeated_runs == 0U);
}

// Guards against an outage of the log that stops forwarding, running work or
// placement, and against refusals that are not true.
BOOST_AUTO_TEST_CASE(OutageStopsOnlyWhatNeedsTheLog) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  const auto before = cell.Submit(0, "grind", 4, 3000);
  BOOST_REQUIRE(!before.empty());
  standins::Faults down;
  down.down = true;
  cell.log.SetFaults(down);
  const auto head = cell.log.Head();
  // The first append may be in doubt; later ones are refused without one.
  cell.Request(0, "wear-report", "wr-first", "{}");
  const auto refused = cell.Request(0, "wear-report", "wr-down", "{}");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(Execution(refused) == "not-run");
  // Longer than the authority and the age at which a view counts as fresh.
  const auto end = SystemClock().Now() + seconds(6);
  int answered = 0;
  int tried = 0;
  while (SystemClock().Now() < end) {
    for (const std::size_t host : {0U, 1U}) {
      ++tried;
      answered += cell.Request(host, "quote", "", "{}").status == 200 ? 1 : 0;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  BOOST_TEST(answered == tried);
  // Once an outage is seen, submissions are refused at once, not left in doubt.
  const auto refused_job = cell.Call(0, "POST", "/v1/jobs", "{}",
                                     {{"Shallotbank-Profile", "grind"}});
  BOOST_TEST(Reason(refused_job) == "log_unavailable");
  BOOST_TEST(Execution(refused_job) == "not-run");
  BOOST_TEST(cell.minions.RunsOf("wr-down") == 0U);
  BOOST_TEST(cell.workers.Observe().expired_leases == 0U);
  BOOST_TEST(cell.log.Head() == head);
  cell.log.SetFaults({});
  BOOST_TEST(Cell::WaitFor(
      seconds(20), [&] { return cell.JobState(1, before) == "succeeded"; }));
  BOOST_TEST(Cell::WaitFor(
      seconds(10), [&] { return !cell.Submit(0, "grind", 1, 100).empty(); }));
  BOOST_TEST(cell.workers.Observe().repeated_runs == 0U);
}

// Guards against catching up after an outage with more appends than the
// platform's log takes (several hundred a second).
BOOST_AUTO_TEST_CASE(CatchingUpStaysUnderTheAppendRate) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  std::vector<std::string> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(cell.Submit(0, "grind", 50, 500));
  }
  BOOST_REQUIRE(Cell::WaitFor(
      seconds(10), [&] { return cell.workers.Observe().running > 200; }));
  standins::Faults down;
  down.down = true;
  cell.log.SetFaults(down);
  std::this_thread::sleep_for(seconds(2));
  const auto appends = cell.log.AppendCount();
  cell.log.SetFaults({});
  const auto began = SystemClock().Now();
  BOOST_TEST(Cell::WaitFor(seconds(30), [&] {
    return cell.JobState(0, jobs.back()) == "succeeded";
  }));
  const std::chrono::duration<double> took = SystemClock().Now() - began;
  const auto rate = static_cast<double>(cell.log.AppendCount() - appends) /
                    std::max(took.count(), 1.0);
  BOOST_TEST_MESSAGE("appends per second while catching up: " << rate);
  // 4 processes at 20 appends a second each.
  BOOST_TEST(rate <= 80.0);
}

}  // namespace
}  // namespace shallotbank::system_test
