#include <boost/test/unit_test.hpp>

#include "base/clock.h"
#include "cell/job_table.h"
#include "cell/record_digests.h"
#include "cell/records.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using WallTime = std::chrono::system_clock::time_point;

constexpr WallTime kWallNow{std::chrono::hours(24 * 365 * 50)};

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

// A starting host learns of jobs that other hosts accepted earlier.
BOOST_AUTO_TEST_CASE(ages_of_old_jobs_are_estimated) {
  const AgeCase cases[] = {
      {"seconds old", kWallNow - seconds(7), seconds(7)},
      {"a clock that is ahead", kWallNow + seconds(2), Duration::zero()},
      {"a clock that is far behind", kWallNow - minutes(500), minutes(10)},
      {"a record without the time", WallTime(), Duration::zero()},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const ManualClock clock;
      JobTable jobs;
      const auto* job = jobs.OnOldJobRecord(
          "a", RecordOf("a", test_case.submitted_at), clock.Now(), kWallNow);
      BOOST_REQUIRE(job != nullptr);
      BOOST_TEST((clock.Now() - job->accepted_at == test_case.expected_age));
    }
  }
}

// The time of day is not used for a record that was appended just now.
BOOST_AUTO_TEST_CASE(new_records_are_accepted_now) {
  const ManualClock clock;
  JobTable jobs;
  const auto* job = jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
  BOOST_REQUIRE(job != nullptr);
  BOOST_TEST((job->accepted_at == clock.Now()));
}

struct UnknownCase {
  const char* name;
  bool has_job;
  std::optional<JobState> state;  ///< Empty: the key was deleted.
  bool is_unknown;
};

// A new leader must not start while it has progress of a job without the job's
// specification.
BOOST_AUTO_TEST_CASE(progress_ahead_of_its_job) {
  const UnknownCase cases[] = {
      {"job and progress", true, JobState::kRunning, false},
      {"progress only", false, JobState::kRunning, true},
      {"progress of an ended job", false, JobState::kCompleted, false},
      {"dropped progress", false, std::nullopt, false},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const ManualClock clock;
      JobTable jobs;
      jobs.OnProgressRecord("a", EncodeProgress({JobState::kRunning, {}, 0}), 1,
                            clock.Now());
      if (test_case.has_job) {
        jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
      }
      std::optional<std::string> progress;
      if (test_case.state) {
        progress = EncodeProgress({*test_case.state, {}, 0});
      }
      jobs.OnProgressRecord("a", progress, 2, clock.Now());
      BOOST_TEST(jobs.HasProgressOfUnknownJobs() == test_case.is_unknown);
    }
  }
}

struct IncompleteCase {
  const char* name;
  bool has_record;  ///< Of the job's progress, from before the update.
  JobState update;
  bool has_end;  ///< The record of the job's end is read in the end.
  bool is_incomplete;
};

// A host that had the end of a job from the leader, but neither its
// specification nor the record of its end from the store, took it for unknown.
BOOST_AUTO_TEST_CASE(a_job_known_from_the_leader_only_is_not_unknown) {
  const IncompleteCase cases[] = {
      {"runs, by an update", false, JobState::kRunning, false, true},
      {"ended, by an update", false, JobState::kCompleted, false, true},
      {"runs by a record, ended by an update", true, JobState::kCompleted,
       false, true},
      {"ended, by an update and a record", true, JobState::kCompleted, true,
       false},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const ManualClock clock;
      JobTable jobs;
      if (test_case.has_record) {
        jobs.OnProgressRecord("a", EncodeProgress({JobState::kRunning, {}, 0}),
                              1, clock.Now());
      }
      jobs.OnStateUpdate("a", test_case.update, 2, clock.Now());
      if (test_case.has_end) {
        JobProgress end;
        end.state = test_case.update;
        end.queue = QueueName("q");
        jobs.OnProgressRecord("a", EncodeProgress(end), 2, clock.Now());
      }
      BOOST_TEST(jobs.IsIncomplete(JobId("a")) == test_case.is_incomplete);
      BOOST_TEST((jobs.Find(JobId("a")) != nullptr) == test_case.has_end);
      jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
      BOOST_TEST(!jobs.IsIncomplete(JobId("a")));
      BOOST_TEST((jobs.Find(JobId("a"))->State() == test_case.update));
    }
  }
}

