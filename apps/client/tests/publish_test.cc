#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "client_run.h"
#include "configuration/configuration.h"
#include "failure.h"
#include "fake_entry.h"

namespace shallotbank::client {
namespace {

using nlohmann::json;

const std::string kFile = std::string(EXAMPLES_DIR) + "/caxias.json";

auto Example() -> json {
  std::ifstream file(kFile);
  return json::parse(file);
}

auto Published(const json& configuration, int version) -> http::Response {
  return {200,
          {},
          json{{"version", version}, {"configuration", configuration}}.dump()};
}

auto HostsAt(int first, int second) -> http::Response {
  auto host = [](const char* name, const char* role, int head) {
    return json{{"host", name}, {"role", role}, {"log_head", head}};
  };
  return {200,
          {},
          json{{"hosts",
                {host("e1", "entry", first), host("e2", "entry", second),
                 host("e2", "sched", 0)}}}
              .dump()};
}

// Guards against a publish that sends more than the difference, or whose
// expected version is not the one the file was compared with.
BOOST_AUTO_TEST_CASE(OnlyTheDifferenceIsSent) {
  auto before = Example();
  before["organisations"][0]["weight"] = 9;
  FakeEntry entry({Published(before, 41), {200, {}, R"({"version":42})"}});
  const auto run = Run(entry.Url(), {"publish", kFile});
  BOOST_TEST(run.code == 0, run.err);
  BOOST_TEST(run.out.find("weight 9 -> 6") != std::string::npos, run.out);
  BOOST_TEST(run.out.find("published as version 42") != std::string::npos);
  const auto sent = json::parse(entry.Requests().at(1).body);
  BOOST_TEST(entry.Requests()[1].method == "PATCH");
  BOOST_TEST(sent["expected_version"] == 41);
  BOOST_TEST(sent["changes"].size() == 1U);
}

// Guards against a dry run that publishes changes.
BOOST_AUTO_TEST_CASE(DryRunSendsNothing) {
  auto before = Example();
  before["organisations"][0]["weight"] = 9;
  FakeEntry entry({Published(before, 41)});
  const auto run = Run(entry.Url(), {"publish", "--dry-run", kFile});
  BOOST_TEST(run.code == 0);
  BOOST_TEST(run.out.find("weight 9 -> 6") != std::string::npos);
  BOOST_TEST(entry.Requests().size() == 1U);
}

// Guards against a concurrent publish that is reported as success or
// overwritten by a retry.
BOOST_AUTO_TEST_CASE(ConcurrentPublishIsAConflict) {
  auto before = Example();
  before["organisations"][0]["weight"] = 9;
  FakeEntry entry(
      {Published(before, 41), Refusal(409, "version_conflict", "not-run")});
  const auto run = Run(entry.Url(), {"publish", kFile});
  BOOST_TEST(run.code == static_cast<int>(ExitStatus::kConflict));
  BOOST_TEST(entry.Requests().size() == 2U);
}

// Guards against an outdated file that restores a withdrawn key.
BOOST_AUTO_TEST_CASE(KeysChangeOnlyOnRequest) {
  auto before = Example();
  before["keys"].erase(before["keys"].begin());
  FakeEntry entry({Published(before, 41)});
  const auto refused = Run(entry.Url(), {"publish", kFile});
  BOOST_TEST(refused.code == static_cast<int>(ExitStatus::kNotRun));
  BOOST_TEST(refused.err.find("serra-workshop-2026") != std::string::npos);
  const auto kept = Run(entry.Url(), {"publish", "--keys", "keep", kFile});
  BOOST_TEST(kept.code == 0);
  BOOST_TEST(kept.out.find("nothing to change") != std::string::npos);
  BOOST_TEST(entry.Requests().size() == 2U);
}

// Guards against sending the new secret or printing any secret, and against a
// grant that fails because of a concurrent publish.
BOOST_AUTO_TEST_CASE(GrantSendsOnlyTheHashAndRetriesConflicts) {
  const std::string secret = "a-new-secret-of-the-team";
  FakeEntry entry({Published(Example(), 41),
                   Refusal(409, "version_conflict", "not-run"),
                   Published(Example(), 43),
                   {200, {}, R"({"version":44})"}});
  const auto run = Run(entry.Url(), {"grant", "serra-shop", "new-key"}, secret);
  BOOST_TEST(run.code == 0, run.err);
  for (const auto& request : entry.Requests()) {
    BOOST_TEST(request.body.find(secret) == std::string::npos);
  }
  const auto sent = json::parse(entry.Requests().at(3).body);
  BOOST_TEST(sent["expected_version"] == 43);
  BOOST_TEST(sent["changes"][0]["value"]["sha256"] ==
             configuration::Sha256Hex(secret));
  const auto shown = run.out + run.err;
  BOOST_TEST(shown.find(secret) == std::string::npos);
  BOOST_TEST(shown.find(kOperatorSecret) == std::string::npos);
}

// Guards against accepting secrets that are too short, unknown teams and
// unknown keys.
BOOST_AUTO_TEST_CASE(GrantAndWithdrawCheckTheirInput) {
  FakeEntry entry({Published(Example(), 41)});
  BOOST_TEST(Run(entry.Url(), {"grant", "serra-shop", "k"}, "short").code ==
             static_cast<int>(ExitStatus::kUsage));
  BOOST_TEST(
      Run(entry.Url(), {"grant", "nobody", "k"}, "long-enough-secret").code ==
      static_cast<int>(ExitStatus::kNotFound));
  BOOST_TEST(Run(entry.Url(), {"withdraw", "k"}).code ==
             static_cast<int>(ExitStatus::kNotFound));
  for (const auto& request : entry.Requests()) {
    BOOST_TEST(request.method == "GET");
  }
}

// Guards against waiting for a process that has shut down or was replaced, and
// against skipping one that is merely unresponsive.
BOOST_AUTO_TEST_CASE(WaitIgnoresStoppedAndReplacedProcesses) {
  auto process = [](const char* host, bool draining, int silence) {
    return json{{"host", host},         {"role", "entry"},
                {"log_head", 1},        {"suspected", true},
                {"draining", draining}, {"silence_ms", silence}};
  };
  auto restarted = process("e2", false, 0);
  restarted["suspected"] = false;
  restarted["log_head"] = 50;
  const auto response = [](const json& hosts) {
    return http::Response{200, {}, json{{"hosts", hosts}}.dump()};
  };
  FakeEntry ended({Published(Example(), 41),
                   {200, {}, R"({"version":42})"},
                   response({process("e1", true, 3000),
                             process("e2", false, 5000), restarted})});
  const auto done = Run(ended.Url(), {"withdraw", "--wait", "serra-shop-2026"});
  BOOST_TEST(done.code == 0, done.err);
  FakeEntry silent({Published(Example(), 41),
                    {200, {}, R"({"version":42})"},
                    response(json::array({process("e1", false, 60'000)}))});
  const auto late = Run(silent.Url(), {"withdraw", "--wait", "--timeout",
                                       "200ms", "serra-shop-2026"});
  BOOST_TEST(late.code == static_cast<int>(ExitStatus::kTimeout));
}

// Guards against reporting a withdrawal as complete while an entry host still
// accepts the key. The log position of a scheduler is irrelevant.
BOOST_AUTO_TEST_CASE(WaitNamesTheLaggingHosts) {
  FakeEntry entry({Published(Example(), 41),
                   {200, {}, R"({"version":42})"},
                   HostsAt(42, 41),
                   HostsAt(42, 42)});
  const auto run = Run(entry.Url(), {"withdraw", "--wait", "serra-shop-2026"});
  BOOST_TEST(run.code == 0, run.err);
  BOOST_TEST(run.err.find("waiting for e2 (at 41)") != std::string::npos);
  BOOST_TEST(run.err.find("e1") == std::string::npos);
  FakeEntry slow({Published(Example(), 41),
                  {200, {}, R"({"version":42})"},
                  HostsAt(42, 41)});
  const auto late = Run(slow.Url(), {"withdraw", "--wait", "--timeout", "300ms",
                                     "serra-shop-2026"});
  BOOST_TEST(late.code == static_cast<int>(ExitStatus::kTimeout));
}

}  // namespace
}  // namespace shallotbank::client
