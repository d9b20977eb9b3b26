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

/// Parameters of a `RouterSimulation`.
struct RouterScenario {
  RouterPolicy policy{};
  int minions = 50;
  int slots = 8;
  double load = 0.6;
  double service_ms = 50;
  double failure_rate = 0;   ///< Fraction of responses with status 500.
  int slow_minion = -1;      ///< Index of a minion ten times slower, or -1.
  int deadline_from = 5000;  ///< Milliseconds.
  int deadline_to = 5000;
  int requests = 100000;
  std::uint64_t seed = 1;
};

/// Runs a router in simulated time, with random arrivals and exponential
/// service times at its minions. Each object performs one run.
class RouterSimulation {
 public:
  explicit RouterSimulation(const RouterScenario& scenario)
      : scenario(scenario), random(scenario.seed) {}

  struct Result {
    int dispatches = 0;
    int met_deadline = 0;  ///< Successful responses before the deadline.
    int refused_at_once = 0;
    int needless_refusals = 0;  ///< Refused requests that would have met it.
    int missed_after_admission = 0;  ///< Refused after admission.
    int ejections = 0;
    std::vector<double> latencies;  ///< Milliseconds, of successful responses.
  };

  auto Run() -> Result;

 private:
  struct SubmittedRequest {
    TimePoint submitted;
    TimePoint deadline;
    Duration service;
    bool queued = false;
  };
  using Completion =
      std::tuple<TimePoint, AttemptId, std::string, Duration, bool>;

  auto Random() -> double {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  auto Apply(RouterFixture& fixture, const Actions& actions) -> void {
    for (const auto& action : actions) {
      if (const auto* sent = std::get_if<Dispatch>(&action)) {
        this->OnDispatch(fixture, *sent);
      } else if (const auto* queue = std::get_if<Queue>(&action)) {
        this->waiting.at(queue->request.Text()).queued = true;
      } else if (const auto* answer = std::get_if<Answer>(&action)) {
        this->OnAnswer(fixture, answer->request.Text());
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        this->OnRefuse(*refuse);
      } else if (std::holds_alternative<Eject>(action)) {
        this->result.ejections++;
      }
    }
  }

  auto OnDispatch(RouterFixture& fixture, const Dispatch& sent) -> void {
    auto& request = this->waiting.at(sent.request.Text());
    const auto now = fixture.clock.Now();
    this->CountNeedlessRefusals(
        now, request.queued ? request.deadline : TimePoint::max());
    this->result.dispatches++;
    const bool slow =
        this->scenario.slow_minion >= 0 &&
        sent.minion.Text() == "m" + std::to_string(this->scenario.slow_minion);
    const auto service = request.service * (slow ? 10 : 1);
    this->completions.emplace(now + service, sent.attempt, sent.request.Text(),
                              service,
                              this->Random() < this->scenario.failure_rate);
  }

  /// Counts refused requests that would have completed in time: each would have
  /// received the slot that a request with a later deadline receives now.
  auto CountNeedlessRefusals(TimePoint now, TimePoint deadline) -> void {
    std::erase_if(
        this->refused_requests, [&](const SubmittedRequest& refused_request) {
          if (refused_request.deadline >= deadline) {
            return refused_request.deadline <= now;
          }
          this->result.needless_refusals +=
              now + refused_request.service <= refused_request.deadline ? 1 : 0;
          return true;
        });
  }

  auto OnAnswer(RouterFixture& fixture, const std::string& id) -> void {
    const auto& request = this->waiting.at(id);
    const auto latency = fixture.clock.Now() - request.submitted;
    if (!this->failed) {
      this->result.met_deadline++;
      this->result.latencies.push_back(
          std::chrono::duration<double, std::milli>(latency).count());
    }
    this->waiting.erase(id);
  }

  auto OnRefuse(const Refuse& refuse) -> void {
    const auto found = this->waiting.find(refuse.request.Text());
    const bool at_once = this->submitting == refuse.request.Text();
    this->result.refused_at_once += at_once ? 1 : 0;
    if (at_once) {
      this->refused_requests.push_back(found->second);
    } else {
      this->result.missed_after_admission++;
    }
    this->waiting.erase(found);
  }

  auto Submit(RouterFixture& fixture) -> void {
    std::exponential_distribution<double> service_time(
        1 / this->scenario.service_ms);
    std::uniform_int_distribution<int> span(this->scenario.deadline_from,
                                            this->scenario.deadline_to);
    const auto request = fixture.MakeRequest(Ms(span(this->random)));
    const auto service = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(service_time(this->random)));
    this->submitting = request.id.Text();
    this->waiting[this->submitting] =
        SubmittedRequest{.submitted = fixture.clock.Now(),
                         .deadline = request.deadline,
                         .service = service};
    this->Apply(fixture, fixture.Submit(request));
    this->submitting.clear();
  }

  RouterScenario scenario;
  std::mt19937_64 random;
  std::unordered_map<std::string, SubmittedRequest> waiting;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
  std::vector<SubmittedRequest> refused_requests;
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
  std::exponential_distribution<double> interarrival_time(
      this->scenario.load * this->scenario.minions * this->scenario.slots /
      this->scenario.service_ms);
  auto arrival = fixture.clock.Now();
  auto next_expiry = fixture.clock.Now();
  int remaining = this->scenario.requests;
  while (remaining > 0 || !this->waiting.empty()) {
    const auto next_completion = this->completions.empty()
                                     ? TimePoint::max()
                                     : std::get<0>(this->completions.top());
    const auto next_arrival = remaining > 0 ? arrival : TimePoint::max();
    const auto next = std::min({next_completion, next_arrival, next_expiry});
    fixture.clock.Advance(next - fixture.clock.Now());
    if (next == next_completion) {
      const auto [time, attempt, id, service, fails] = this->completions.top();
      this->completions.pop();
      this->failed = fails;
      this->Apply(fixture,
                  fixture.Complete(attempt, Outcome{.verdict = Verdict::kRan,
                                                    .status = fails ? 500 : 200,
                                                    .latency = service}));
    } else if (next == next_arrival) {
      this->Submit(fixture);
      remaining--;
      arrival += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(
              interarrival_time(this->random)));
    } else {
      this->Apply(fixture, fixture.Expire());
      next_expiry += Ms(10);
    }
  }
  return this->result;
}

}  // namespace shallotbank::routing
