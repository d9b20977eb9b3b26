#include <cstdlib>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "naive_router.h"
#include "router_fixture.h"

namespace shallotbank::routing {
namespace {

/// Fixes the seed and sets the number of histories of each property.
struct RapidCheckSettings {
  RapidCheckSettings() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1500 max_size=100", 1);
  }
};

BOOST_TEST_GLOBAL_FIXTURE(RapidCheckSettings);

auto Pick(int from, int to) -> int {
  return *rc::gen::inRange(from, to);
}

auto RandomOutcome() -> Outcome {
  const auto latency = Ms(Pick(1, 60));
  switch (Pick(0, 8)) {
    case 0:
      return Outcome{.verdict = Verdict::kNotRun, .latency = latency};
    case 1:
      return Outcome{.verdict = Verdict::kMayHaveRun, .latency = latency};
    case 2:
      return Outcome{
          .verdict = Verdict::kMayHaveRun, .latency = latency, .ended = true};
    case 3:
      return Outcome{
          .verdict = Verdict::kRan, .status = 503, .latency = latency};
    case 4:
      return Outcome{.verdict = Verdict::kRan,
                     .status = 200,
                     .latency = latency,
                     .truncated = true};
    case 5:
      return Outcome{.verdict = Verdict::kNotRun, .not_sent = true};
    default:
      return Good(latency);
  }
}

/// A router and the naive version on the same random history.
struct History {
  explicit History(bool admission)
      : policy(MakePolicy(admission)),
        router(this->policy),
        naive(this->policy) {
    const int count = Pick(1, 7);
    for (int k = 0; k < count; ++k) {
      auto minion = MakeMinion(k, Pick(1, 4), k % 2 == 0 ? "a" : "b");
      minion.connections = Pick(1, 5);
      this->naive.minions.push_back(minion);
    }
    this->UpdateMinions();
    this->SetGroup(kFarFuture);
  }

  static auto MakePolicy(bool admission) -> RouterPolicy {
    RouterPolicy policy;
    policy.longest_deadline = std::chrono::seconds(3);
    policy.queue_limit = 5;
    policy.admission = admission;
    policy.retry_floor = 2;
    policy.ejection_samples = 2;
    policy.ejection_interval = Ms(20);
    policy.first_probe = Ms(50);
    policy.probe_patience = Ms(50);
    return policy;
  }

  auto Follow(const Actions& actions) -> void {
    this->naive.Follow(actions, this->now);
  }

  auto UpdateMinions() -> void {
    // An ejected minion that leaves is no longer counted as ejected.
    std::erase_if(this->naive.ejected, [&](const std::string& id) {
      return std::any_of(this->naive.minions.begin(), this->naive.minions.end(),
                         [&](const Minion& minion) {
                           return minion.id.Text() == id &&
                                  minion.state == MinionState::kLeaving;
                         });
    });
    this->Follow(this->router.UpdateMinions(this->naive.minions, this->now));
  }

  auto SetGroup(Duration span) -> void {
    this->naive.group =
        MinionGroup{.id = ResourceId("g"),
                    .authority_until = this->now + span,
                    .reserved_slots = Pick(0, 2),
                    .reserved_connections = Pick(0, 2),
                    .reserved_until = this->now + Ms(Pick(0, 300))};
    this->Follow(this->router.SetGroup(this->naive.group, this->now));
  }

  auto Submit() -> void {
    const Request request{
        .id = RequestId("r" + std::to_string(this->naive.requests.size())),
        .service = ServiceName("oficina"),
        .team = TeamId("t" + std::to_string(Pick(0, 3))),
        .urgent = Pick(0, 4) == 0,
        .idempotent = Pick(0, 3) > 0,
        .forwarded = Pick(0, 4) == 0,
        .deadline = this->now + Ms(Pick(20, 1000)),
        .domain = FailureDomain(Pick(0, 2) == 0 ? "a" : "b")};
    this->naive.Submitted(request);
    this->Follow(this->router.Submit(request, this->now));
  }

