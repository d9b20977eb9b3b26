#include "placement/quarantine.h"

#include <string>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "builders.h"

namespace shallotbank::placement {
namespace {

/// One event of a history; the time is in seconds.
struct Step {
  int at;
  char outcome;  ///< 'f': failed, 's': succeeded, 'p': probe started.
  const char* worker;
  const char* job = "";
  const char* task = "";
};

struct Case {
  const char* name;
  std::vector<Step> steps;
  std::vector<const char*> quarantined;
  std::vector<const char*> faulty;
  int next_probe = -1;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<Step> kThreeFailures{{0, 'f', "w", "j1", "a"},
                                       {0, 'f', "w", "j2", "b"},
                                       {0, 'f', "w", "j3", "c"}};

auto After(std::vector<Step> steps, const std::vector<Step>& more)
    -> std::vector<Step> {
  steps.insert(steps.end(), more.begin(), more.end());
  return steps;
}

const std::vector<Case> kCases{
    {"two failures",
     {{0, 'f', "w", "j1", "a"}, {0, 'f', "w", "j2", "b"}},
     {},
     {}},
    {"three failures", kThreeFailures, {"w"}, {}, 30},
    {"three failures of one job",
     {{0, 'f', "w", "j1", "a"},
      {0, 'f', "w", "j1", "b"},
      {0, 'f', "w", "j1", "c"}},
     {},
     {}},
    {"not consecutive",
     {{0, 'f', "w", "j1", "a"},
      {0, 'f', "w", "j2", "b"},
      {0, 's', "w", "j4", "d"},
      {0, 'f', "w", "j3", "c"}},
     {},
     {}},
    {"success clears",
     After(kThreeFailures, {{9, 's', "w", "j4", "d"}}),
     {},
     {}},
    {"a probe without an outcome is repeated",
     After(kThreeFailures, {{30, 'p', "w"}}),
     {"w"},
     {},
     60},
    {"a failed probe doubles the interval",
     After(kThreeFailures, {{30, 'p', "w"}, {31, 'f', "w", "j4", "d"}}),
     {"w"},
     {},
     91},
    {"a failure that is no probe keeps the interval",
     After(kThreeFailures, {{5, 'f', "w", "j4", "d"}}),
     {"w"},
     {},
     30},
    {"the interval is at most ten minutes",
     After(kThreeFailures,
           {{30, 'p', "w"},
            {30, 'f', "w", "j4", "d"},
            {90, 'p', "w"},
            {90, 'f', "w", "j4", "d"},
            {210, 'p', "w"},
            {210, 'f', "w", "j4", "d"},
            {450, 'p', "w"},
            {450, 'f', "w", "j4", "d"},
            {930, 'p', "w"},
            {930, 'f', "w", "j4", "d"},
            {1530, 'p', "w"},
            {1530, 'f', "w", "j4", "d"}}),
     {"w"},
     {},
     2130},
    {"a faulty job does not count against workers",
     {{0, 'f', "w1", "j1", "a"},
      {0, 'f', "w2", "j1", "a"},
      {0, 'f', "w3", "j1", "a"},
      {0, 'f', "w1", "j2", "b"},
      {0, 'f', "w1", "j3", "c"},
      {0, 'f', "w1", "j1", "d"}},
     {},
     {"j1"}},
    {"a quarantine based on failures of a faulty job ends",
     After(kThreeFailures,
           {{0, 'f', "w2", "j5", "e"},
            {0, 'f', "w3", "j1", "a"},
            {0, 'f', "w4", "j1", "a"}}),
     {},
     {"j1"}},
    {"different tasks on three workers do not make a job faulty",
     {{0, 'f', "w1", "j1", "a"},
      {0, 'f', "w2", "j1", "b"},
      {0, 'f', "w3", "j1", "c"}},
     {},
     {}},
    {"failures on quarantined workers do not count against the job",
     After(kThreeFailures,
           {{0, 'f', "w2", "j4", "d"},
            {0, 'f', "w3", "j4", "d"},
            {30, 'p', "w"},
            {30, 'f', "w", "j4", "d"}}),
     {"w"},
     {},
     90},
};

// Guards against a faulty worker that keeps receiving work, a worker that is
// never released from quarantine, and a faulty job that causes healthy workers
// to be quarantined.
BOOST_DATA_TEST_CASE(FailureHistories, kCases, c) {
  Quarantine quarantine;
  for (const auto& step : c.steps) {
    const auto now = kStart + std::chrono::seconds(step.at);
    const WorkerId worker(step.worker);
    if (step.outcome == 'p') {
      BOOST_TEST((quarantine.TakeWorkerToProbe(now) == worker));
      BOOST_TEST(!quarantine.TakeWorkerToProbe(now).has_value());
    } else if (step.outcome == 's') {
      quarantine.RecordSuccess(worker, JobId(step.job), TaskId(step.task));
    } else {
      quarantine.RecordFailure(worker, JobId(step.job), TaskId(step.task), now);
    }
  }
  for (const std::string id : {"w", "w1", "w2", "w3", "w4"}) {
    const auto count =
        std::count(c.quarantined.begin(), c.quarantined.end(), id);
    BOOST_TEST(quarantine.IsQuarantined(WorkerId(id)) == (count > 0), id);
  }
  for (const std::string id : {"j1", "j2", "j3", "j4", "j5"}) {
    const auto count = std::count(c.faulty.begin(), c.faulty.end(), id);
    BOOST_TEST(quarantine.IsFaulty(JobId(id)) == (count > 0), id);
  }
  const auto next = quarantine.NextProbeAt();
  BOOST_TEST(next.has_value() == (c.next_probe >= 0));
  if (next) {
    BOOST_TEST((*next == kStart + std::chrono::seconds(c.next_probe)));
  }
}

// Guards against changes that are not reported to the caller, so that the index
// never learns of them.
BOOST_AUTO_TEST_CASE(ReportsEachChangeOnce) {
  Quarantine quarantine;
  const WorkerId worker("w");
  QuarantineChange change;
  for (const auto* job : {"j1", "j2", "j3"}) {
    BOOST_TEST(change.quarantined.empty());
    change = quarantine.RecordFailure(worker, JobId(job), TaskId(job), kStart);
  }
  BOOST_TEST((change.quarantined == std::vector{worker}));
  change = quarantine.RecordSuccess(worker, JobId("j"), TaskId("t"));
  BOOST_TEST((change.cleared == std::vector{worker}));
  change = quarantine.RecordSuccess(worker, JobId("j"), TaskId("t"));
  BOOST_TEST(change.cleared.empty());
}

}  // namespace
}  // namespace shallotbank::placement
