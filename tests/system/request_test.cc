#include <atomic>
#include <csignal>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "cell.h"

namespace shallotbank::system_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a non-idempotent request that runs again when its caller sends
// a duplicate through another entry host.
BOOST_AUTO_TEST_CASE(DuplicateThroughAnotherHostRunsOnce) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  const auto first =
      cell.SendRequest(0, "wear-report", "wr-1", "{\"belts\":3}");
  BOOST_TEST(first.status == 200);
  const auto repeated =
      cell.SendRequest(1, "wear-report", "wr-1", "{\"belts\":3}");
  BOOST_TEST(repeated.status == 200);
  BOOST_TEST(repeated.body == first.body);
  BOOST_REQUIRE(http::FindHeader(repeated.headers, "Shallotbank-Replayed"));
  const auto other =
      cell.SendRequest(1, "wear-report", "wr-1", "{\"belts\":4}");
  BOOST_TEST(other.status == 422);
  BOOST_TEST(ErrorReason(other) == "request_id_reused");
  BOOST_TEST(cell.minions.RunsOf("wr-1") == 1U);
}

// Guards against a non-idempotent request that runs twice when its entry host
// is killed while a minion processes it. The log cannot hold an outcome,
// because the service time of the minion is longer than the test waits before
// the kill.
BOOST_AUTO_TEST_CASE(EntryHostKilledMidRequest) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  cell.minions.SetServiceTime(milliseconds(2500));
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&cell, i] {
      cell.SendRequest(0, "wear-report", "kill-" + std::to_string(i), "{}");
    });
  }
  const bool all_started = Cell::WaitFor(seconds(2), [&cell] {
    for (int i = 0; i < 8; ++i) {
      if (cell.minions.RunsOf("kill-" + std::to_string(i)) == 0) {
        return false;
      }
    }
    return true;
  });
  cell.hosts[0].entry->Kill();
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_REQUIRE(all_started);
  for (int i = 0; i < 8; ++i) {
    const auto id = "kill-" + std::to_string(i);
    const auto reply = cell.SendRequest(1, "wear-report", id, "{}");
    BOOST_TEST(reply.status == 409);
    BOOST_TEST(ErrorExecution(reply) == "may-have-run");
    BOOST_TEST(cell.minions.RunsOf(id) == 1U);
  }
}

// Guards against a retry of a non-idempotent request whose response was lost
// after the minion ran it.
BOOST_AUTO_TEST_CASE(LostMinionResponsesAreNotRetried) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  standins::Faults faults;
  faults.lose_answers = 1;
  for (int i = 0; i < 6; ++i) {
    cell.minions.SetFaults("m" + std::to_string(i), faults);
  }
  const auto reply = cell.SendRequest(0, "wear-report", "lost-1", "{}");
  BOOST_TEST(reply.status == 504);
  BOOST_TEST(ErrorExecution(reply) == "may-have-run");
  BOOST_TEST(cell.minions.RunsOf("lost-1") == 1U);
}

// Guards against a graceful shutdown that drops or truncates in-flight
// requests.
BOOST_AUTO_TEST_CASE(PlannedStopCutsNothing) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  cell.minions.SetServiceTime(milliseconds(150));
  std::atomic<int> incomplete{0};
  std::atomic<int> complete{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] {
      // Like a load balancer, callers stop sending once the health check fails.
      while (cell.CallAsTeam(0, "GET", "/healthz", "").status == 200) {
        const auto reply = cell.SendRequest(0, "quote", "", "{}");
        const bool is_complete = reply.verdict == Verdict::kRan;
        (is_complete ? complete : incomplete)++;
      }
    });
  }
  std::this_thread::sleep_for(seconds(1));
  cell.hosts[0].entry->Signal(SIGTERM);
  for (auto& caller : callers) {
    caller.join();
  }
  const auto code = cell.hosts[0].entry->WaitForExit(seconds(15));
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == 0);
  BOOST_TEST(incomplete == 0);
  BOOST_TEST(complete > 8);
  // The host has released its minion groups, so other hosts can use them at
  // once.
  BOOST_TEST(Cell::WaitFor(seconds(2), [&] {
    return cell.SendRequest(1, "quote", "", "{}").status == 200;
  }));
}

// Guards against more concurrent requests on a minion than it has slots when
// the owner of its group is killed or paused under load.
BOOST_AUTO_TEST_CASE(SlotsHoldWhenOwnersFail) {
  Cell cell({.hosts = 3, .workers = 2, .minions = 2});
  BOOST_REQUIRE(cell.Start());
  cell.minions.SetServiceTime(milliseconds(200));
  std::atomic<bool> done{false};
  std::vector<std::thread> callers;
  for (int i = 0; i < 36; ++i) {
    callers.emplace_back([&, i] {
      while (!done) {
        cell.SendRequest(static_cast<std::size_t>(i % 3), "quote", "", "{}");
      }
    });
  }
  std::this_thread::sleep_for(seconds(1));
  cell.hosts[0].entry->Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(6));
  cell.hosts[0].entry->Signal(SIGCONT);
  std::this_thread::sleep_for(seconds(1));
  cell.hosts[1].entry->Kill();
  std::this_thread::sleep_for(seconds(6));
  done = true;
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST_MESSAGE(
      "most requests at once on a minion: " << cell.minions.MaxConcurrency());
  BOOST_TEST(cell.minions.MaxConcurrency() <= 8);
}

// Guards against new work for a minion or worker that the host list marks as
// leaving.
BOOST_AUTO_TEST_CASE(LeavingHostsGetNothingNew) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  cell.host_list.SetState("m1", "leaving");
  cell.host_list.SetState("w1", "leaving");
  std::this_thread::sleep_for(seconds(3));
  standins::Faults down;
  down.down = true;
  // The list cannot be read from here on, so the last known one must stay in
  // use.
  cell.host_list.SetFaults(down);
  const auto count_of = [&cell](const char* minion) {
    const auto reply =
        cell.client.SendAndWait({.url = cell.minions.Url() + "/control"});
    return ParseBody(reply)["runs_by_minion"].value(minion, 0);
  };
  const auto runs_before = count_of("m1");
  for (int i = 0; i < 60; ++i) {
    cell.SendRequest(i % 2, "quote", "", "{}");
  }
  const auto job = cell.SubmitJob(0, "grind", 200, 2000);
  BOOST_TEST(Cell::WaitFor(
      seconds(10), [&] { return cell.workers.Observe().running >= 150; }));
  for (const auto& [task, worker] : cell.workers.RunningTasks()) {
    BOOST_TEST(worker != "w1");
  }
  BOOST_TEST(count_of("m1") == runs_before);
}

}  // namespace
}  // namespace shallotbank::system_test
