#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "client_run.h"
#include "failure.h"
#include "fake_entry.h"
#include "table.h"

namespace shallotbank::client {
namespace {

constexpr const char* kWaiting =
    R"({"job":"j1","team":"serra","profile":"grind","state":"waiting",)"
    R"("tasks":{"total":3,"waiting":2,"running":1},"workers":["w1"],)"
    R"("why_waiting":"no_room","source":"owner"})";
constexpr const char* kFailed =
    R"({"job":"j1","team":"serra","profile":"grind","state":"failed",)"
    R"("tasks":{"total":1,"failed":1},"reason":"attempts","source":"log"})";

// Guards against columns that do not line up.
BOOST_AUTO_TEST_CASE(TableAlignsItsColumns) {
  Table table({"A", "LONG"});
  table.Add({"wide cell", "x"});
  table.Add({"", "y"});
  std::ostringstream out;
  table.Print(out);
  BOOST_TEST(out.str() ==
             "A          LONG\n"
             "wide cell  x\n"
             "-          y\n");
}

// Guards against a status without the reason why the job waits, and against
// JSON that scripts cannot read.
BOOST_AUTO_TEST_CASE(JobIsShownWithItsReason) {
  FakeEntry entry({{200, {}, kWaiting}});
  const auto human = Run(entry.Url(), {"status", "j1"});
  BOOST_TEST(human.code == 0);
  BOOST_TEST(human.out.find("2 waiting, 1 running") != std::string::npos);
  BOOST_TEST(human.out.find("no_room") != std::string::npos);
  const auto script = Run(entry.Url(), {"status", "--json", "j1"});
  BOOST_TEST(nlohmann::json::parse(script.out) ==
             nlohmann::json::parse(kWaiting));
  const auto why = Run(entry.Url(), {"why", "j1"});
  BOOST_TEST(why.out == "the job waits: no_room\n");
}

// Guards against a script that takes a failed job for a finished one.
BOOST_AUTO_TEST_CASE(WaitEndsWithTheOutcomeOfTheJob) {
  FakeEntry entry({{200, {}, kWaiting}, {200, {}, kFailed}});
  const auto run = Run(entry.Url(), {"status", "--wait", "j1"});
  BOOST_TEST(run.code == static_cast<int>(ExitStatus::kFailed));
  BOOST_TEST(run.out.find("attempts") != std::string::npos);
  FakeEntry slow({{200, {}, kWaiting}});
  const auto late =
      Run(slow.Url(), {"status", "--wait", "--timeout", "200ms", "j1"});
  BOOST_TEST(late.code == static_cast<int>(ExitStatus::kTimeout));
}

// Guards against an owner's empty answer that is shown as an empty cell.
BOOST_AUTO_TEST_CASE(OwnerWithoutTheShardIsNotAnEmptyList) {
  FakeEntry entry({{200, {}, "{}"}});
  BOOST_TEST(Run(entry.Url(), {"workers"}).code ==
             static_cast<int>(ExitStatus::kNotRun));
}

// Guards against an answer of another release that ends the client.
BOOST_AUTO_TEST_CASE(AnswerOfAnotherFormIsReported) {
  FakeEntry entry({{200, {}, R"({"hosts":[{"owned":7,"suspected":"no"}]})"}});
  const auto run = Run(entry.Url(), {"hosts"});
  BOOST_TEST(run.code == static_cast<int>(ExitStatus::kFailed));
  BOOST_TEST(run.err.find("expected form") != std::string::npos);
}

}  // namespace
}  // namespace shallotbank::client
