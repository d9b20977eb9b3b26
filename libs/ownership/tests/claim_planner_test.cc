#include "ownership/claim_planner.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <deque>
#include <set>

namespace shallotbank::ownership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{50};
// For long periods without failures.
constexpr milliseconds kLongTick{2000};
constexpr milliseconds kAppendDelay{100};

/// Simulates processes that plan on one log whose appends take `kAppendDelay`.
class ClaimSimulation {
 public:
  ClaimSimulation(std::size_t processes,
                  std::size_t groups,
                  ClaimPlanner::Balance balance)
      : alive(processes, true) {
    for (std::size_t i = 0; i < processes; ++i) {
      const ProcessId id("entry-" + std::to_string(i));
      this->processes.push_back({id, false});
      this->planners.emplace_back(id, balance);
    }
    for (std::size_t i = 0; i < groups; ++i) {
      this->resources.emplace_back("group-" + std::to_string(i));
    }
  }

  auto Run(milliseconds time, milliseconds tick = kTick) -> void {
    for (const auto end = this->now + time; this->now < end;
         this->now += tick) {
      this->DeliverAppends();
      for (std::size_t i = 0; i < this->planners.size(); ++i) {
        if (this->alive[i]) {
          this->Append(i, this->planners[i].Plan(this->View(), this->now));
        }
      }
    }
    this->DeliverAppends();
  }
  auto SetAlive(std::size_t process, bool is_alive) -> void {
    this->alive[process] = is_alive;
    this->processes[process].suspected = !is_alive;
  }
  auto Stop(std::size_t process) -> void {
    this->Append(process,
                 this->planners[process].Stop(this->View(), this->now));
    this->SetAlive(process, false);
  }
  auto View() const -> ClaimView {
    return {this->resources, this->claims, this->processes};
  }
  auto Load(std::size_t process) const -> std::size_t {
    std::size_t load = 0;
    for (const auto& [resource, ownership] : this->claims.All()) {
      load += ownership.owner == this->processes[process].id ? 1U : 0U;
    }
    return load;
  }
  auto OwnedByAlive() const -> std::size_t {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->alive.size(); ++i) {
      count += this->alive[i] ? this->Load(i) : 0U;
    }
    return count;
  }
  /// Returns the difference between the highest and the lowest load.
  auto LoadSpread() const -> std::size_t {
    std::set<std::size_t> loads;
    for (std::size_t i = 0; i < this->alive.size(); ++i) {
      if (this->alive[i]) {
        loads.insert(this->Load(i));
      }
    }
    return *loads.rbegin() - *loads.begin();
  }

  std::size_t appended_claims = 0;
  std::size_t appended_releases = 0;

 private:
  struct PendingAppend {
    TimePoint visible_at;
    ProcessId process;
    ClaimDecision::Step step;
    bool is_claim;
  };

  auto Append(std::size_t process, const ClaimDecision& decision) -> void {
    const auto& id = this->processes[process].id;
    for (const auto& step : decision.claims) {
      this->appends.push_back({this->now + kAppendDelay, id, step, true});
      ++this->appended_claims;
    }
    for (const auto& step : decision.releases) {
      this->appends.push_back({this->now + kAppendDelay, id, step, false});
      ++this->appended_releases;
    }
  }
  auto DeliverAppends() -> void {
    while (!this->appends.empty() &&
           this->appends.front().visible_at <= this->now) {
      const auto append = this->appends.front();
      this->appends.pop_front();
      ++this->offset;
      if (append.is_claim) {
        this->claims.Apply(
            journal::Claim{
                append.step.resource, append.process, append.step.epoch, {}},
            this->offset, {});
      } else {
        this->claims.Apply(journal::Release{append.step.resource,
                                            append.process, append.step.epoch},
                           this->offset);
      }
    }
  }

  TimePoint now{std::chrono::hours(1)};
  Offset offset = 0;
  std::vector<bool> alive;
  std::vector<ResourceId> resources;
  std::vector<Process> processes;
  std::vector<ClaimPlanner> planners;
  journal::ClaimTable claims;
  std::deque<PendingAppend> appends;
};

