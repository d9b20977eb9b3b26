#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cell.h"

namespace shallotbank::system_test {
namespace {

using std::chrono::seconds;

// End-to-end test: guards against a fault in any stage from the publication of
// a configuration to a completed job.
BOOST_AUTO_TEST_CASE(ConfigurationToCompletedJob) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  const auto quote =
      cell.SendRequest(0, "quote", "q-1", R"({"blade":"ice axe"})");
  BOOST_TEST(quote.status == 200);
  BOOST_TEST(ParseBody(quote).value("request", "") == "q-1");
  BOOST_TEST(ParseBody(quote).value("echo", "") == R"({"blade":"ice axe"})");
  const auto job = cell.SubmitJob(0, "grind", 5, 300);
  BOOST_REQUIRE(!job.empty());
  for (const std::size_t host : {0U, 1U}) {
    BOOST_TEST(Cell::WaitFor(
        seconds(10), [&] { return cell.JobState(host, job) == "succeeded"; }));
  }
  // Guards against a host that does not know a job that another host has just
  // accepted.
  for (int i = 0; i < 10; ++i) {
    const auto new_job = cell.SubmitJob(0, "grind", 1, 50);
    BOOST_TEST(cell.CallAsTeam(1, "GET", "/v1/jobs/" + new_job, "").status ==
               200);
  }
  const auto observations = cell.workers.Observe();
  BOOST_TEST(observations.starts >= 5U);
  BOOST_TEST(observations.overcommits == 0U);
}

// An invalid request, with the expected status, reason and field of its
// refusal.
struct InvalidRequest {
  const char* name;
  const char* path;
  const char* body;
  std::vector<http::Header> headers;
  int status;
  const char* reason;
  const char* field;
};

// Guards against invalid input that is accepted, has a side effect, or is
// refused without naming the fault.
BOOST_AUTO_TEST_CASE(InvalidRequestsAreRefusedWithReason) {
  const std::vector<InvalidRequest> cases{
      {"no profile",
       "/v1/jobs",
       "{}",
       {},
       400,
       "missing_header",
       "Shallotbank-Profile"},
      {"unknown profile",
       "/v1/jobs",
       "{}",
       {{"Shallotbank-Profile", "x"}},
       404,
       "unknown_profile",
       "Shallotbank-Profile"},
      {"unknown field",
       "/v1/jobs",
       R"({"taks":1})",
       {{"Shallotbank-Profile", "grind"}},
       400,
       "unknown_field",
       "taks"},
      {"too many tasks",
       "/v1/jobs",
       R"({"tasks":100000})",
       {{"Shallotbank-Profile", "grind"}},
       400,
       "invalid_field",
       "tasks"},
      {"malformed body",
       "/v1/jobs",
       "{",
       {{"Shallotbank-Profile", "grind"}},
       400,
       "malformed_body",
       ""},
      {"profile for requests",
       "/v1/jobs",
       "{}",
       {{"Shallotbank-Profile", "quote"}},
       422,
       "profile_not_for_jobs",
       "Shallotbank-Profile"},
      {"profile for jobs",
       "/v1/requests",
       "{}",
       {{"Shallotbank-Profile", "grind"}},
       422,
       "profile_not_for_requests",
       "Shallotbank-Profile"},
      {"no request id",
       "/v1/requests",
       "{}",
       {{"Shallotbank-Profile", "wear-report"}},
       400,
       "missing_header",
       "Shallotbank-Request-Id"},
      {"invalid deadline",
       "/v1/requests",
       "{}",
       {{"Shallotbank-Profile", "quote"}, {"Shallotbank-Deadline-Ms", "-1"}},
       400,
       "invalid_header",
       "Shallotbank-Deadline-Ms"},
      {"request id too long",
       "/v1/requests",
       "{}",
       {{"Shallotbank-Profile", "wear-report"},
        {"Shallotbank-Request-Id", std::string(300, 'x')}},
       400,
       "invalid_header",
       "Shallotbank-Request-Id"},
      {"unknown path", "/v1/job", "{}", {}, 404, "unknown_path", "path"},
  };
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  // The initial claims of minion groups append to the log as well; wait until
  // no more records are added.
  auto head = cell.log.Head();
  auto last_append_seen = SystemClock().Now();
  BOOST_REQUIRE(Cell::WaitFor(seconds(15), [&] {
    const auto now = SystemClock().Now();
    if (cell.log.Head() != head) {
      head = cell.log.Head();
      last_append_seen = now;
    }
    return now - last_append_seen > seconds(3);
  }));
  const auto runs = cell.minions.Runs();
  for (const auto& c : cases) {
    BOOST_TEST_CONTEXT(c.name) {
      const auto reply = cell.CallAsTeam(0, "POST", c.path, c.body, c.headers);
      BOOST_TEST(reply.status == c.status);
      BOOST_TEST(ErrorReason(reply) == c.reason);
      BOOST_TEST(ErrorExecution(reply) == "not-run");
      BOOST_TEST(ParseBody(reply)["error"].value("field", "") == c.field);
    }
  }
  BOOST_TEST(cell.log.Head() == head);
  BOOST_TEST(cell.minions.Runs() == runs);
  const auto wrong_key =
      cell.client.SendAndWait({.method = "POST",
                               .url = cell.hosts[0].entry_url + "/v1/jobs",
                               .headers = {{"Shallotbank-Profile", "grind"},
                                           {"Shallotbank-Team", "red"},
                                           {"Shallotbank-Key", "blue-secret"}},
                               .body = "{}"});
  BOOST_TEST(wrong_key.status == 401);
  BOOST_TEST(ErrorReason(wrong_key) == "invalid_key");
}

}  // namespace
}  // namespace shallotbank::system_test
