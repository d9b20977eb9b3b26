#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "check_property.h"
#include "queueing/fair_queue.h"
#include "reference_queue.h"

namespace shallotbank::queueing {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kTeams = 5;
constexpr Resources kCapacity{20'000, 40'000, 4};

// Derives random choices from the bits of one step.
class Choices {
 public:
  explicit Choices(std::uint32_t bits) : bits(bits) {}
  auto Below(std::uint32_t count) -> std::uint32_t {
    const auto choice = this->bits % count;
    this->bits /= count;
    return choice;
  }

 private:
  std::uint32_t bits;
};

// Applies the same history to both implementations and compares them after each
// step.
class Comparison {
 public:
  Comparison() { this->SetPolicy(this->MakePolicy(Choices(0))); }

  auto Step(std::uint32_t bits) -> void {
    Choices choices(bits);
    const auto kind = choices.Below(16);
    if (kind < 4) {
      this->Add(choices);
    } else if (kind < 10) {
      this->Decide(choices);
    } else if (kind < 12) {
      this->End(choices);
    } else if (kind == 12) {
      this->Cancel(choices);
    } else if (kind == 13) {
      this->ChangeLimits(choices);
    } else if (kind == 14) {
      this->now += std::chrono::seconds(choices.Below(40));
    } else {
      this->StartOutOfOrder(choices);
    }
    this->CheckReason(choices);
  }

  // Checks that no task is lost: without limits and with capacity for
  // everything, each task that was not cancelled or expired starts and ends
  // once.
  auto Drain() -> void {
    this->limits.assign(kTeams, kNoLimit);
    auto policy = this->MakePolicy(Choices(0));
    policy.capacity = Times(kCapacity, 1000);
    this->SetPolicy(policy);
    for (std::uint32_t team = 0; team < kTeams; ++team) {
      this->SetUnconfirmedUse(TeamOf(team), {});
    }
    while (const auto candidate = this->queue.Next(this->now)) {
      RC_ASSERT(this->queue.Started(candidate->job, this->now));
      this->CountStart(*candidate);
    }
    this->TakeExpired();
    RC_ASSERT(this->queue.WaitingJobs() == 0U);
    for (const auto& [id, run] : this->runs) {
      const bool was_removed = run.is_cancelled || run.is_expired;
      RC_ASSERT(was_removed || run.running + run.ended == run.tasks);
      RC_ASSERT(!run.is_expired || (run.running == 0 && !run.has_run));
    }
  }

 private:
  struct Run {
    TeamId team;
    Resources need;
    std::int64_t tasks = 0;
    std::int64_t running = 0;
    std::int64_t ended = 0;
    bool has_run = false;
    bool is_cancelled = false;
    bool is_expired = false;
  };

  static auto TeamOf(std::uint32_t number) -> TeamId {
    return TeamId("team" + std::to_string(number));
  }

  auto MakePolicy(Choices choices) const -> QueuePolicy {
    QueuePolicy policy;
    policy.capacity = kCapacity;
    policy.scoring.waiting_weight = choices.Below(3);
    policy.scoring.share_weight = 1 + choices.Below(2);
    policy.organisations = {{OrganisationId("a"), 1.0 + choices.Below(3), {}},
                            {OrganisationId("b"), 2, {}}};
    // Some policies omit a team or divide the teams differently between the
    // organisations.
    const auto absent = choices.Below(10);
    const auto border = 1 + choices.Below(3);
    for (std::uint32_t k = 0; k < kTeams; ++k) {
      if (absent != k + 1) {
        policy.organisations[k < border ? 0 : 1].teams.push_back(
            {TeamOf(k), 1.0 + (k + choices.Below(2)) % 3, this->limits[k]});
      }
    }
    return policy;
  }

  auto SetPolicy(const QueuePolicy& policy) -> void {
    RC_ASSERT(static_cast<bool>(this->queue.SetPolicy(policy)));
    this->reference.SetPolicy(policy);
    this->in_force = policy;
  }

  auto SetUnconfirmedUse(const TeamId& team, const Amount& amount) -> void {
    this->queue.SetUnconfirmedUse(team, amount);
    this->reference.SetUnconfirmedUse(team, amount);
    this->unconfirmed_use[team] = amount;
  }

