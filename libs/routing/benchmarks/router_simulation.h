#pragma once

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "router_fixture.h"

namespace shallotbank::routing {

/// The conditions of a `RouterSimulation`.
struct RouterScenario {
  RouterPolicy policy{};
  int minions = 50;
  int slots = 8;
  double load = 0.6;
  double service_ms = 50;
  double failure = 0;        ///< Fraction of answers with status 500.
  int slow_minion = -1;      ///< This one needs ten times as long.
  int deadline_from = 5000;  ///< Milliseconds.
  int deadline_to = 5000;
  int requests = 100000;
  std::uint64_t seed = 1;
};

/// A router in simulated time, with random arrivals and exponential service
/// times at its minions. One object makes one run.
class RouterSimulation {
 public:
  explicit RouterSimulation(const RouterScenario& scenario)
      : scenario(scenario), random(scenario.seed) {}

  struct Result {
    int dispatches = 0;
    int met = 0;  ///< Good answers before the deadline.
    int refused_at_once = 0;
    int refused_in_vain = 0;   ///< It would have met its deadline.
    int admitted_in_vain = 0;  ///< It missed its deadline.
    int ejections = 0;
    std::vector<double> latencies;  ///< Milliseconds, of good answers.
  };

  auto Run() -> Result;

 private:
  struct Waiting {
    TimePoint submitted;
    TimePoint deadline;
    Duration service;
    bool queued = false;
  };
  using End = std::tuple<TimePoint, AttemptId, std::string, Duration, bool>;

  auto Random() -> double {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  auto Follow(RouterFixture& fixture, const Actions& actions) -> void {
    for (const auto& action : actions) {
      if (const auto* sent = std::get_if<Dispatch>(&action)) {
        this->Start(fixture, *sent);
      } else if (const auto* queue = std::get_if<Queue>(&action)) {
        this->waiting.at(queue->request.Text()).queued = true;
      } else if (const auto* answer = std::get_if<Answer>(&action)) {
        this->Finish(fixture, answer->request.Text());
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        this->Refused(*refuse);
      } else if (std::holds_alternative<Eject>(action)) {
        this->result.ejections++;
      }
    }
  }

  auto Start(RouterFixture& fixture, const Dispatch& sent) -> void {
    auto& request = this->waiting.at(sent.request.Text());
    const auto now = fixture.clock.Now();
    this->EndShadows(now, request.queued ? request.deadline : TimePoint::max());
    this->result.dispatches++;
    const bool slow =
        this->scenario.slow_minion >= 0 &&
        sent.minion.Text() == "m" + std::to_string(this->scenario.slow_minion);
    const auto service = request.service * (slow ? 10 : 1);
    this->ends.emplace(now + service, sent.attempt, sent.request.Text(),
                       service, this->Random() < this->scenario.failure);
  }

  /// A refused request would have been given the slot that a request with a
  /// later deadline gets now.
  auto EndShadows(TimePoint now, TimePoint deadline) -> void {
    std::erase_if(this->shadows, [&](const Waiting& shadow) {
      if (shadow.deadline >= deadline) {
        return shadow.deadline <= now;
      }
      this->result.refused_in_vain +=
          now + shadow.service <= shadow.deadline ? 1 : 0;
      return true;
    });
  }

  auto Finish(RouterFixture& fixture, const std::string& id) -> void {
    const auto& request = this->waiting.at(id);
    const auto latency = fixture.clock.Now() - request.submitted;
    if (!this->failed) {
      this->result.met++;
      this->result.latencies.push_back(
          std::chrono::duration<double, std::milli>(latency).count());
    }
    this->waiting.erase(id);
  }

  auto Refused(const Refuse& refuse) -> void {
    const auto found = this->waiting.find(refuse.request.Text());
    const bool at_once = this->submitting == refuse.request.Text();
    this->result.refused_at_once += at_once ? 1 : 0;
    if (at_once) {
      this->shadows.push_back(found->second);
    } else {
      this->result.admitted_in_vain++;
    }
    this->waiting.erase(found);
  }

  auto Submit(RouterFixture& fixture) -> void {
    std::exponential_distribution<double> work(1 / this->scenario.service_ms);
    std::uniform_int_distribution<int> span(this->scenario.deadline_from,
                                            this->scenario.deadline_to);
    const auto request = fixture.MakeRequest(Ms(span(this->random)));
    const auto service = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(work(this->random)));
    this->submitting = request.id.Text();
    this->waiting[this->submitting] = Waiting{.submitted = fixture.clock.Now(),
                                              .deadline = request.deadline,
                                              .service = service};
    this->Follow(fixture, fixture.Submit(request));
    this->submitting.clear();
  }

  RouterScenario scenario;
  std::mt19937_64 random;
  std::unordered_map<std::string, Waiting> waiting;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::vector<Waiting> shadows;
  std::string submitting;
  bool failed = false;
  Result result;
};

inline auto RouterSimulation::Run() -> Result {
  std::vector<Minion> list;
  for (int k = 0; k < this->scenario.minions; ++k) {
    list.push_back(MakeMinion(k, this->scenario.slots));
  }
  RouterFixture fixture(list, this->scenario.policy);
  std::exponential_distribution<double> gap(
      this->scenario.load * this->scenario.minions * this->scenario.slots /
      this->scenario.service_ms);
  auto arrival = fixture.clock.Now();
  auto tick = fixture.clock.Now();
  int left = this->scenario.requests;
  while (left > 0 || !this->waiting.empty()) {
    const auto end =
        this->ends.empty() ? TimePoint::max() : std::get<0>(this->ends.top());
    const auto next_arrival = left > 0 ? arrival : TimePoint::max();
    const auto next = std::min({end, next_arrival, tick});
    fixture.clock.Advance(next - fixture.clock.Now());
    if (next == end) {
      const auto [time, attempt, id, service, bad] = this->ends.top();
      this->ends.pop();
      this->failed = bad;
      this->Follow(fixture,
                   fixture.Complete(attempt, Outcome{.verdict = Verdict::kRan,
                                                     .status = bad ? 500 : 200,
                                                     .latency = service}));
    } else if (next == next_arrival) {
      this->Submit(fixture);
      left--;
      arrival += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(gap(this->random)));
    } else {
      this->Follow(fixture, fixture.Expire());
      tick += Ms(10);
    }
  }
  return this->result;
}

}  // namespace shallotbank::routing
