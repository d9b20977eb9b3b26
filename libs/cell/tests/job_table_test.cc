#include <boost/test/unit_test.hpp>

#include "base/clock.h"
#include "cell/job_table.h"
#include "cell/records.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using WallTime = std::chrono::system_clock::time_point;

constexpr WallTime kMorning{std::chrono::hours(24 * 365 * 50)};

auto RecordOf(const std::string& id, WallTime submitted_at) -> std::string {
  JobSpec job;
  job.id = JobId(id);
  job.queue = QueueName("orders");
  job.steps.emplace_back().task_count = 1;
  job.submitted_at = submitted_at;
  return EncodeJob(job);
}

struct AgeCase {
  const char* name;
  WallTime submitted_at;
  Duration expected_age;
};

// A host that starts learns of jobs that others have taken in before.
BOOST_AUTO_TEST_CASE(ages_of_old_jobs_are_estimated) {
  const AgeCase cases[] = {
      {"seconds old", kMorning - seconds(7), seconds(7)},
      {"a clock that is ahead", kMorning + seconds(2), Duration::zero()},
      {"a clock that is far behind", kMorning - minutes(500), minutes(10)},
      {"a record without the time", WallTime(), Duration::zero()},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      const ManualClock clock;
      JobTable jobs;
      const auto* job = jobs.OnOldJobRecord(
          "a", RecordOf("a", one.submitted_at), clock.Now(), kMorning);
      BOOST_REQUIRE(job != nullptr);
      BOOST_TEST((clock.Now() - job->accepted_at == one.expected_age));
    }
  }
}

// The time of day says nothing of a record that was appended just now.
BOOST_AUTO_TEST_CASE(new_records_are_accepted_now) {
  const ManualClock clock;
  JobTable jobs;
  const auto* job = jobs.OnJobRecord("a", RecordOf("a", kMorning), clock.Now());
  BOOST_REQUIRE(job != nullptr);
  BOOST_TEST((job->accepted_at == clock.Now()));
}

struct UnknownCase {
  const char* name;
  bool has_job;
  std::optional<JobState> state;  ///< Empty: the key was dropped.
  bool is_unknown;
};

// A new leader must not begin while it knows progress of a job but not the job.
BOOST_AUTO_TEST_CASE(progress_ahead_of_its_job) {
  const UnknownCase cases[] = {
      {"job and progress", true, JobState::kRunning, false},
      {"progress only", false, JobState::kRunning, true},
      {"progress of an ended job", false, JobState::kCompleted, false},
      {"dropped progress", false, std::nullopt, false},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      const ManualClock clock;
      JobTable jobs;
      jobs.OnProgressRecord("a", EncodeProgress({JobState::kRunning, {}, 0}), 1,
                            clock.Now());
      if (one.has_job) {
        jobs.OnJobRecord("a", RecordOf("a", kMorning), clock.Now());
      }
      std::optional<std::string> progress;
      if (one.state) {
        progress = EncodeProgress({*one.state, {}, 0});
      }
      jobs.OnProgressRecord("a", progress, 2, clock.Now());
      BOOST_TEST(jobs.HasProgressOfUnknownJobs() == one.is_unknown);
    }
  }
}

struct NewsCase {
  const char* name;
  Offset told;
  Offset read;  ///< Says that the job runs.
  JobState expected;
};

// The leader tells that a job has ended before its topic is read; reading it
// must not show the job as running again.
BOOST_AUTO_TEST_CASE(older_progress_is_ignored) {
  const NewsCase cases[] = {
      {"told first, an older record is read", 7, 6, JobState::kCompleted},
      {"a newer record is read", 7, 8, JobState::kRunning},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      const ManualClock clock;
      JobTable jobs;
      jobs.OnJobRecord("a", RecordOf("a", kMorning), clock.Now());
      const auto news = DecodeNews(EncodeNews(
          {{"a", EncodeProgress({JobState::kCompleted, {}, 0}), one.told}}));
      BOOST_REQUIRE((news && news->size() == 1));
      const auto& first = news->front();
      jobs.OnProgressRecord(first.job, first.progress, first.offset,
                            clock.Now());
      jobs.OnProgressRecord("a", EncodeProgress({JobState::kRunning, {}, 0}),
                            one.read, clock.Now());
      BOOST_TEST((jobs.Find(JobId("a"))->State() == one.expected));
    }
  }
}

struct BytesCase {
  const char* name;
  std::string bytes;
};

// What another release of a host sends is refused whole.
BOOST_AUTO_TEST_CASE(malformed_groups_and_news) {
  const BytesCase cases[] = {
      {"nothing", ""},
      {"no msgpack", "\xc1"},
      {"a number", "\x07"},
      {"rows of another shape", "\x91\x91\x07"},
      {"cut off", EncodeGroup({{"key", "value"}}).substr(0, 5)},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      BOOST_TEST(!DecodeGroup(one.bytes));
      BOOST_TEST(!DecodeNews(one.bytes));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_oldest_come_first) {
  ManualClock clock;
  JobTable jobs;
  for (const auto* id : {"c", "a", "b"}) {
    jobs.OnJobRecord(id, RecordOf(id, kMorning), clock.Now());
    clock.Advance(milliseconds(1));
  }
  jobs.OnJobRecord(JobTable::CancelKey(JobId("unknown")), "1", clock.Now());
  std::string order;
  for (const auto& [id, job] : jobs.OldestFirst()) {
    order += id.Text();
  }
  BOOST_TEST(order == "cab");
}

}  // namespace
}  // namespace shallotbank::cell
