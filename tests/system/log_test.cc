#include <thread>

#include <boost/test/unit_test.hpp>

#include "cell.h"

namespace shallotbank::system_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against accepted work that is lost or accepted twice when an append to
// the log takes effect but its response is lost.
BOOST_AUTO_TEST_CASE(LostAppendResponsesNeitherLoseNorRepeatWork) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  standins::Faults faults;
  faults.lose_answers = 0.5;
  cell.log.SetFaults(faults);
  std::vector<std::string> accepted;
  for (int i = 0; i < 12; ++i) {
    const auto job = cell.SubmitJob(i % 2, "grind", 2, 100);
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
  const auto observations = cell.workers.Observe();
  BOOST_TEST(observations.double_runs == 0U);
  BOOST_TEST(observations.repeated_runs == 0U);
}

// Guards against a log outage that interrupts the forwarding of requests,
// running tasks or placement, and against refusals with an incorrect
// `execution` member.
BOOST_AUTO_TEST_CASE(LogOutageStopsOnlyWhatNeedsTheLog) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  const auto earlier_job = cell.SubmitJob(0, "grind", 4, 3000);
  BOOST_REQUIRE(!earlier_job.empty());
  standins::Faults down;
  down.down = true;
  cell.log.SetFaults(down);
  const auto head = cell.log.Head();
  // The outcome of the first append may be unknown; later requests are refused
  // without an append.
  cell.SendRequest(0, "wear-report", "wr-first", "{}");
  const auto refused = cell.SendRequest(0, "wear-report", "wr-down", "{}");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(ErrorExecution(refused) == "not-run");
  // Longer than the authority duration and the maximum age of a fresh view.
  const auto deadline = SystemClock().Now() + seconds(6);
  int successes = 0;
  int attempts = 0;
  while (SystemClock().Now() < deadline) {
    for (const std::size_t host : {0U, 1U}) {
      ++attempts;
      successes +=
          cell.SendRequest(host, "quote", "", "{}").status == 200 ? 1 : 0;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  BOOST_TEST(successes == attempts);
  // Once the outage is detected, submissions are refused at once with a
  // definite outcome.
  const auto refused_job = cell.CallAsTeam(0, "POST", "/v1/jobs", "{}",
                                           {{"Shallotbank-Profile", "grind"}});
  BOOST_TEST(ErrorReason(refused_job) == "log_unavailable");
  BOOST_TEST(ErrorExecution(refused_job) == "not-run");
  BOOST_TEST(cell.minions.RunsOf("wr-down") == 0U);
  BOOST_TEST(cell.workers.Observe().expired_leases == 0U);
  BOOST_TEST(cell.log.Head() == head);
  cell.log.SetFaults({});
  BOOST_TEST(Cell::WaitFor(seconds(20), [&] {
    return cell.JobState(1, earlier_job) == "succeeded";
  }));
  BOOST_TEST(Cell::WaitFor(seconds(10), [&] {
    return !cell.SubmitJob(0, "grind", 1, 100).empty();
  }));
  BOOST_TEST(cell.workers.Observe().repeated_runs == 0U);
}

// Guards against exceeding the append rate that the platform's log sustains
// (several hundred per second) while the daemons catch up after an outage.
BOOST_AUTO_TEST_CASE(RecoveryStaysBelowTheAppendRate) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  std::vector<std::string> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(cell.SubmitJob(0, "grind", 50, 500));
  }
  BOOST_REQUIRE(Cell::WaitFor(
      seconds(10), [&] { return cell.workers.Observe().running > 200; }));
  standins::Faults down;
  down.down = true;
  cell.log.SetFaults(down);
  std::this_thread::sleep_for(seconds(2));
  const auto appends = cell.log.AppendCount();
  cell.log.SetFaults({});
  const auto start = SystemClock().Now();
  BOOST_TEST(Cell::WaitFor(seconds(30), [&] {
    return cell.JobState(0, jobs.back()) == "succeeded";
  }));
  const std::chrono::duration<double> elapsed = SystemClock().Now() - start;
  const auto rate = static_cast<double>(cell.log.AppendCount() - appends) /
                    std::max(elapsed.count(), 1.0);
  BOOST_TEST_MESSAGE("appends per second while catching up: " << rate);
  // 4 processes with at most 20 appends per second each.
  BOOST_TEST(rate <= 80.0);
}

}  // namespace
}  // namespace shallotbank::system_test
