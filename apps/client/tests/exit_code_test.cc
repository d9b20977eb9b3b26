#include <boost/test/unit_test.hpp>

#include "client_run.h"
#include "failure.h"
#include "fake_entry.h"

namespace shallotbank::client {
namespace {

struct ResponseCase {
  http::Response response;
  ExitStatus expected;
  std::size_t next_host_requests;  ///< Expected at the second host.
};

// An exit code that hides that a submission may have run would make scripts
// submit it again; a retry on the second host would run it twice.
BOOST_AUTO_TEST_CASE(SubmissionExitCodeReflectsVerdict) {
  const std::vector<ResponseCase> cases{
      {{202, {}, R"({"job":"j1"})"}, ExitStatus::kOk, 0},
      {Refusal(503, "stopping", "not-run"), ExitStatus::kOk, 1},
      {Refusal(429, "queue_full", "not-run"), ExitStatus::kOk, 1},
      {Refusal(401, "invalid_key", "not-run"), ExitStatus::kNotRun, 0},
      {Refusal(422, "unknown_team", "not-run"), ExitStatus::kNotRun, 0},
      {Refusal(404, "unknown_profile", "not-run"), ExitStatus::kNotFound, 0},
      {Refusal(503, "log_answer_missing", "may-have-run"),
       ExitStatus::kMayHaveRun, 0},
      {Refusal(503, "odd", "perhaps"), ExitStatus::kMayHaveRun, 0},
      {{200, {}, "not JSON"}, ExitStatus::kMayHaveRun, 0},
      {{500, {}, ""}, ExitStatus::kMayHaveRun, 0}};
  for (const auto& test_case : cases) {
    FakeEntry first({test_case.response});
    FakeEntry second({{202, {}, R"({"job":"j2"})"}});
    const auto run = Run(first.Url() + "," + second.Url(), {"submit", "grind"});
    BOOST_TEST_CONTEXT(test_case.response.body) {
      BOOST_TEST(run.code == static_cast<int>(test_case.expected));
      BOOST_TEST(second.Requests().size() == test_case.next_host_requests);
      BOOST_TEST((run.code == 0) == run.err.empty());
    }
  }
}

// A retry hint without the idempotency key would submit the job a second time.
BOOST_AUTO_TEST_CASE(MayHaveRunNamesTheIdempotencyKey) {
  FakeEntry entry({Refusal(504, "log_answer_missing", "may-have-run")});
  const auto run = Run(entry.Url(), {"submit", "grind"});
  const auto requests = entry.Requests();
  const auto* key = requests.at(0).FindHeader("Idempotency-Key");
  BOOST_REQUIRE(key != nullptr);
  BOOST_TEST(run.err.find("--idempotency-key " + *key) != std::string::npos);
}

// Guards against failing although another entry host is reachable.
BOOST_AUTO_TEST_CASE(UnreachableHostIsSkipped) {
  FakeEntry entry({{202, {}, R"({"job":"j2"})"}});
  const auto both =
      Run("http://127.0.0.1:1," + entry.Url(), {"submit", "grind"});
  BOOST_TEST(both.code == 0);
  BOOST_TEST(both.out == "j2\n");
  const auto none = Run("http://127.0.0.1:1", {"submit", "grind"});
  BOOST_TEST(none.code == static_cast<int>(ExitStatus::kNotRun));
  BOOST_TEST(none.err.find("next step:") != std::string::npos);
}

// Guards against treating an error response of a minion as a refusal by the
// entry host, and against truncated responses.
BOOST_AUTO_TEST_CASE(MinionResponsesAreForwardedUnchanged) {
  const std::string body(100'000, 'x');
  FakeEntry entry({{200, {{"Shallotbank-Replayed", "true"}}, body},
                   {503, {}, R"({"error":"the minion is down"})"}});
  const auto good =
      Run(entry.Url(), {"request", "wear-report", "--request-id", "r1"}, "in");
  BOOST_TEST(good.code == 0);
  BOOST_TEST(good.out == body + "\n");
  BOOST_TEST(good.err.find("not run again") != std::string::npos);
  const auto request = entry.Requests()[0];
  BOOST_TEST(request.body == "in");
  BOOST_TEST(*request.FindHeader("Shallotbank-Request-Id") == "r1");
  BOOST_TEST(*request.FindHeader("Shallotbank-Key") == kTeamSecret);
  const auto bad = Run(entry.Url(), {"request", "wear-report"}, "in");
  BOOST_TEST(bad.code == static_cast<int>(ExitStatus::kFailed));
  BOOST_TEST(bad.out == "{\"error\":\"the minion is down\"}\n");
}

}  // namespace
}  // namespace shallotbank::client
