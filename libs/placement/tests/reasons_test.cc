#include <functional>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "builders.h"
#include "placement/placer.h"

namespace shallotbank::placement {
namespace {

/// A cell with two workers of 4 cores, which `prepare` adapts to the case.
struct Cell {
  Cell() {
    AddWorker(this->index, "a", {4000, 100, 0});
    AddWorker(this->index, "b", {4000, 100, 1});
  }
  auto Fill(const std::string& worker, std::int64_t cores_milli) -> void {
    BOOST_TEST_REQUIRE(static_cast<bool>(this->index.RecordRunning(
        WorkerId(worker), {.task = TaskId("on-" + worker),
                           .job = JobId("filler"),
                           .declared = {cores_milli, 0, 0}})));
  }

  WorkerIndex index;
  Placer placer{index};
};

struct Case {
  const char* name;
  std::function<void(Cell&)> prepare;
  TaskRequest request;
  std::optional<PlacementRefusal> expected;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

auto Excluding(TaskRequest request, std::vector<WorkerId> excluded)
    -> TaskRequest {
  request.excluded = std::move(excluded);
  return request;
}

auto Urgent(TaskRequest request) -> TaskRequest {
  request.is_urgent = true;
  return request;
}

auto Reserve(Cell& cell) -> void {
  cell.Fill("a", 1000);
  cell.Fill("b", 1000);
  const auto later = kStart + kStarvationThreshold;
  const auto gang = MakeGang("gang", 2, {4000, 0, 0});
  BOOST_TEST((cell.placer.PlaceGang(gang, later).Reason() ==
              PlacementRefusal::kNoRoomNow));
  BOOST_TEST(cell.placer.CurrentReservation(later)->workers.size() == 2U);
}

const std::vector<Case> kCases{
    {"fits", [](Cell&) {}, MakeTask("t", {4000, 100, 1}), {}},
    {"empty need", [](Cell&) {}, MakeTask("t", {}), {}},
    {"negative", [](Cell&) {}, MakeTask("t", {-1, 0, 0}),
     PlacementRefusal::kInvalidNeed},
    {"above the largest amount", [](Cell&) {},
     MakeTask("t", {0, kLargestAmount.memory_mib + 1, 0}),
     PlacementRefusal::kInvalidNeed},
    {"no id", [](Cell&) {}, MakeTask("", {1, 1, 0}),
     PlacementRefusal::kInvalidNeed},
    {"already placed", [](Cell& cell) { cell.Fill("a", 1); },
     MakeTask("on-a", {1, 1, 0}), PlacementRefusal::kAlreadyPlaced},
    {"too large in one dimension", [](Cell&) {}, MakeTask("t", {1, 1, 2}),
     PlacementRefusal::kLargerThanAnyWorker},
    {"the only large worker is leaving",
     [](Cell& cell) { cell.index.SetLeaving(WorkerId("b"), true); },
     MakeTask("t", {1, 1, 1}), PlacementRefusal::kLargerThanAnyWorker},
    {"the only large worker is unreachable",
     [](Cell& cell) { cell.index.SetUnreachable(WorkerId("b"), true); },
     MakeTask("t", {1, 1, 1}), PlacementRefusal::kNoLiveWorkerLargeEnough},
    {"no live worker",
     [](Cell& cell) {
       cell.index.SetUnreachable(WorkerId("a"), true);
       cell.index.SetQuarantined(WorkerId("b"), true);
     },
     MakeTask("t", {1, 1, 0}), PlacementRefusal::kNoLiveWorker},
    {"no worker",
     [](Cell& cell) {
       cell.index.RemoveWorker(WorkerId("a"));
       cell.index.SetLeaving(WorkerId("b"), true);
     },
     MakeTask("t", {1, 1, 0}), PlacementRefusal::kNoLiveWorker},
    {"no room",
     [](Cell& cell) {
       cell.Fill("a", 4000);
       cell.Fill("b", 3500);
     },
     MakeTask("t", {501, 0, 0}), PlacementRefusal::kNoRoomNow},
    {"no room after a late report",
     [](Cell& cell) {
       cell.Fill("a", 1000);
       cell.Fill("b", 1000);
       cell.index.ReportUsage(TaskId("on-a"), {3500, 0, 0});
       cell.index.ReportUsage(TaskId("on-b"), {3500, 0, 0});
     },
     MakeTask("t", {1000, 0, 0}), PlacementRefusal::kNoRoomNow},
    {"a report below the declared need frees nothing",
     [](Cell& cell) {
       cell.Fill("a", 4000);
       cell.Fill("b", 4000);
       cell.index.ReportUsage(TaskId("on-a"), {-1000, -5, -1});
     },
     MakeTask("t", {1, 0, 0}), PlacementRefusal::kNoRoomNow},
    {"over capacity in another dimension",
     [](Cell& cell) {
       cell.index.RemoveWorker(WorkerId("b"));
       cell.Fill("a", 1000);
       cell.index.ReportUsage(TaskId("on-a"), {0, 101, 0});
     },
     MakeTask("t", {1, 0, 0}), PlacementRefusal::kNoRoomNow},
    {"only excluded", [](Cell& cell) { cell.Fill("a", 4000); },
     Excluding(MakeTask("t", {1, 1, 0}), {WorkerId("b"), WorkerId("x")}),
     PlacementRefusal::kOnlyExcludedWorkers},
    {"reserved", Reserve, MakeTask("t", {1000, 0, 0}),
     PlacementRefusal::kHeldForReservation},
    {"reserved, but urgent", Reserve, Urgent(MakeTask("t", {1000, 0, 0})), {}},
};

// Guards against a misleading reason for a refusal, and against a
// `CheckPlacement` that disagrees with `Place`.
BOOST_DATA_TEST_CASE(RefusalReasons, kCases, c) {
  Cell cell;
  c.prepare(cell);
  const auto now = kStart + kStarvationThreshold;
  const auto tasks = cell.index.TaskCount();
  const auto expected = c.expected;
  BOOST_TEST((cell.placer.CheckPlacement(c.request, now) == expected));
  const auto decision = cell.placer.Place(c.request, now);
  BOOST_TEST(static_cast<bool>(decision) == !expected.has_value());
  BOOST_TEST(cell.index.TaskCount() == tasks + (expected ? 0 : 1));
  if (!decision) {
    BOOST_TEST(decision.Reason() == *expected);
  }
}

struct ProbeCase {
  const char* name;
  std::function<void(Cell&)> prepare;
  const char* worker;
  std::optional<PlacementRefusal> expected;
};

auto operator<<(std::ostream& out, const ProbeCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<ProbeCase> kProbeCases{
    {"room", [](Cell& cell) { cell.Fill("a", 3000); }, "a", {}},
    {"no room", [](Cell& cell) { cell.Fill("a", 3500); }, "a",
     PlacementRefusal::kNoRoomNow},
    {"not quarantined", [](Cell&) {}, "b", PlacementRefusal::kNotProbeable},
    {"also leaving",
     [](Cell& cell) { cell.index.SetLeaving(WorkerId("a"), true); }, "a",
     PlacementRefusal::kNotProbeable},
    {"unknown", [](Cell&) {}, "x", PlacementRefusal::kUnknownWorker},
};

// Guards against a probe that overcommits a worker or is placed on an
// ineligible one.
BOOST_DATA_TEST_CASE(ProbePlacement, kProbeCases, c) {
  Cell cell;
  cell.index.SetQuarantined(WorkerId("a"), true);
  c.prepare(cell);
  const auto tasks = cell.index.TaskCount();
  const auto expected = c.expected;
  const auto decision = cell.placer.PlaceProbe(
      WorkerId(c.worker), MakeTask("t", {1000, 1, 0}), kStart);
  BOOST_TEST(static_cast<bool>(decision) == !expected.has_value());
  BOOST_TEST(cell.index.TaskCount() == tasks + (expected ? 0 : 1));
  if (!decision) {
    BOOST_TEST(decision.Reason() == *expected);
  }
}

// Guards against a gang that keeps renewing its reservation while another gang
// starves.
BOOST_AUTO_TEST_CASE(ReservationRotatesBetweenGangs) {
  Cell cell;
  cell.Fill("a", 1000);
  cell.Fill("b", 1000);
  const auto first = MakeGang("first", 2, {4000, 0, 0});
  const auto second = MakeGang("second", 2, {4000, 0, 0});
  const auto holder = [&cell](TimePoint now) {
    const auto current = cell.placer.CurrentReservation(now);
    return current ? current->job.Text() : std::string();
  };
  const auto ask = [&cell](const GangRequest& gang, TimePoint now) {
    BOOST_TEST(!cell.placer.PlaceGang(gang, now));
  };
  auto now = kStart + kStarvationThreshold - Duration(1);
  ask(first, now);
  BOOST_TEST(holder(now).empty());
  now += Duration(1);
  ask(first, now);
  ask(second, now);
  BOOST_TEST(holder(now) == "first");
  now += kReservationLifetime;
  ask(first, now);
  BOOST_TEST(holder(now).empty());
  ask(second, now);
  BOOST_TEST(holder(now) == "second");
  cell.placer.CancelReservation(JobId("first"));
  BOOST_TEST(holder(now) == "second");
  cell.placer.CancelReservation(JobId("second"));
  BOOST_TEST(holder(now).empty());
  now += kStarvationThreshold;
  ask(first, now);
  BOOST_TEST(holder(now) == "first");
  cell.index.Release(TaskId("on-a"));
  cell.index.Release(TaskId("on-b"));
  BOOST_TEST(static_cast<bool>(cell.placer.PlaceGang(first, now)));
  BOOST_TEST(holder(now).empty());
}

struct GangCase {
  const char* name;
  std::vector<Resources> needs;
  std::optional<PlacementRefusal> expected;
};

auto operator<<(std::ostream& out, const GangCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<GangCase> kGangCases{
    {"fits exactly", {{4000, 50, 0}, {4000, 50, 1}}, {}},
    {"shares a worker", {{2000, 50, 1}, {2000, 50, 0}, {4000, 9, 0}}, {}},
    {"empty", {}, PlacementRefusal::kInvalidNeed},
    {"one task too large",
     {{1, 1, 0}, {4001, 1, 0}},
     PlacementRefusal::kLargerThanAnyWorker},
    {"too many", std::vector<Resources>(5, {2000, 1, 0}),
     PlacementRefusal::kGangLargerThanCell},
    {"too much in total",
     {{3000, 1, 0}, {3000, 1, 0}, {2500, 1, 0}},
     PlacementRefusal::kGangLargerThanCell},
    {"fits in total, but not on the workers",
     {{3000, 1, 0}, {3000, 1, 0}, {1500, 1, 0}},
     PlacementRefusal::kNoRoomNow},
};

// Guards against a partially placed gang, and against a gang that waits
// although it can never fit.
BOOST_DATA_TEST_CASE(GangReasons, kGangCases, c) {
  Cell cell;
  GangRequest gang{.job = JobId("gang"), .tasks = {}, .waiting_since = kStart};
  for (const auto& need : c.needs) {
    gang.tasks.push_back({TaskId(NumberedId('t', gang.tasks.size())), need});
  }
  const auto decision = cell.placer.PlaceGang(gang, kStart);
  BOOST_TEST(static_cast<bool>(decision) == !c.expected.has_value());
  if (!decision) {
    BOOST_TEST(decision.Reason() == *c.expected);
    BOOST_TEST(cell.index.TaskCount() == 0U);
    BOOST_TEST((cell.index.FindWorker(WorkerId("a"))->used == Resources{}));
    BOOST_TEST((cell.index.FindWorker(WorkerId("b"))->used == Resources{}));
  }
}

}  // namespace
}  // namespace shallotbank::placement
