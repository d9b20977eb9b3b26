#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "routing/minion_router.h"

namespace shallotbank::routing {

inline constexpr auto kFarFuture = std::chrono::hours(10);

inline auto Ms(int count) -> Duration {
  return std::chrono::milliseconds(count);
}

/// The first action of type `T`, or null.
template <typename T>
auto FindAction(const Actions& actions) -> const T* {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

inline auto MakeMinion(int number, int slots, const std::string& domain = "a")
    -> Minion {
  return Minion{.id = MinionId("m" + std::to_string(number)),
                .service = ServiceName("oficina"),
                .domain = FailureDomain(domain),
                .group = ResourceId("g"),
                .slots = slots,
                .connections = slots + 4};
}

/// A router with a manual clock, one service and one group.
struct RouterFixture {
  explicit RouterFixture(const std::vector<Minion>& list,
                         const RouterPolicy& policy = {})
      : minions(list), router(policy, &this->metrics) {
    this->router.UpdateMinions(this->minions, this->clock.Now());
    this->SetAuthority(kFarFuture);
  }

  auto SetAuthority(Duration span) -> Actions {
    return this->router.SetGroup(
        MinionGroup{.id = ResourceId("g"),
                    .authority_until = this->clock.Now() + span},
        this->clock.Now());
  }

  auto MakeRequest(Duration span = std::chrono::seconds(1)) -> Request {
    return Request{.id = RequestId("r" + std::to_string(this->next_request++)),
                   .service = ServiceName("oficina"),
                   .team = TeamId("t"),
                   .idempotent = true,
                   .deadline = this->clock.Now() + span,
                   .domain = FailureDomain("a")};
  }

  auto Submit(const Request& request) -> Actions {
    return this->router.Submit(request, this->clock.Now());
  }
  auto Complete(AttemptId attempt, const Outcome& outcome) -> Actions {
    return this->router.Complete(attempt, outcome, this->clock.Now());
  }
  auto Expire() -> Actions { return this->router.Expire(this->clock.Now()); }

  ManualClock clock;
  Metrics metrics;
  std::vector<Minion> minions;
  MinionRouter router;
  int next_request = 0;
};

inline auto SuccessfulOutcome(Duration latency = Ms(10)) -> Outcome {
  return Outcome{.verdict = Verdict::kRan, .status = 200, .latency = latency};
}

}  // namespace shallotbank::routing