struct UpdateCase {
  const char* name;
  Offset update_offset;
  Offset record_offset;  ///< Offset of the record with state running.
  JobState expected;
};

// A progress update with the end of a job arrives before its record is read;
// reading older records must not show the job as running again.
BOOST_AUTO_TEST_CASE(older_progress_is_ignored) {
  const UpdateCase cases[] = {
      {"update first, an older record is read", 7, 6, JobState::kCompleted},
      {"a newer record is read", 7, 8, JobState::kRunning},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const ManualClock clock;
      JobTable jobs;
      jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
      const auto updates = DecodeProgressUpdates(EncodeProgressUpdates(
          {{"a", EncodeProgress({JobState::kCompleted, {}, 0}),
            test_case.update_offset}}));
      BOOST_REQUIRE((updates && updates->size() == 1));
      const auto& first = updates->front();
      jobs.OnProgressRecord(first.job, first.progress, first.offset,
                            clock.Now());
      jobs.OnProgressRecord("a", EncodeProgress({JobState::kRunning, {}, 0}),
                            test_case.record_offset, clock.Now());
      BOOST_TEST((jobs.Find(JobId("a"))->State() == test_case.expected));
    }
  }
}

struct EndedCase {
  const char* name;
  bool is_update_first;
};

// Ended jobs made up most of the memory of a host, each with its specification.
BOOST_AUTO_TEST_CASE(ended_jobs_keep_only_what_callers_ask_for) {
  const EndedCase cases[] = {
      {"the end is read from the topic", false},
      {"the leader's update arrives before the record", true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const ManualClock clock;
      JobTable jobs;
      jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
      jobs.OnProgressRecord("a", EncodeProgress({JobState::kRunning, {}, 0}), 5,
                            clock.Now());
      if (test_case.is_update_first) {
        jobs.OnStateUpdate("a", JobState::kCompleted, 7, clock.Now());
        jobs.OnProgressRecord("a", EncodeProgress({JobState::kRunning, {}, 0}),
                              6, clock.Now());
      }
      jobs.OnProgressRecord("a", EncodeProgress({JobState::kCompleted, {}, 0}),
                            7, clock.Now());
      const auto* job = jobs.Find(JobId("a"));
      BOOST_REQUIRE(job != nullptr);
      BOOST_TEST((job->State() == JobState::kCompleted));
      BOOST_TEST(job->queue.Text() == "orders");
      BOOST_TEST(job->spec_bytes.capacity() <= std::string().capacity());
      BOOST_TEST(job->progress_bytes.capacity() <= std::string().capacity());
      BOOST_TEST(jobs.OldestFirst().empty());
      // A repeat of the submission, sent by a caller who got no answer.
      jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
      BOOST_TEST(job->spec_bytes.empty());
    }
  }
}

enum class StoreEvent { kSpec, kSpecRemoved, kEnd, kForgotten };

struct RemovalCase {
  const char* name;
  std::vector<StoreEvent> events;
  bool is_known;
  std::optional<JobState> state;  ///< If known.
};

