#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cell.h"

namespace shallotbank::system_test {
namespace {

using std::chrono::seconds;

// Guards against any break in the path from publish to a finished job.
BOOST_AUTO_TEST_CASE(WholePath) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  const auto quote = cell.Request(0, "quote", "q-1", R"({"blade":"ice axe"})");
  BOOST_TEST(quote.status == 200);
  BOOST_TEST(Body(quote).value("request", "") == "q-1");
  BOOST_TEST(Body(quote).value("echo", "") == R"({"blade":"ice axe"})");
  const auto job = cell.Submit(0, "grind", 5, 300);
  BOOST_REQUIRE(!job.empty());
  for (const std::size_t host : {0U, 1U}) {
    BOOST_TEST(Cell::WaitFor(
        seconds(10), [&] { return cell.JobState(host, job) == "succeeded"; }));
  }
  // Guards against a host that denies a job which another has just accepted.
  for (int i = 0; i < 10; ++i) {
    const auto fresh = cell.Submit(0, "grind", 1, 50);
    BOOST_TEST(cell.Call(1, "GET", "/v1/jobs/" + fresh, "").status == 200);
  }
  const auto seen = cell.workers.Observe();
  BOOST_TEST(seen.starts >= 5U);
  BOOST_TEST(seen.overcommits == 0U);
}

// A request that must be refused, and the field that the refusal names.
struct BadInput {
  const char* name;
  const char* path;
  const char* body;
  std::vector<http::Header> headers;
  int status;
  const char* reason;
  const char* field;
};

// Guards against bad input that is accepted, changes something, or gets an
// answer that does not say what was wrong.
BOOST_AUTO_TEST_CASE(BadInputIsRefusedAndNamed) {
  const std::vector<BadInput> cases{
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
      {"bad deadline",
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
  // The first claims of minion groups move the head, too; let them end.
  auto head = cell.log.Head();
  auto quiet_since = SystemClock().Now();
  BOOST_REQUIRE(Cell::WaitFor(seconds(15), [&] {
    const auto now = SystemClock().Now();
    if (cell.log.Head() != head) {
      head = cell.log.Head();
      quiet_since = now;
    }
    return now - quiet_since > seconds(3);
  }));
  const auto runs = cell.minions.Runs();
  for (const auto& c : cases) {
    BOOST_TEST_CONTEXT(c.name) {
      const auto reply = cell.Call(0, "POST", c.path, c.body, c.headers);
      BOOST_TEST(reply.status == c.status);
      BOOST_TEST(Reason(reply) == c.reason);
      BOOST_TEST(Execution(reply) == "not-run");
      BOOST_TEST(Body(reply)["error"].value("field", "") == c.field);
    }
  }
  BOOST_TEST(cell.log.Head() == head);
  BOOST_TEST(cell.minions.Runs() == runs);
  const auto wrong_key =
      cell.client.SendAndWait({.method = "POST",
                               .url = cell.hosts[0].http + "/v1/jobs",
                               .headers = {{"Shallotbank-Profile", "grind"},
                                           {"Shallotbank-Team", "red"},
                                           {"Shallotbank-Key", "blue-secret"}},
                               .body = "{}"});
  BOOST_TEST(wrong_key.status == 401);
  BOOST_TEST(Reason(wrong_key) == "invalid_key");
}

}  // namespace
}  // namespace shallotbank::system_test
