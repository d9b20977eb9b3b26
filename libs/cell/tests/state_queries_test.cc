#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "cell/records.h"
#include "cell/state_queries.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;

struct QueryCase {
  const char* name;
  milliseconds patience;  ///< Of the caller.
  /// When the job ends after the query; empty if it runs on.
  std::optional<milliseconds> ends_after;
  milliseconds answered_after;
};

auto AddJob(JobTable& jobs, TimePoint now) -> void {
  JobSpec job;
  job.id = JobId("a");
  job.steps.emplace_back().task_count = 1;
  jobs.OnJobRecord("a", EncodeJob(job), now);
  jobs.OnStateUpdate("a", JobState::kRunning, 1, now);
}

// A caller who asked just before the end was known learned of it a quarter of a
// second later, at the next query, and quotes missed their objective.
BOOST_AUTO_TEST_CASE(a_query_is_answered_when_its_job_ends) {
  const QueryCase cases[] = {
      {"ends soon", milliseconds(3000), milliseconds(60), milliseconds(60)},
      {"ends late", milliseconds(3000), milliseconds(900), kMaxStateWait},
      {"runs on", milliseconds(3000), std::nullopt, kMaxStateWait},
      {"an impatient caller", milliseconds(100), std::nullopt,
       milliseconds(100)},
      {"no time left", milliseconds(0), std::nullopt, milliseconds(0)},
  };
  constexpr milliseconds kStep(10);
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      ManualClock clock;
      JobTable jobs;
      AddJob(jobs, clock.Now());
      StateQueries<std::string> queries;
      std::optional<milliseconds> answered_after;
      if (!queries.Add(JobId("a"), test_case.patience, clock.Now(), "caller")) {
        answered_after = milliseconds(0);
      }
      for (milliseconds passed{}; passed <= kMaxStateWait; passed += kStep) {
        if (test_case.ends_after && passed >= *test_case.ends_after) {
          jobs.OnStateUpdate("a", JobState::kCompleted, 2, clock.Now());
        }
        if (!queries.TakeDue(jobs, TimePoint(), clock.Now()).empty()) {
          BOOST_TEST(!answered_after.has_value());
          answered_after = passed;
        }
        clock.Advance(kStep);
      }
      BOOST_REQUIRE(answered_after.has_value());
      BOOST_TEST(answered_after->count() == test_case.answered_after.count());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stopping_host_answers_all_queries) {
  const ManualClock clock;
  JobTable jobs;
  AddJob(jobs, clock.Now());
  StateQueries<std::string> queries;
  BOOST_TEST(queries.Add(JobId("a"), milliseconds(3000), clock.Now(), "one"));
  BOOST_TEST(queries.Add(JobId("a"), milliseconds(3000), clock.Now(), "two"));
  BOOST_TEST(queries.Add(JobId("b"), milliseconds(3000), clock.Now(), "three"));
  BOOST_TEST(queries.TakeDue(jobs, TimePoint(), clock.Now()).empty());
  queries.Expire();
  BOOST_TEST(queries.TakeDue(jobs, TimePoint(), clock.Now()).size() == 3U);
}

struct UnknownJobCase {
  const char* name;
  milliseconds patience;  ///< Of the caller.
  /// As of when the topic of jobs is read, after the query; empty if it is not
  /// read any more.
  std::optional<milliseconds> read_as_of;
  /// When the read arrives.
  milliseconds read_after;
  bool is_in_topic;   ///< The read brings the job.
  bool has_progress;  ///< Progress of the job is known.
  milliseconds answered_after;
};

// Guards against a job that is denied on the strength of a read that is older
// than the question.
BOOST_AUTO_TEST_CASE(an_unknown_job_waits_for_a_read_after_the_query) {
  constexpr milliseconds kPatient(3000);
  const UnknownJobCase cases[] = {
      {"read as of the query", kPatient, milliseconds(0), milliseconds(60),
       false, false, milliseconds(60)},
      {"read as of a time before", kPatient, milliseconds(-1), milliseconds(60),
       false, false, kMaxUnknownJobWait},
      {"not read", kPatient, std::nullopt, milliseconds(0), false, false,
       kMaxUnknownJobWait},
      {"accepted elsewhere", kPatient, milliseconds(10), milliseconds(60), true,
       false, kMaxStateWait},
      {"accepted elsewhere, read late", kPatient, milliseconds(10),
       milliseconds(900), true, false, milliseconds(900)},
      {"known by its progress only", kPatient, milliseconds(10),
       milliseconds(60), false, true, kMaxUnknownJobWait},
      {"an impatient caller", milliseconds(100), std::nullopt, milliseconds(0),
       false, false, milliseconds(100)},
  };
  constexpr milliseconds kStep(10);
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      ManualClock clock;
      clock.Advance(std::chrono::seconds(10));
      const auto asked_at = clock.Now();
      auto as_of = asked_at - milliseconds(500);
      JobTable jobs;
      if (test_case.has_progress) {
        jobs.OnStateUpdate("a", JobState::kRunning, 1, asked_at);
      }
      StateQueries<std::string> queries;
      BOOST_REQUIRE(
          queries.Add(JobId("a"), test_case.patience, asked_at, "caller"));
      std::optional<milliseconds> answered_after;
      for (milliseconds passed{}; passed <= kMaxUnknownJobWait;
           passed += kStep) {
        if (test_case.read_as_of && passed >= test_case.read_after) {
          as_of = asked_at + *test_case.read_as_of;
          if (test_case.is_in_topic) {
            AddJob(jobs, clock.Now());
          }
        }
        if (!queries.TakeDue(jobs, as_of, clock.Now()).empty()) {
          answered_after = passed;
          break;
        }
        clock.Advance(kStep);
      }
      BOOST_REQUIRE(answered_after.has_value());
      BOOST_TEST(answered_after->count() == test_case.answered_after.count());
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