// The specifications of ended jobs made up most of what each host read when it
// started, so hundreds of hosts that restarted together had no leader for 4 s.
// They are removed once the end is stored; no order of reading the two topics
// may deny the job or show it as waiting.
BOOST_AUTO_TEST_CASE(ended_jobs_are_known_without_their_specifications) {
  using enum StoreEvent;
  const RemovalCase cases[] = {
      {"the end alone, read from a snapshot",
       {kEnd},
       true,
       JobState::kCompleted},
      {"the removal is read before the end",
       {kSpec, kSpecRemoved},
       true,
       JobState::kQueued},
      {"both are read",
       {kSpec, kSpecRemoved, kEnd},
       true,
       JobState::kCompleted},
      {"the end is read first",
       {kSpec, kEnd, kSpecRemoved},
       true,
       JobState::kCompleted},
      {"a caller's repeat is stored after the end",
       {kEnd, kSpec},
       true,
       JobState::kCompleted},
      {"forgotten after the retention time", {kEnd, kForgotten}, false, {}},
      {"forgotten, with its specification",
       {kSpec, kEnd, kSpecRemoved, kForgotten},
       false,
       {}},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const ManualClock clock;
      JobTable jobs;
      Offset offset = 0;
      for (const auto event : test_case.events) {
        offset++;
        if (event == kSpec) {
          jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
        } else if (event == kSpecRemoved) {
          jobs.OnJobRecord("a", std::nullopt, clock.Now());
        } else if (event == kEnd) {
          jobs.OnProgressRecord("a",
                                EncodeProgress({JobState::kCompleted,
                                                {},
                                                0,
                                                QueueName("orders"),
                                                OrganisationId("shop")}),
                                offset, clock.Now());
        } else {
          jobs.OnProgressRecord("a", std::nullopt, offset, clock.Now());
        }
      }
      const auto* job = jobs.Find(JobId("a"));
      BOOST_TEST((job != nullptr) == test_case.is_known);
      if (job != nullptr) {
        BOOST_TEST((job->State() == test_case.state));
        BOOST_TEST(job->queue.Text() == "orders");
      }
      const bool is_waiting = test_case.state == JobState::kQueued;
      BOOST_TEST(jobs.CountWaiting(QueueName("orders")) ==
                 (is_waiting ? 1U : 0U));
      BOOST_TEST(jobs.OldestFirst().size() == (is_waiting ? 1U : 0U));
    }
  }
}

// A host that takes over needs the tasks of each job, which the leader's
// updates do not carry.
BOOST_AUTO_TEST_CASE(updates_do_not_replace_stored_progress) {
  const ManualClock clock;
  JobTable jobs;
  const auto stored = EncodeProgress({JobState::kRunning, {}, 3});
  jobs.OnJobRecord("a", RecordOf("a", kWallNow), clock.Now());
  jobs.OnProgressRecord("a", stored, 5, clock.Now());
  BOOST_TEST(!jobs.OnStateUpdate("a", JobState::kRunning, 6, clock.Now()));
  BOOST_TEST(jobs.Find(JobId("a"))->progress_bytes == stored);
  const auto newer = EncodeProgress({JobState::kRunning, {}, 4});
  jobs.OnProgressRecord("a", newer, 6, clock.Now());
  BOOST_TEST(jobs.Find(JobId("a"))->progress_bytes == newer);
}

struct BytesCase {
  const char* name;
  std::string bytes;
};

// Malformed messages, for example from another release, are rejected as a
// whole.
BOOST_AUTO_TEST_CASE(malformed_groups_and_progress_updates) {
  const BytesCase cases[] = {
      {"nothing", ""},
      {"no msgpack", "\xc1"},
      {"a number", "\x07"},
      {"rows of another shape", "\x91\x91\x07"},
      {"cut off", EncodeGroup({{"key", "value"}}).substr(0, 5)},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      BOOST_TEST(!DecodeGroup(test_case.bytes));
      BOOST_TEST(!DecodeProgressUpdates(test_case.bytes));
      BOOST_TEST(!DecodeProgressMessage(test_case.bytes));
    }
  }
}

BOOST_AUTO_TEST_CASE(jobs_are_listed_oldest_first) {
  ManualClock clock;
  JobTable jobs;
  for (const auto* id : {"c", "a", "b"}) {
    jobs.OnJobRecord(id, RecordOf(id, kWallNow), clock.Now());
    clock.Advance(milliseconds(1));
  }
  jobs.OnJobRecord(JobTable::CancelKey(JobId("unknown")), "1", clock.Now());
  std::string order;
  for (const auto& [id, job] : jobs.OldestFirst()) {
    order += id.Text();
  }
  BOOST_TEST(order == "cab");
}

auto FullJob() -> JobSpec {
  JobSpec job;
  job.id = JobId("a");
  job.queue = QueueName("orders");
  job.organisation = OrganisationId("shop");
  job.payload = std::string(500, 'p');
  job.steps.resize(2);
  job.submitted_at = kWallNow;
  return job;
}

auto RunningProgress() -> std::string {
  JobProgress progress;
  progress.state = JobState::kRunning;
  auto& tasks = progress.occurrences.emplace_back().steps.emplace_back();
  tasks.resize(20);
  for (auto& task : tasks) {
    task.phase = TaskPhase::kAssigned;
    task.run = 1;
    task.worker.id = WorkerId("worker");
  }
  return EncodeProgress(progress);
}

