#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "client_run.h"
#include "failure.h"
#include "fake_entry.h"
#include "table.h"

namespace shallotbank::client {
namespace {

constexpr const char* kWaitingJob =
    R"({"job":"j1","team":"serra","profile":"grind","state":"waiting",)"
    R"("tasks":{"total":3,"waiting":2,"running":1},"workers":["w1"],)"
    R"("why_waiting":"no_room","source":"owner"})";
constexpr const char* kFailedJob =
    R"({"job":"j1","team":"serra","profile":"grind","state":"failed",)"
    R"("tasks":{"total":1,"failed":1},"reason":"attempts","source":"log"})";

// Guards against misaligned columns.
BOOST_AUTO_TEST_CASE(TableAlignsItsColumns) {
  Table table({"A", "LONG"});
  table.AddRow({"wide cell", "x"});
  table.AddRow({"", "y"});
  std::ostringstream out;
  table.Print(out);
  BOOST_TEST(out.str() ==
             "A          LONG\n"
             "wide cell  x\n"
             "-          y\n");
}

// Guards against a status that omits the reason why the job is waiting, and
// against invalid JSON output.
BOOST_AUTO_TEST_CASE(JobIsShownWithItsReason) {
  FakeEntry entry({{200, {}, kWaitingJob}});
  const auto human = Run(entry.Url(), {"status", "j1"});
  BOOST_TEST(human.code == 0);
  BOOST_TEST(human.out.find("2 waiting, 1 running") != std::string::npos);
  BOOST_TEST(human.out.find("no_room") != std::string::npos);
  const auto script = Run(entry.Url(), {"status", "--json", "j1"});
  BOOST_TEST(nlohmann::json::parse(script.out) ==
             nlohmann::json::parse(kWaitingJob));
  const auto why = Run(entry.Url(), {"why", "j1"});
  BOOST_TEST(why.out == "the job waits: no_room\n");
}

// Scripts rely on the exit code: a failed job must not look like a successful
// one.
BOOST_AUTO_TEST_CASE(WaitReportsTheOutcomeOfTheJob) {
  FakeEntry entry({{200, {}, kWaitingJob}, {200, {}, kFailedJob}});
  const auto run = Run(entry.Url(), {"status", "--wait", "j1"});
  BOOST_TEST(run.code == static_cast<int>(ExitStatus::kFailed));
  BOOST_TEST(run.out.find("attempts") != std::string::npos);
  FakeEntry slow({{200, {}, kWaitingJob}});
  const auto late =
      Run(slow.Url(), {"status", "--wait", "--timeout", "200ms", "j1"});
  BOOST_TEST(late.code == static_cast<int>(ExitStatus::kTimeout));
}

// A response without the list comes from an owner that has lost the shard; it
// must not be shown as a cell without workers.
BOOST_AUTO_TEST_CASE(OwnerWithoutTheShardIsNotAnEmptyList) {
  FakeEntry entry({{200, {}, "{}"}});
  BOOST_TEST(Run(entry.Url(), {"workers"}).code ==
             static_cast<int>(ExitStatus::kNotRun));
}

// A response of another release, whose members have other types, must not crash
// the client.
BOOST_AUTO_TEST_CASE(UnexpectedResponseFormIsReported) {
  FakeEntry entry({{200, {}, R"({"hosts":[{"owned":7,"suspected":"no"}]})"}});
  const auto run = Run(entry.Url(), {"hosts"});
  BOOST_TEST(run.code == static_cast<int>(ExitStatus::kFailed));
  BOOST_TEST(run.err.find("expected form") != std::string::npos);
}

}  // namespace
}  // namespace shallotbank::client