  auto Complete() -> void {
    // Deadlines also pass between two calls of `Expire`.
    this->now += Ms(Pick(0, 40));
    std::vector<AttemptId> open;
    for (const auto& attempt : this->naive.attempts) {
      if (attempt.open) {
        open.push_back(attempt.id);
      }
    }
    if (open.empty()) {
      return;
    }
    const auto id =
        open[static_cast<std::size_t>(Pick(0, static_cast<int>(open.size())))];
    const auto outcome = RandomOutcome();
    // A peer that refused has no room until its next message.
    if (this->naive.FindAttempt(id).minion.empty() &&
        this->naive.FindAttempt(id).current &&
        outcome.verdict == Verdict::kNotRun) {
      this->naive.peer_room = 0;
    }
    this->naive.Completing(id, outcome);
    this->Follow(this->router.Complete(id, outcome, this->now));
    this->naive.CheckNothingIdle(this->now);
  }

  auto Abandon() -> void {
    const auto id =
        "r" + std::to_string(
                  Pick(0, 1 + static_cast<int>(this->naive.requests.size())));
    const auto found = this->naive.requests.find(id);
    const bool in_progress = found != this->naive.requests.end() &&
                             !found->second.ended && !found->second.abandoned;
    if (in_progress) {
      this->naive.Abandoned(id);
    }
    RC_ASSERT(this->router.Abandon(RequestId(id)) == in_progress);
  }

  auto Expire() -> void {
    this->now += Ms(Pick(0, 2) == 0 ? Pick(0, 30) : Pick(0, 1200));
    this->naive.Expiring(this->now);
    this->Follow(this->router.Expire(this->now));
    this->naive.CheckNothingIdle(this->now);
  }

  auto ChangeMinion() -> void {
    auto& minion = this->naive.minions[static_cast<std::size_t>(
        Pick(0, static_cast<int>(this->naive.minions.size())))];
    minion.state = Pick(0, 3) == 0 ? MinionState::kLeaving : MinionState::kLive;
    minion.slots = Pick(1, 4);
    this->UpdateMinions();
  }

  auto UpdatePeer() -> void {
    const int free = Pick(0, 3);
    const int queue = Pick(0, 2);
    this->naive.peer_room = free + queue;
    this->Follow(this->router.UpdatePeer(
        PeerRoom{.peer = ProcessId("p"),
                 .domain = FailureDomain("a"),
                 .services = {{ServiceName("oficina"), free, queue}}},
        this->now));
  }

  auto Step() -> void {
    const int kind = Pick(0, 24);
    if (kind < 10) {
      this->Submit();
    } else if (kind < 18) {
      this->Complete();
    } else if (kind < 20) {
      this->Expire();
    } else if (kind == 20) {
      this->Abandon();
    } else if (kind == 21) {
      this->ChangeMinion();
    } else if (kind == 22) {
      this->SetGroup(Pick(0, 2) == 0 ? Ms(Pick(0, 500)) : kFarFuture);
    } else {
      this->UpdatePeer();
    }
    this->naive.CheckCounts(this->router);
  }

  /// Everything ends once the longest deadline has passed.
  auto Finish() -> void {
    this->now += this->policy.longest_deadline * 2;
    this->naive.Expiring(this->now);
    this->Follow(this->router.Expire(this->now));
    RC_ASSERT(this->router.InProgress() == 0U);
    this->naive.CheckCounts(this->router);
  }

  TimePoint now{std::chrono::hours(1)};
  RouterPolicy policy;
  MinionRouter router;
  NaiveRouter naive;
};

// Guards against an overloaded minion, a lost or doubled request, a second run
// of a non-idempotent request, a spent retry budget, a false "not run", and an
// order of the queue that differs from a full scan.
BOOST_AUTO_TEST_CASE(AgreesWithTheNaiveVersion) {
  std::size_t dispatched = 0;
  std::size_t retried = 0;
  const bool ok = rc::check([&](bool admission) {
    History history(admission);
    for (int step = 0; step < 80; ++step) {
      history.Step();
    }
    history.Finish();
    for (const auto& [id, known] : history.naive.requests) {
      RC_ASSERT(known.ended);
      dispatched += known.dispatches > 0 ? 1U : 0U;
      retried += known.dispatches > 1 ? 1U : 0U;
    }
  });
  BOOST_TEST(ok);
  // The histories must contain what the property is about.
  BOOST_TEST(dispatched > 10000U);
  BOOST_TEST(retried > 500U);
}

}  // namespace
}  // namespace shallotbank::routing
