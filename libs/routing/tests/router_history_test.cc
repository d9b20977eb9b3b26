#include <cstdlib>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "reference_router.h"
#include "router_fixture.h"

namespace shallotbank::routing {
namespace {

/// Fixes the seed and sets the number of histories per property.
struct RapidCheckSettings {
  RapidCheckSettings() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1500 max_size=100", 1);
  }
};

BOOST_TEST_GLOBAL_FIXTURE(RapidCheckSettings);

auto RandomInt(int from, int to) -> int {
  return *rc::gen::inRange(from, to);
}

auto RandomOutcome() -> Outcome {
  const auto latency = Ms(RandomInt(1, 60));
  switch (RandomInt(0, 8)) {
    case 0:
      return Outcome{.verdict = Verdict::kNotRun, .latency = latency};
    case 1:
      return Outcome{.verdict = Verdict::kMayHaveRun, .latency = latency};
    case 2:
      return Outcome{.verdict = Verdict::kMayHaveRun,
                     .latency = latency,
                     .minion_finished = true};
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
      return SuccessfulOutcome(latency);
  }
}

/// Runs a router and the reference implementation on one random history.
struct History {
  explicit History(bool admission)
      : policy(MakePolicy(admission)),
        router(this->policy),
        reference(this->policy) {
    const int count = RandomInt(1, 7);
    for (int k = 0; k < count; ++k) {
      auto minion = MakeMinion(k, RandomInt(1, 4), k % 2 == 0 ? "a" : "b");
      minion.connections = RandomInt(1, 5);
      this->reference.minions.push_back(minion);
    }
    this->UpdateMinions();
    this->SetGroup(kFarFuture);
  }

  static auto MakePolicy(bool admission) -> RouterPolicy {
    RouterPolicy policy;
    policy.max_deadline = std::chrono::seconds(3);
    policy.queue_limit = 5;
    policy.admission_control = admission;
    policy.min_retries_per_window = 2;
    policy.min_ejection_samples = 2;
    policy.ejection_interval = Ms(20);
    policy.initial_probe_delay = Ms(50);
    policy.any_request_probe_delay = Ms(50);
    return policy;
  }

  auto Apply(const Actions& actions) -> void {
    this->reference.Apply(actions, this->now);
  }

  auto UpdateMinions() -> void {
    // An ejected minion that leaves no longer counts as ejected.
    std::erase_if(this->reference.ejected, [&](const std::string& id) {
      return std::any_of(this->reference.minions.begin(),
                         this->reference.minions.end(),
                         [&](const Minion& minion) {
                           return minion.id.Text() == id &&
                                  minion.state == MinionState::kLeaving;
                         });
    });
    this->Apply(this->router.UpdateMinions(this->reference.minions, this->now));
  }

  auto SetGroup(Duration span) -> void {
    this->reference.group =
        MinionGroup{.id = ResourceId("g"),
                    .authority_until = this->now + span,
                    .reserved_slots = RandomInt(0, 2),
                    .reserved_connections = RandomInt(0, 2),
                    .reserved_until = this->now + Ms(RandomInt(0, 300))};
    this->Apply(this->router.SetGroup(this->reference.group, this->now));
  }

  auto Submit() -> void {
    const Request request{
        .id = RequestId("r" + std::to_string(this->reference.requests.size())),
        .service = ServiceName("oficina"),
        .team = TeamId("t" + std::to_string(RandomInt(0, 3))),
        .urgent = RandomInt(0, 4) == 0,
        .idempotent = RandomInt(0, 3) > 0,
        .forwarded = RandomInt(0, 4) == 0,
        .deadline = this->now + Ms(RandomInt(20, 1000)),
        .domain = FailureDomain(RandomInt(0, 2) == 0 ? "a" : "b")};
    this->reference.BeforeSubmit(request);
    this->Apply(this->router.Submit(request, this->now));
  }

