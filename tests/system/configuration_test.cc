#include <csignal>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "cell.h"
#include "configuration/configuration.h"

namespace shallotbank::system_test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto ConfigurationVersion(Cell& cell, std::size_t host) -> std::uint64_t {
  const auto body =
      ParseBody(cell.CallAsOperator(host, "GET", "/v1/configuration"));
  return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
}

auto ConfigurationPatch(std::uint64_t version,
                        const char* kind,
                        const std::string& name,
                        const json& value) -> std::string {
  json change{{"kind", kind}, {"name", name}};
  if (!value.is_null()) {
    change["value"] = value;
  }
  return json{{"format", "1.0"},
              {"expected_version", version},
              {"changes", json::array({change})}}
      .dump();
}

auto RedKey(const std::string& secret) -> json {
  return {{"name", "red-key-2"},
          {"team", "red"},
          {"sha256", configuration::Sha256Hex(secret)}};
}

// Guards against two concurrent changes of the same version that are both
// accepted.
BOOST_AUTO_TEST_CASE(OneOfTwoConcurrentChangesIsAccepted) {
  Cell cell({});
  BOOST_REQUIRE(cell.Start());
  for (int round = 0; round < 5; ++round) {
    const auto version = ConfigurationVersion(cell, 0);
    BOOST_REQUIRE(Cell::WaitFor(
        seconds(4), [&] { return ConfigurationVersion(cell, 1) == version; }));
    int statuses[2] = {0, 0};
    std::thread operators[2];
    for (std::size_t i = 0; i < 2; ++i) {
      operators[i] = std::thread([&, i] {
        const auto secret = std::to_string(round) + "-" + std::to_string(i);
        statuses[i] =
            cell.CallAsOperator(i, "PATCH", "/v1/configuration",
                                ConfigurationPatch(version, "key", "red-key-2",
                                                   RedKey(secret)))
                .status;
      });
    }
    for (auto& thread : operators) {
      thread.join();
    }
    BOOST_TEST(statuses[0] + statuses[1] == 200 + 409);
    BOOST_TEST(Cell::WaitFor(seconds(4), [&] {
      return ConfigurationVersion(cell, 0) > version &&
             ConfigurationVersion(cell, 0) == ConfigurationVersion(cell, 1);
    }));
  }
}

// Guards against a withdrawn key that a host still accepts, and measures the
// time until the withdrawal is in effect on every host.
BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRefusedOnEveryHost) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  const auto accepted =
      cell.CallAsOperator(0, "PATCH", "/v1/configuration",
                          ConfigurationPatch(ConfigurationVersion(cell, 0),
                                             "key", "red-key", nullptr));
  BOOST_REQUIRE(accepted.status == 200);
  const auto start = SystemClock().Now();
  for (std::size_t host = 0; host < 3; ++host) {
    BOOST_TEST(Cell::WaitFor(seconds(4), [&] {
      return cell.SendRequest(host, "quote", "", "{}").status == 401;
    }));
  }
  const auto elapsed = SystemClock().Now() - start;
  BOOST_TEST_MESSAGE(
      "key withdrawal in force on three hosts after "
      << std::chrono::duration_cast<milliseconds>(elapsed).count() << " ms");
  BOOST_TEST((elapsed <= seconds(4)));
  for (std::size_t host = 0; host < 3; ++host) {
    BOOST_TEST(cell.SubmitJob(host, "grind", 1, 100).empty());
  }
}

// Guards against a host that was paused while a key was withdrawn and answers
// from its outdated configuration after it resumes.
BOOST_AUTO_TEST_CASE(ResumedHostDoesNotUseOutdatedConfiguration) {
  Cell cell({.hosts = 3});
  BOOST_REQUIRE(cell.Start());
  cell.hosts[2].entry->Signal(SIGSTOP);
  const auto accepted =
      cell.CallAsOperator(0, "PATCH", "/v1/configuration",
                          ConfigurationPatch(ConfigurationVersion(cell, 0),
                                             "key", "red-key", nullptr));
  BOOST_REQUIRE(accepted.status == 200);
  std::this_thread::sleep_for(seconds(4));
  cell.hosts[2].entry->Signal(SIGCONT);
  for (int i = 0; i < 20; ++i) {
    const auto status = cell.SendRequest(2, "quote", "", "{}").status;
    BOOST_TEST((status == 401 || status == 503));
  }
}

// Guards against a restarted host without state that recovers a different
// configuration or misses jobs because the log has expired old records.
BOOST_AUTO_TEST_CASE(RestartedHostRecoversFromSnapshot) {
  Cell cell({});
  cell.log_retention = "4s";
  BOOST_REQUIRE(cell.Start());
  const auto job = cell.SubmitJob(0, "grind", 1, 100);
  BOOST_TEST(Cell::WaitFor(
      seconds(10), [&] { return cell.JobState(0, job) == "succeeded"; }));
  const auto version = ConfigurationVersion(cell, 0);
  const auto covered = cell.log.Head();
  // A snapshot is due once the oldest record is older than half of the
  // retention time of 4 s.
  BOOST_REQUIRE(Cell::WaitFor(seconds(15),
                              [&] { return cell.log.Head() > covered + 1; }));
  std::this_thread::sleep_for(milliseconds(500));
  cell.log.ExpireBefore(covered + 1);
  cell.hosts[1].entry->Kill();
  cell.hosts[1].sched->Kill();
  cell.StartHost(cell.hosts[1]);
  BOOST_TEST(Cell::WaitFor(seconds(15), [&] {
    return cell.CallAsTeam(1, "GET", "/healthz", "").status == 200;
  }));
  BOOST_TEST(ConfigurationVersion(cell, 1) == version);
  BOOST_TEST(cell.JobState(1, job) == "succeeded");
}

}  // namespace
}  // namespace shallotbank::system_test
