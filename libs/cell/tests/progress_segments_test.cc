#include <boost/test/unit_test.hpp>

#include "cell/job_table.h"
#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

constexpr std::size_t kMaxRecordBytes = 262'144;

/// A store that keeps what the batches of a scheduler hold.
class StoredProgress {
 public:
  auto Add(const ProgressBatch& batch) -> void {
    for (const auto& [key, value] : batch.segments) {
      this->Put(key, value);
    }
    for (const auto& [job, value] : batch.records) {
      this->Put(job.Text(), value);
    }
  }
  auto LongestRecord() const -> std::size_t { return this->longest; }
  auto SegmentCount(const JobId& job) const -> std::size_t {
    const auto found = this->table.Jobs().find(job);
    return found == this->table.Jobs().end() ? 0
                                             : found->second.segments.size();
  }
  /// The progress as the next leader reads it.
  auto Read(const JobSpec& spec) const -> JobProgress {
    const auto& job = this->table.Jobs().at(spec.id);
    Segments segments;
    for (const auto& [key, segment] : job.segments) {
      segments.emplace(key, segment.second);
    }
    auto progress = DecodeProgress(job.progress_bytes);
    BOOST_REQUIRE(progress.has_value());
    BOOST_REQUIRE(RestoreSegments(spec, segments, *progress));
    return *progress;
  }

 private:
  auto Put(const std::string& key, const std::optional<std::string>& value)
      -> void {
    this->longest = std::max(this->longest, value.value_or("").size());
    this->table.OnProgressRecord(key, value, this->next_offset++,
                                 ManualClock().Now());
  }

  JobTable table;
  Offset next_offset = 1;
  std::size_t longest = 0;
};

/// Decides, stores the batch if there is one and returns the decisions.
auto Step(SchedulerFixture& cell, StoredProgress& store) -> Decisions {
  auto decisions = cell.Decide();
  if (decisions.batch) {
    store.Add(*decisions.batch);
    cell.Store();
  }
  return decisions;
}

/// Confirms starts until there are no more of them.
auto StartAll(SchedulerFixture& cell, StoredProgress& store)
    -> std::vector<StartOrder> {
  std::vector<StartOrder> all;
  Step(cell, store);
  while (true) {
    const auto starts = Step(cell, store).starts;
    if (starts.empty()) {
      return all;
    }
    for (const auto& order : starts) {
      cell.Answer(order, OrderOutcome::kDone);
      all.push_back(order);
    }
  }
}

struct JobSizeCase {
  std::size_t tasks;
  bool is_segmented;
};

auto operator<<(std::ostream& out, const JobSizeCase& test_case)
    -> std::ostream& {
  return out << test_case.tasks << " tasks";
}

/// A job whose tasks all fit on one worker of the fixture.
auto WideJob(const SchedulerFixture& cell, std::size_t tasks) -> JobSpec {
  auto spec = cell.Job("0123456789abcdef", tasks, 1);
  spec.steps[0].demand.memory_mib = 1;
  return spec;
}

// Guards against a job whose progress exceeds the size of a record: its append
// was refused and repeated for good, and no job went on.
BOOST_AUTO_TEST_CASE(progress_of_any_job_fits_into_records) {
  const JobSizeCase cases[] = {{100, false}, {7'000, true}, {20'000, true}};
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case) {
      SchedulerFixture cell;
      cell.AddWorker("worker-with-a-long-name", 64'000);
      const auto spec = WideJob(cell, test_case.tasks);
      cell.scheduler.OnJob(spec, {}, cell.clock.Now());
      StoredProgress store;
      const auto starts = StartAll(cell, store);
      BOOST_REQUIRE(starts.size() == test_case.tasks);
      BOOST_TEST(store.LongestRecord() <= kMaxRecordBytes);
      BOOST_TEST((store.SegmentCount(spec.id) > 0) == test_case.is_segmented);

      // The next leader starts no task that the worker still runs.
      SchedulerFixture next(2);
      next.scheduler.OnWorker(next.Report("worker-with-a-long-name"),
                              next.clock.Now());
      next.scheduler.OnJob(spec, store.Read(spec), next.clock.Now());
      BOOST_TEST(next.scheduler.Count().assigned_tasks == test_case.tasks);
      std::vector<RunningTask> running;
      std::vector<EndedTask> ended;
      for (const auto& order : starts) {
        running.push_back(RunningAs(order, 1));
        ended.push_back(Ended(order, EndKind::kDone, ended.size() + 1));
      }
      next.AnswerPoll("worker-with-a-long-name", running);
      BOOST_TEST(Step(next, store).starts.empty());
      next.AnswerPoll("worker-with-a-long-name", {}, ended);
      BOOST_TEST(Step(next, store).starts.empty());
      BOOST_TEST(store.SegmentCount(spec.id) == 0U);
      BOOST_TEST((DecodeState(next.stored[spec.id]) == JobState::kCompleted));
    }
  }
}