struct FixedSeed {
  FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=150", 1); }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

// Guards against a claim from each of six processes where one suffices, and
// against a resource that remains without an owner.
BOOST_AUTO_TEST_CASE(OneClaimAfterAFailure) {
  ClaimSimulation simulation(6, 1, ClaimPlanner::Balance::kKeep);
  simulation.Run(milliseconds(1000));
  BOOST_TEST(simulation.OwnedByAlive() == 1U);
  BOOST_TEST(simulation.appended_claims == 1U);
  for (std::size_t i = 0; i < 6; ++i) {
    if (simulation.Load(i) == 1) {
      simulation.SetAlive(i, false);
      break;
    }
  }
  simulation.Run(milliseconds(1000));
  BOOST_TEST(simulation.OwnedByAlive() == 1U);
  BOOST_TEST(simulation.appended_claims == 2U);
  simulation.Run(std::chrono::minutes(5), kLongTick);
  BOOST_TEST(simulation.appended_releases == 0U);
}

// Guards against hand-overs at each short suspicion, and against a planned stop
// after which groups are claimed only once their previous owner is suspected.
BOOST_AUTO_TEST_CASE(HandOverAndStop) {
  ClaimSimulation simulation(2, 4, ClaimPlanner::Balance::kEven);
  simulation.SetAlive(1, false);
  simulation.Run(milliseconds(1000));
  BOOST_TEST(simulation.Load(0) == 4U);
  simulation.SetAlive(1, true);
  simulation.Run(ClaimPlanner::kStabilisationTime - kTick);
  BOOST_TEST(simulation.appended_releases == 0U);
  simulation.Run(milliseconds(1000));
  BOOST_TEST(simulation.appended_releases == 1U);
  BOOST_TEST(simulation.Load(1) == 1U);
  simulation.Stop(0);
  simulation.Run(milliseconds(250));
  BOOST_TEST(simulation.appended_releases == 4U);
  BOOST_TEST(simulation.Load(1) == 4U);
}

// Guards against an owner that is not a known process, such as one of an
// earlier start, and is never replaced.
BOOST_AUTO_TEST_CASE(UnknownOwner) {
  journal::ClaimTable claims;
  const std::vector<ResourceId> resources{ResourceId("shard-0")};
  claims.Apply(journal::Claim{resources[0], ProcessId("old"), 0, {}}, 7, {});
  const std::vector<Process> processes{{ProcessId("a"), false}};
  const ClaimView view{resources, claims, processes};
  ClaimPlanner planner(ProcessId("a"), ClaimPlanner::Balance::kKeep);
  const TimePoint start(std::chrono::hours(1));
  BOOST_TEST(planner.Plan(view, start).claims.empty());
  const auto late = start + ClaimPlanner::kUnknownOwnerDelay;
  const auto decision = planner.Plan(view, late);
  BOOST_TEST_REQUIRE(decision.claims.size() == 1U);
  BOOST_TEST(decision.claims[0].epoch == 7U);
  BOOST_TEST(planner.Plan(view, late + kTick).claims.empty());
  BOOST_TEST(
      planner.Plan(view, late + ClaimPlanner::kRetryAfter).claims.size() == 1U);
}

// Guards against resources that are never claimed, loads that stay uneven, and
// hand-overs that never end, after any history of failures, stops and returns.
BOOST_AUTO_TEST_CASE(ConvergesToEvenLoads) {
  BOOST_TEST(rc::check("every history of failures converges", [] {
    const auto processes = *rc::gen::inRange<std::size_t>(2, 7);
    const auto groups = *rc::gen::inRange<std::size_t>(1, 13);
    ClaimSimulation simulation(processes, groups, ClaimPlanner::Balance::kEven);
    const auto events = *rc::gen::inRange(0, 8);
    for (int i = 0; i < events; ++i) {
      simulation.Run(milliseconds(*rc::gen::inRange(0, 10'000)));
      const auto process = *rc::gen::inRange<std::size_t>(0, processes);
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          simulation.SetAlive(process, false);
          break;
        case 1:
          simulation.SetAlive(process, true);
          break;
        default:
          simulation.Stop(process);
      }
    }
    simulation.SetAlive(0, true);
    simulation.Run(milliseconds(5000));
    RC_ASSERT(simulation.OwnedByAlive() == groups);
    // At most one hand-over per stabilisation time until the loads are even.
    simulation.Run(ClaimPlanner::kStabilisationTime * 26, kLongTick);
    RC_ASSERT(simulation.OwnedByAlive() == groups);
    RC_ASSERT(simulation.LoadSpread() <= 1U);
    const auto claims = simulation.appended_claims;
    const auto releases = simulation.appended_releases;
    simulation.Run(ClaimPlanner::kStabilisationTime * 5, kLongTick);
    RC_ASSERT(simulation.appended_claims == claims);
    RC_ASSERT(simulation.appended_releases == releases);
  }));
}

}  // namespace
}  // namespace shallotbank::ownership
