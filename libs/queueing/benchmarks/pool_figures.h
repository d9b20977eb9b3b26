#pragma once

#include <array>
#include <cmath>
#include <cstdio>
#include <unordered_map>

#include "fair_shares.h"
#include "pool_model.h"
#include "report.h"
#include "workload.h"

namespace shallotbank::queueing {

struct NamedScoring {
  std::string name;
  WeightedScoring scoring;
};

inline auto ScoringPolicies() -> std::vector<NamedScoring> {
  return {{"waiting-weighted", {1, 0.1, std::chrono::seconds(60)}},
          {"share-weighted", {0.02, 1, std::chrono::seconds(60)}}};
}

/// Measures the distance of each team from its ideal share while every team is
/// backlogged and the pool is full. The waiting weight shifts shares until the
/// backlog is older than the waiting scale.
inline auto MeasureShares(Report& report,
                          const NamedScoring& policy_scoring,
                          int teams,
                          Duration backlog_age) -> void {
  constexpr int kBacklogPerTeam = 40;
  QueuePolicy policy;
  policy.capacity = kShardCapacity;
  policy.scoring = policy_scoring.scoring;
  policy.organisations = MakeOrganisations(teams);
  std::vector<FairShareTeam> ideal_teams;
  for (std::size_t o = 0; o < policy.organisations.size(); ++o) {
    for (const auto& team : policy.organisations[o].teams) {
      const auto kind = static_cast<std::int64_t>(ideal_teams.size() % 3);
      ideal_teams.push_back({team.id, o, {1000, 1024 << kind, 0}});
    }
  }
  const auto ideal_shares = FairShares(policy, ideal_teams);
  FairQueue queue;
  static_cast<void>(queue.SetPolicy(policy));
  PoolModel pool(queue, policy.capacity);
  std::mt19937 random(kSeed);
  std::unordered_map<TeamId, double> sum;
  int number = 0;
  int samples = 0;
  const auto end = kStart + std::chrono::seconds(180);
  for (auto now = kStart; now < end; now += std::chrono::milliseconds(100)) {
    pool.EndTasks(now);
    std::size_t position = 0;
    for (const auto& share : queue.Shares()) {
      const auto& team = ideal_teams[position++];
      for (int k = 0;
           share.waiting_jobs < kBacklogPerTeam && k < kBacklogPerTeam; ++k) {
        QueuedJob job;
        job.id = JobId("j" + std::to_string(number++));
        job.team = team.id;
        job.need =
            Times(team.need, static_cast<std::int64_t>(1 + position % 2));
        job.tasks = 20;
        job.submitted = now - backlog_age;
        std::uniform_int_distribution length(2'000, 60'000);
        pool.Submit(job, std::chrono::milliseconds(length(random)));
      }
    }
    pool.Fill(now, [](const Candidate&) {});
    if (now < kStart + std::chrono::seconds(90)) {
      continue;
    }
    samples++;
    for (const auto& share : queue.Shares()) {
      sum[share.team] += share.dominant_share;
    }
  }
  double mean = 0;
  double worst = 0;
  for (const auto& [team, share] : ideal_shares) {
    const double distance = std::abs(sum[team] / samples - share) / share;
    mean += distance / static_cast<double>(ideal_shares.size());
    worst = std::max(worst, distance);
  }
  const auto inputs = policy_scoring.name + " " + std::to_string(teams) +
                      " teams " +
                      (backlog_age == Duration::zero() ? "young" : "old");
  report.Add("share", inputs, "real", "distance mean", 100 * mean, "%");
  report.Add("share", inputs, "real", "distance worst", 100 * worst, "%");
}

/// Measures waiting times by class with random arrivals at `load` times the
/// capacity of 50 workers of 64 cores. Demand differs widely between teams.
class WaitingTimeModel {
 public:
  enum Class { kUrgent, kNormal, kGang, kClasses };

  WaitingTimeModel(const NamedScoring& policy_scoring, double load)
      : name(policy_scoring.name), load(load), pool(this->queue, kCapacity) {
    QueuePolicy policy;
    policy.capacity = kCapacity;
    policy.scoring = policy_scoring.scoring;
    policy.organisations = MakeOrganisations(kTeams);
    static_cast<void>(this->queue.SetPolicy(policy));
  }