// Guards against a large job that rewrites all of its progress at each change.
BOOST_AUTO_TEST_CASE(only_segments_that_changed_are_stored_again) {
  SchedulerFixture cell;
  cell.AddWorker("worker-with-a-long-name");
  const auto spec = WideJob(cell, 7'000);
  cell.scheduler.OnJob(spec, {}, cell.clock.Now());
  StoredProgress store;
  const auto starts = StartAll(cell, store);
  std::vector<RunningTask> running;
  for (const auto& order : starts) {
    running.push_back(RunningAs(order, 1));
  }
  Step(cell, store);
  running.erase(running.begin());
  cell.AnswerPoll("worker-with-a-long-name", running,
                  {Ended(starts[0], EndKind::kDone, 1)});
  const auto decisions = cell.Decide();
  BOOST_REQUIRE(decisions.batch.has_value());
  BOOST_TEST(decisions.batch->segments.size() == 1U);
  BOOST_TEST(decisions.batch->records.size() == 1U);
}

// Guards against tasks that count as waiting, and run again, because a segment
// of their job's progress is missing or damaged.
BOOST_AUTO_TEST_CASE(progress_with_an_unreadable_segment_is_rejected) {
  JobSpec spec;
  spec.id = JobId("a");
  spec.steps.emplace_back().task_count = 3;
  spec.steps.emplace_back().task_count = 2;
  const auto read = [&spec](const Segments& segments) -> bool {
    JobProgress progress;
    progress.occurrences.push_back({0, {}, 2});
    return RestoreSegments(spec, segments, progress);
  };
  const std::vector<TaskProgress> tasks(2);
  const Segments whole{{"a/0/0", EncodeSegment(tasks)},
                       {"a/0/1", EncodeSegment(tasks)},
                       {"a/0/2", EncodeSegment({TaskProgress()})}};
  BOOST_TEST(read(whole));
  for (const auto* damaged : {"", "S", "1", "S\x91\x01", "Sxyz"}) {
    BOOST_TEST_CONTEXT(damaged) {
      auto segments = whole;
      segments["a/0/1"] = damaged;
      BOOST_TEST(!read(segments));
    }
  }
  auto incomplete = whole;
  incomplete.erase("a/0/2");
  BOOST_TEST(!read(incomplete));
}

// Guards against an empty segment size, which would stand for tasks that are
// stored with the job: all of them would count as waiting.
BOOST_AUTO_TEST_CASE(progress_without_a_segment_size_is_rejected) {
  JobProgress progress;
  progress.occurrences.push_back({0, {}, 5});
  auto bytes = EncodeProgress(progress);
  BOOST_TEST(DecodeProgress(bytes).has_value());
  bytes.back() = '\0';
  BOOST_TEST(!DecodeProgress(bytes).has_value());
}

// Guards against occurrences of a job that pile up without bound while those
// before them do not end.
BOOST_AUTO_TEST_CASE(occurrences_wait_for_those_before_them) {
  constexpr std::size_t kWidth = 3'000;
  SchedulerFixture cell;
  auto spec = WideJob(cell, kWidth);
  spec.occurrence_count = 1'000;  // All are due at once.
  cell.scheduler.OnJob(spec, {}, cell.clock.Now());
  StoredProgress store;
  Step(cell, store);
  BOOST_TEST(store.Read(spec).occurrences.size() == 4U);
  BOOST_TEST(cell.scheduler.Count().waiting_tasks == 4 * kWidth);
  BOOST_TEST(store.LongestRecord() <= kMaxRecordBytes);
}

}  // namespace
}  // namespace shallotbank::cell