  auto Add(Choices& choices) -> void {
    static const std::vector<Resources> kNeeds{{1000, 1000, 0},
                                               {2000, 500, 0},
                                               {4000, 8000, 0},
                                               {500, 9000, 1},
                                               {30'000, 100, 0}};
    QueuedJob job;
    job.id = JobId("job" + std::to_string(this->runs.size()));
    job.team = TeamOf(choices.Below(kTeams));
    job.profile = ProfileName("grind");
    job.need = kNeeds[choices.Below(5)];
    job.tasks = 1 + choices.Below(4);
    job.is_gang = choices.Below(4) == 0;
    job.is_urgent = choices.Below(4) == 0;
    job.placement_class = choices.Below(8) == 0 ? 1 : 0;
    job.submitted = this->now - std::chrono::seconds(choices.Below(3));
    if (choices.Below(6) == 0) {
      job.start_by = this->now + std::chrono::seconds(30);
    }
    RC_ASSERT(static_cast<bool>(this->queue.Add(job)));
    RC_ASSERT(!this->queue.Add(job));
    this->reference.Add(job);
    this->ids.push_back(job.id);
    this->runs[job.id] = {job.team, job.need, job.tasks};
  }

  auto Decide(Choices& choices) -> void {
    const auto candidate = this->queue.Next(this->now);
    const auto expected = this->reference.Next(this->now);
    this->TakeExpired();
    RC_ASSERT(candidate.has_value() == expected.has_value());
    if (!candidate) {
      return;
    }
    RC_ASSERT(candidate->job == expected->job);
    RC_ASSERT(candidate->shape == expected->shape);
    const auto amount = Times(candidate->shape.need, candidate->shape.tasks);
    const bool has_room = amount.FitsIn(kCapacity - this->used);
    if (has_room && choices.Below(6) != 0) {
      this->Start(*candidate);
      return;
    }
    const auto reason = !has_room ? BlockReason::kNoRoom
                        : choices.Below(2) == 0
                            ? BlockReason::kJobOnly
                            : BlockReason::kBehindReservation;
    this->queue.Blocked(candidate->job, reason);
    this->reference.Blocked(candidate->job, reason);
    // A pass does not offer a blocked shape again.
    const auto next = this->queue.Next(this->now);
    // RC_ASSERT evaluates both sides of ||.
    const bool is_repeated = next && next->job == candidate->job;
    RC_ASSERT(!is_repeated);
  }

  auto Start(const Candidate& candidate) -> void {
    const bool is_started = this->queue.Started(candidate.job, this->now);
    RC_ASSERT(is_started == this->reference.Started(candidate.job, this->now));
    RC_ASSERT(is_started);
    this->CountStart(candidate);
  }

  auto CountStart(const Candidate& candidate) -> void {
    auto& run = this->runs.at(candidate.job);
    run.running += candidate.shape.tasks;
    this->used += Times(run.need, candidate.shape.tasks);
    // No task starts twice, none after a cancellation, none above the limit.
    RC_ASSERT(run.running + run.ended <= run.tasks);
    RC_ASSERT(!run.is_cancelled && !run.is_expired);
    this->CheckLimit(run.team);
  }

  auto CheckLimit(const TeamId& team) -> void {
    Amount total = this->unconfirmed_use[team];
    for (const auto& [id, run] : this->runs) {
      if (run.team == team) {
        total += {Times(run.need, run.running), run.running};
      }
    }
    for (const auto& organisation : this->in_force.organisations) {
      for (const auto& entry : organisation.teams) {
        RC_ASSERT(entry.id != team || total.FitsIn(entry.limit));
      }
    }
  }

  auto End(Choices& choices) -> void {
    if (this->ids.empty()) {
      return;
    }
    static const std::vector<TaskEnd> kEnds{TaskEnd::kFinished,
                                            TaskEnd::kFailed, TaskEnd::kRetry,
                                            TaskEnd::kReturned};
    const auto end = kEnds[choices.Below(4)];
    const auto first = choices.Below(1000);
    for (std::size_t k = 0; k < this->ids.size(); ++k) {
      const auto& id = this->ids[(first + k) % this->ids.size()];
      auto& run = this->runs.at(id);
      if (run.running == 0) {
        continue;
      }
      RC_ASSERT(this->queue.Ended(id, end));
      RC_ASSERT(this->reference.Ended(id, end));
      run.running--;
      const bool is_over = end == TaskEnd::kFinished || end == TaskEnd::kFailed;
      run.ended += is_over ? 1 : 0;
      run.has_run = run.has_run || end != TaskEnd::kReturned;
      this->used -= run.need;
      return;
    }
  }

  auto Cancel(Choices& choices) -> void {
    const auto number = choices.Below(60);
    const JobId id("job" + std::to_string(number));
    const auto outcome = this->queue.Cancel(id);
    RC_ASSERT(outcome == this->reference.Cancel(id));
    RC_ASSERT(outcome == this->queue.Cancel(id));
    if (number < this->runs.size()) {
      auto& run = this->runs.at(id);
      run.is_cancelled = run.is_cancelled || run.ended < run.tasks;
      const bool has_run = run.has_run || run.running > 0;
      RC_ASSERT((outcome == CancelOutcome::kNotStarted) == !has_run);
    }
  }

  auto ChangeLimits(Choices& choices) -> void {
    const auto team = choices.Below(kTeams);
    const auto cores = 1000 * static_cast<std::int64_t>(choices.Below(16));
    const Amount limit{{cores, 4 * cores, 2}, 1 + choices.Below(8)};
    switch (choices.Below(4)) {
      case 0:
        this->SetUnconfirmedUse(TeamOf(team), {{cores / 4, 0, 0}, 1});
        break;
      case 1: {
        RC_ASSERT(this->queue.SetLimit(TeamOf(team), limit) ==
                  this->reference.SetLimit(TeamOf(team), limit));
        for (auto& organisation : this->in_force.organisations) {
          for (auto& entry : organisation.teams) {
            entry.limit = entry.id == TeamOf(team) ? limit : entry.limit;
          }
        }
        break;
      }
      case 2:
        this->limits[team] = limit;
        this->SetPolicy(this->MakePolicy(choices));
        break;
      default:
        this->Reserve(choices);
        break;
    }
  }

  auto Reserve(Choices& choices) -> void {
    std::optional<JobId> id;
    if (!this->ids.empty() && choices.Below(4) != 0) {
      id = this->ids[choices.Below(1000) % this->ids.size()];
    }
    this->queue.SetReserved(id);
    this->reference.SetReserved(id);
  }

  // A caller may start any job, such as one with a reservation.
  auto StartOutOfOrder(Choices& choices) -> void {
    if (this->ids.empty()) {
      return;
    }
    this->queue.Next(this->now);
    this->reference.Next(this->now);
    this->TakeExpired();
    const auto& id = this->ids[choices.Below(1000) % this->ids.size()];
    const auto& job = this->reference.Get(id);
    Candidate candidate;
    candidate.job = id;
    candidate.shape.tasks = job.spec.is_gang ? job.waiting : 1;
    const bool is_started = this->queue.Started(id, this->now);
    RC_ASSERT(is_started == this->reference.Started(id, this->now));
    if (is_started) {
      this->CountStart(candidate);
    }
  }

  auto CheckReason(Choices& choices) -> void {
    if (this->ids.empty()) {
      return;
    }
    const auto& id = this->ids[choices.Below(1000) % this->ids.size()];
    RC_ASSERT(this->queue.WhyWaiting(id, this->now) ==
              this->reference.WhyWaiting(id, this->now));
  }

  auto TakeExpired() -> void {
    for (const auto& id : this->queue.TakeExpired(this->now)) {
      auto& run = this->runs.at(id);
      RC_ASSERT(!run.is_expired);
      run.is_expired = true;
    }
  }

  FairQueue queue;
  ReferenceQueue reference;
  TimePoint now = kStart;
  QueuePolicy in_force;
  std::vector<Amount> limits = std::vector<Amount>(kTeams, kNoLimit);
  std::unordered_map<TeamId, Amount> unconfirmed_use;
  std::unordered_map<JobId, Run> runs;
  std::vector<JobId> ids;
  Resources used;
};

// Guards against a decision, reason or outcome that differs from the reference
// implementation, a team above its limit, and a task that is lost or started
// twice.
BOOST_AUTO_TEST_CASE(SameDecisionsAsTheReference) {
  BOOST_TEST(CheckHistories(3000, 120, [](const History& history) {
    Comparison comparison;
    for (const auto bits : history) {
      comparison.Step(bits);
    }
    comparison.Drain();
  }));
}

}  // namespace
}  // namespace shallotbank::queueing