  auto Run(Report& report) -> void {
    const auto end = kStart + kRunTime;
    auto arrival = this->NextArrival(kStart);
    auto now = kStart;
    while (now < end) {
      const auto task_end = this->pool.NextEnd();
      if (task_end && *task_end <= arrival) {
        now = *task_end;
        this->pool.EndTasks(now);
      } else {
        now = arrival;
        this->Submit(now);
        arrival = this->NextArrival(now);
      }
      this->pool.Fill(now, [&](const Candidate& candidate) {
        this->RecordStart(candidate, now);
      });
      const auto free = this->pool.Free().cores_milli;
      this->free_sum += static_cast<double>(free) / kCapacity.cores_milli;
      this->steps++;
    }
    // Jobs that are still waiting count with their age; otherwise waits under
    // overload would appear too short.
    for (const auto& [id, job] : this->waiting) {
      if (job.submitted >= kStart + kWarmUp) {
        this->waits[job.kind].Add(end - job.submitted);
      }
    }
    this->Print(report);
  }

 private:
  static constexpr int kTeams = 60;
  static constexpr auto kRunTime = std::chrono::seconds(900);
  static constexpr auto kWarmUp = std::chrono::seconds(120);
  static constexpr Resources kCapacity{50 * 64'000, 50 * 262'144, 0};
  // Mean core seconds of a job, from the draws in Submit: 10% urgent of 1 core
  // for 3 s, 88% normal of 2 tasks of 2.5 cores for 30 s, 2% gangs of 18 tasks
  // of 4 cores for 45 s.
  static constexpr double kMeanCoreSeconds =
      0.1 * 3 + 0.88 * 2 * 2.5 * 30 + 0.02 * 18 * 4 * 45;

  struct Waiting {
    Class kind = kNormal;
    TimePoint submitted;
  };

  auto NextArrival(TimePoint now) -> TimePoint {
    const double cores = kCapacity.cores_milli / 1000.0;
    const double rate = this->load * cores / kMeanCoreSeconds;
    const std::chrono::duration<double> gap(
        std::exponential_distribution<double>(rate)(this->random));
    return now + std::chrono::duration_cast<Duration>(gap);
  }

  auto Between(int lowest, int highest) -> int {
    return std::uniform_int_distribution(lowest, highest)(this->random);
  }

  auto Submit(TimePoint now) -> void {
    QueuedJob job;
    job.id = JobId("j" + std::to_string(this->number++));
    // The square root gives the teams with high numbers many times the demand
    // of those with low numbers.
    const int pick = this->Between(0, kTeams * kTeams - 1);
    job.team =
        TeamId("team" + std::to_string(static_cast<int>(std::sqrt(pick))));
    job.submitted = now;
    const int draw = this->Between(0, 99);
    Class kind = kNormal;
    int seconds = this->Between(10, 50);
    std::int64_t cores = this->Between(1, 4);
    job.tasks = this->Between(1, 3);
    if (draw < 10) {
      kind = kUrgent;
      job.is_urgent = true;
      job.tasks = 1;
      cores = 1;
      seconds = this->Between(1, 5);
    } else if (draw < 12) {
      kind = kGang;
      job.is_gang = true;
      job.tasks = this->Between(4, 32);
      cores = 4;
      seconds = this->Between(30, 60);
    }
    job.need = {1000 * cores, 2048 * cores, 0};
    this->waiting[job.id] = {kind, now};
    this->pool.Submit(job, std::chrono::seconds(seconds));
  }

  auto RecordStart(const Candidate& candidate, TimePoint now) -> void {
    const auto found = this->waiting.find(candidate.job);
    if (found == this->waiting.end()) {
      return;  // Not the first task of the job.
    }
    if (found->second.submitted >= kStart + kWarmUp) {
      this->waits[found->second.kind].Add(now - found->second.submitted);
    }
    this->waiting.erase(found);
  }

  auto Print(Report& report) -> void {
    static constexpr std::array kNames{"urgent", "normal", "gang"};
    char inputs[64];
    std::snprintf(inputs, sizeof(inputs), "%s %.0f%% load", this->name.c_str(),
                  100 * this->load);
    for (int k = 0; k < kClasses; ++k) {
      const std::string kind = kNames[static_cast<std::size_t>(k)];
      auto& samples = this->waits[static_cast<std::size_t>(k)];
      report.Add("waiting", inputs, "real", kind + " p50",
                 samples.Quantile(0.5) / 1e6, "s");
      report.Add("waiting", inputs, "real", kind + " p99",
                 samples.Quantile(0.99) / 1e6, "s");
    }
    report.Add("waiting", inputs, "real", "not started at the end",
               static_cast<double>(this->waiting.size()), "jobs");
    report.Add("waiting", inputs, "real", "cores in use",
               100 * (1 - this->free_sum / this->steps), "%");
  }

  std::string name;
  double load;
  FairQueue queue;
  PoolModel pool;
  std::mt19937 random{kSeed};
  std::unordered_map<JobId, Waiting> waiting;
  std::array<Samples, kClasses> waits;
  int number = 0;
  double free_sum = 0;
  double steps = 0;
};

}  // namespace shallotbank::queueing