// Callers of a host that reads digests get the same answers as those of a host
// that reads the records.
BOOST_AUTO_TEST_CASE(digests_tell_what_callers_ask_for) {
  const ManualClock clock;
  JobTable jobs;
  const auto record = EncodeJob(FullJob());
  const auto digest = DigestJobRecord(3, "a", record);
  BOOST_REQUIRE(digest.has_value());
  BOOST_TEST(digest->value->size() < record.size() / 5);
  jobs.OnJobDigest("a", digest->value, clock.Now());
  jobs.OnJobDigest("a", digest->value, clock.Now());
  const auto* job = jobs.Find(JobId("a"));
  BOOST_REQUIRE(job != nullptr);
  BOOST_TEST(job->queue.Text() == "orders");
  BOOST_TEST(job->organisation.Text() == "shop");
  BOOST_TEST(jobs.CountWaiting(QueueName("orders")) == 1U);

  const auto running = RunningProgress();
  const auto state = DigestProgressRecord(7, "a", running);
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST(state->value->size() == 1U);
  jobs.OnProgressDigest("a", state->value, 7, clock.Now());
  BOOST_TEST((job->State() == JobState::kRunning));
  BOOST_TEST(jobs.CountWaiting(QueueName("orders")) == 0U);
  BOOST_TEST(!DigestProgressRecord(8, "a/0/1", "S").has_value());

  const auto cancel =
      DigestJobRecord(9, JobTable::CancelKey(JobId("a")), std::string("1"));
  BOOST_REQUIRE(cancel.has_value());
  jobs.OnJobDigest(cancel->key, cancel->value, clock.Now());
  BOOST_TEST(job->is_cancel_requested);

  JobProgress ended;
  ended.state = JobState::kCompleted;
  ended.queue = QueueName("orders");
  ended.organisation = OrganisationId("shop");
  const auto end = DigestProgressRecord(12, "a", EncodeProgress(ended));
  jobs.OnProgressDigest("a", end->value, 12, clock.Now());
  BOOST_TEST((job->State() == JobState::kCompleted));
  // The removal of the specification changes nothing.
  jobs.OnJobDigest("a", std::nullopt, clock.Now());
  BOOST_TEST(jobs.Find(JobId("a")) == job);
  // The job is forgotten with its end, also by a host that read no more of it.
  JobTable late;
  late.OnProgressDigest("a", end->value, 12, clock.Now());
  BOOST_TEST((late.Find(JobId("a"))->State() == JobState::kCompleted));
  late.OnProgressDigest("a", std::nullopt, 20, clock.Now());
  BOOST_TEST(late.Find(JobId("a")) == nullptr);
}

// A leader that took a digest for the job would find no tasks to run.
BOOST_AUTO_TEST_CASE(records_replace_digests) {
  ManualClock clock;
  const auto record = EncodeJob(FullJob());
  const auto digest = DigestJobRecord(3, "a", record)->value;
  const auto accepted_at = clock.Now();
  JobTable jobs;
  jobs.OnJobDigest("a", digest, accepted_at);
  jobs.OnProgressDigest("a", RunningProgress().substr(0, 1), 7, clock.Now());
  const auto* job = jobs.Find(JobId("a"));
  BOOST_TEST(job->is_digest);
  BOOST_TEST(job->progress_bytes.empty());
  clock.Advance(seconds(5));
  jobs.OnOldJobRecord("a", record, clock.Now(), kWallNow + seconds(5));
  jobs.OnProgressRecord("a", RunningProgress(), 7, clock.Now());
  BOOST_TEST(!job->is_digest);
  BOOST_TEST(DecodeJob(job->spec_bytes)->steps.size() == 2U);
  BOOST_TEST(job->progress_bytes == RunningProgress());
  BOOST_TEST((job->accepted_at == accepted_at));
  // A digest that arrives late does not replace the record.
  jobs.OnJobDigest("a", digest, clock.Now());
  jobs.OnProgressDigest("a", RunningProgress().substr(0, 1), 7, clock.Now());
  BOOST_TEST(!job->is_digest);
  BOOST_TEST(DecodeJob(job->spec_bytes)->steps.size() == 2U);
  BOOST_TEST(job->progress_bytes == RunningProgress());
}

}  // namespace
}  // namespace shallotbank::cell