  auto Complete() -> void {
    // Deadlines may also pass between two calls of `Expire`.
    this->now += Ms(RandomInt(0, 40));
    std::vector<AttemptId> open_attempts;
    for (const auto& attempt : this->reference.attempts) {
      if (attempt.holds_slot) {
        open_attempts.push_back(attempt.id);
      }
    }
    if (open_attempts.empty()) {
      return;
    }
    const auto id = open_attempts[static_cast<std::size_t>(
        RandomInt(0, static_cast<int>(open_attempts.size())))];
    const auto outcome = RandomOutcome();
    // A peer that refused a request counts as full until its next message.
    if (this->reference.FindAttempt(id).minion.empty() &&
        this->reference.FindAttempt(id).awaited &&
        outcome.verdict == Verdict::kNotRun) {
      this->reference.peer_capacity = 0;
    }
    this->reference.BeforeComplete(id, outcome);
    this->Apply(this->router.Complete(id, outcome, this->now));
    this->reference.CheckNoDispatchableWaits(this->now);
  }

  auto Abandon() -> void {
    const auto id =
        "r" + std::to_string(RandomInt(
                  0, 1 + static_cast<int>(this->reference.requests.size())));
    const auto found = this->reference.requests.find(id);
    const bool in_progress = found != this->reference.requests.end() &&
                             !found->second.ended && !found->second.abandoned;
    if (in_progress) {
      this->reference.BeforeAbandon(id);
    }
    RC_ASSERT(this->router.Abandon(RequestId(id)) == in_progress);
  }

  auto Expire() -> void {
    this->now +=
        Ms(RandomInt(0, 2) == 0 ? RandomInt(0, 30) : RandomInt(0, 1200));
    this->reference.BeforeExpire(this->now);
    this->Apply(this->router.Expire(this->now));
    this->reference.CheckNoDispatchableWaits(this->now);
  }

  auto ChangeMinion() -> void {
    auto& minion = this->reference.minions[static_cast<std::size_t>(
        RandomInt(0, static_cast<int>(this->reference.minions.size())))];
    minion.state =
        RandomInt(0, 3) == 0 ? MinionState::kLeaving : MinionState::kLive;
    minion.slots = RandomInt(1, 4);
    this->UpdateMinions();
  }

  auto UpdatePeer() -> void {
    const int free = RandomInt(0, 3);
    const int queue = RandomInt(0, 2);
    this->reference.peer_capacity = free + queue;
    this->Apply(this->router.UpdatePeer(
        PeerCapacity{.peer = ProcessId("p"),
                     .domain = FailureDomain("a"),
                     .services = {{ServiceName("oficina"), free, queue}}},
        this->now));
  }

  auto Step() -> void {
    const int kind = RandomInt(0, 24);
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
      this->SetGroup(RandomInt(0, 2) == 0 ? Ms(RandomInt(0, 500)) : kFarFuture);
    } else {
      this->UpdatePeer();
    }
    this->reference.CheckCounts(this->router);
  }

  /// All requests complete once the maximum deadline has passed.
  auto Finish() -> void {
    this->now += this->policy.max_deadline * 2;
    this->reference.BeforeExpire(this->now);
    this->Apply(this->router.Expire(this->now));
    RC_ASSERT(this->router.InProgress() == 0U);
    this->reference.CheckCounts(this->router);
  }

  TimePoint now{std::chrono::hours(1)};
  RouterPolicy policy;
  MinionRouter router;
  ReferenceRouter reference;
};

// Guards against an overloaded minion, a lost or duplicated request, a second
// run of a non-idempotent request, an exceeded retry budget, a wrong verdict
// "not run", and a queue order that differs from that of a full scan.
BOOST_AUTO_TEST_CASE(MatchesReferenceRouter) {
  std::size_t dispatched = 0;
  std::size_t retried = 0;
  const bool ok = rc::check([&](bool admission) {
    History history(admission);
    for (int step = 0; step < 80; ++step) {
      history.Step();
    }
    history.Finish();
    for (const auto& [id, tracked] : history.reference.requests) {
      RC_ASSERT(tracked.ended);
      dispatched += tracked.dispatches > 0 ? 1U : 0U;
      retried += tracked.dispatches > 1 ? 1U : 0U;
    }
  });
  BOOST_TEST(ok);
  // The histories must cover dispatches and retries.
  BOOST_TEST(dispatched > 10000U);
  BOOST_TEST(retried > 500U);
}

}  // namespace
}  // namespace shallotbank::routing
