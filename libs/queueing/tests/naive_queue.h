#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "queueing/decision.h"
#include "queueing/queue_policy.h"
#include "queueing/queued_job.h"

namespace shallotbank::queueing {

/// The rules of `FairQueue` written as directly as possible: one list of jobs,
/// and every question answered by scanning all of it. The reference for tests
/// and benchmarks.
class NaiveQueue {
 public:
  struct Job {
    QueuedJob accepted;
    std::uint64_t sequence = 0;
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    bool has_run = false;
    bool is_cancelled = false;
    bool is_expired = false;
    bool is_apart = false;
  };

  auto SetPolicy(const QueuePolicy& new_policy) -> void {
    this->policy = new_policy;
    this->RoomFreed();
  }
  auto SetHeld(const TeamId& team, const Amount& amount) -> void {
    this->held[team] = amount;
  }
  auto SetLimit(const TeamId& team, const Amount& limit) -> bool {
    for (auto& organisation : this->policy.organisations) {
      for (auto& entry : organisation.teams) {
        if (entry.id == team) {
          entry.limit = limit;
          return true;
        }
      }
    }
    return false;
  }

  auto Add(const QueuedJob& accepted) -> void {
    Job job;
    job.accepted = accepted;
    job.sequence = this->jobs.size() + 1;
    job.waiting = accepted.tasks;
    this->positions[accepted.id] = this->jobs.size();
    this->jobs.push_back(job);
  }

  auto Next(TimePoint now) -> std::optional<Candidate> {
    this->Expire(now);
    const auto* job = this->Choose(now);
    if (job == nullptr) {
      return std::nullopt;
    }
    return Candidate{job->accepted.id,
                     job->accepted.team,
                     job->accepted.profile,
                     ShapeOf(*job),
                     job->accepted.is_urgent,
                     job->accepted.is_single_run,
                     this->reserved == job->accepted.id};
  }

  auto Started(const JobId& id, TimePoint /*now*/) -> bool {
    auto& job = this->Get(id);
    const auto reason = this->Check(job, this->Uses());
    const bool is_stopped = reason && *reason != WaitingReason::kNoRoom &&
                            *reason != WaitingReason::kBehindReservation &&
                            *reason != WaitingReason::kExceedsCapacity;
    if (job.waiting == 0 || is_stopped) {
      return false;
    }
    const auto tasks = ShapeOf(job).tasks;
    job.waiting -= tasks;
    job.running += tasks;
    if (this->reserved == id) {
      this->reserved.reset();
    }
    return true;
  }

  auto Blocked(const JobId& id, BlockReason reason) -> void {
    auto& job = this->Get(id);
    job.is_apart = job.is_apart || reason == BlockReason::kJobOnly;
    this->blocked.push_back(
        {ShapeOf(job), job.is_apart ? job.sequence : 0, reason});
  }
  auto RoomFreed() -> void { this->blocked.clear(); }

  auto Ended(const JobId& id, TaskEnd end, std::int64_t tasks = 1) -> bool {
    auto& job = this->Get(id);
    if (tasks > job.running) {
      return false;
    }
    job.running -= tasks;
    job.has_run = job.has_run || end != TaskEnd::kReturned;
    const bool is_over = end == TaskEnd::kFinished || end == TaskEnd::kFailed;
    if (!is_over && !job.is_cancelled) {
      job.waiting += tasks;
    }
    this->RoomFreed();
    return true;
  }

  auto Cancel(const JobId& id) -> CancelOutcome {
    const auto found = this->positions.find(id);
    if (found == this->positions.end()) {
      return CancelOutcome::kUnknown;
    }
    auto& job = this->jobs[found->second];
    const bool is_over = job.waiting == 0 && job.running == 0;
    if (!is_over) {
      job.is_cancelled = true;
      job.waiting = 0;
    }
    if (this->reserved == id) {
      this->reserved.reset();
    }
    if (job.running > 0) {
      return CancelOutcome::kStopping;
    }
    return !job.has_run ? CancelOutcome::kNotStarted : CancelOutcome::kFinished;
  }

  auto SetReserved(const std::optional<JobId>& id) -> void {
    const bool is_waiting = id && this->Get(*id).waiting > 0;
    this->reserved = is_waiting ? id : std::nullopt;
  }

  auto WhyWaiting(const JobId& id, TimePoint now)
      -> std::optional<WaitingReason> {
    const auto& job = this->Get(id);
    if (job.waiting == 0) {
      return job.running == 0
                 ? std::nullopt
                 : std::optional<WaitingReason>(WaitingReason::kNotWaiting);
    }
    const auto uses = this->Uses();
    const auto reason = this->Check(job, uses);
    if (this->reserved == id && (!reason || reason == WaitingReason::kNoRoom)) {
      return WaitingReason::kHoldsReservation;
    }
    if (reason) {
      return reason;
    }
    const auto heads = this->Heads(uses);
    if (heads.at(job.accepted.team).job != &job) {
      return WaitingReason::kBehindOwnTeam;
    }
    const auto places = this->Places(uses);
    const auto& place = places.at(job.accepted.team);
    const auto* of_organisation =
        this->Best(heads, uses, places, place.organisation, now);
    const auto* best = this->Best(heads, uses, places, -1, now);
    if (best == &job) {
      return WaitingReason::kNext;
    }
    const bool is_urgent = heads.at(job.accepted.team).is_urgent_first;
    if (heads.at(best->accepted.team).is_urgent_first && !is_urgent) {
      return WaitingReason::kBehindUrgent;
    }
    return of_organisation == &job ? WaitingReason::kOrganisationBehindOthers
                                   : WaitingReason::kTeamBehindOthers;
  }

  auto Get(const JobId& id) -> Job& {
    return this->jobs[this->positions.at(id)];
  }

 private:
  struct Use {
    Amount running;
    Resources urgent;
  };
  struct Place {
    int organisation = -1;
    double entitlement = 0;
    double organisation_entitlement = 0;
    Resources organisation_running;
    Amount limit;
  };
  struct Head {
    const Job* job = nullptr;
    bool is_urgent_first = false;
  };
  struct Refused {
    Shape shape;
    std::uint64_t only_job = 0;
    BlockReason reason = BlockReason::kNoRoom;
  };
  using UseByTeam = std::unordered_map<TeamId, Use>;
  using PlaceByTeam = std::unordered_map<TeamId, Place>;
  using HeadByTeam = std::unordered_map<TeamId, Head>;

  static auto ShapeOf(const Job& job) -> Shape {
    return {job.accepted.need, job.accepted.is_gang ? job.waiting : 1,
            job.accepted.placement_class};
  }

  auto Expire(TimePoint now) -> void {
    for (auto& job : this->jobs) {
      const bool is_due = job.waiting > 0 && job.running == 0 && !job.has_run &&
                          job.accepted.start_by &&
                          *job.accepted.start_by <= now;
      if (is_due) {
        job.is_expired = true;
        job.waiting = 0;
      }
    }
  }

  auto Uses() const -> UseByTeam {
    UseByTeam uses;
    for (const auto& job : this->jobs) {
      const auto running = Times(job.accepted.need, job.running);
      auto& use = uses[job.accepted.team];
      use.running += {running, job.running};
      if (job.accepted.is_urgent) {
        use.urgent += running;
      }
    }
    return uses;
  }

  auto Places(const UseByTeam& uses) const -> PlaceByTeam {
    PlaceByTeam places;
    double total = 0;
    for (const auto& organisation : this->policy.organisations) {
      total += organisation.weight;
    }
    int number = 0;
    for (const auto& organisation : this->policy.organisations) {
      double team_total = 0;
      Resources running;
      for (const auto& team : organisation.teams) {
        team_total += team.weight;
        const auto found = uses.find(team.id);
        running +=
            found == uses.end() ? Resources{} : found->second.running.resources;
      }
      for (const auto& team : organisation.teams) {
        places[team.id] = {
            number, organisation.weight / total * team.weight / team_total,
            organisation.weight / total, running, team.limit};
      }
      number++;
    }
    return places;
  }

  auto Check(const Job& job, const UseByTeam& uses) const
      -> std::optional<WaitingReason> {
    const auto& team = job.accepted.team;
    const Amount* limit = nullptr;
    for (const auto& organisation : this->policy.organisations) {
      for (const auto& entry : organisation.teams) {
        limit = entry.id == team ? &entry.limit : limit;
      }
    }
    return this->CheckAgainst(job, uses, limit);
  }

  auto CheckAgainst(const Job& job,
                    const UseByTeam& uses,
                    const Amount* limit) const -> std::optional<WaitingReason> {
    if (limit == nullptr) {
      return WaitingReason::kTeamNotInPolicy;
    }
    const auto shape = ShapeOf(job);
    const Amount start{Times(shape.need, shape.tasks), shape.tasks};
    if (!start.FitsIn(*limit)) {
      return WaitingReason::kExceedsLimit;
    }
    if (!start.resources.FitsIn(this->policy.capacity)) {
      return WaitingReason::kExceedsCapacity;
    }
    const auto found = this->held.find(job.accepted.team);
    const Amount elsewhere =
        found == this->held.end() ? Amount{} : found->second;
    const auto& running = uses.at(job.accepted.team).running;
    if (!(running + elsewhere + start).FitsIn(*limit)) {
      return WaitingReason::kTeamAtLimit;
    }
    for (const auto& refused : this->blocked) {
      const auto only_job = job.is_apart ? job.sequence : 0;
      const bool is_larger =
          only_job == 0 && refused.only_job == 0 &&
          refused.shape.placement_class == shape.placement_class &&
          refused.shape.tasks <= shape.tasks &&
          refused.shape.need.FitsIn(shape.need);
      const bool is_same =
          only_job == refused.only_job && refused.shape == shape;
      if (is_larger || is_same) {
        return refused.reason == BlockReason::kBehindReservation
                   ? WaitingReason::kBehindReservation
                   : WaitingReason::kNoRoom;
      }
    }
    return std::nullopt;
  }

  auto Heads(const UseByTeam& uses) const -> HeadByTeam {
    const auto places = this->Places(uses);
    HeadByTeam heads;
    for (const auto& job : this->jobs) {
      const auto place = places.find(job.accepted.team);
      const bool may_start =
          job.waiting > 0 && place != places.end() &&
          !this->CheckAgainst(job, uses, &place->second.limit);
      if (!may_start) {
        continue;
      }
      const auto urgent = DominantShare(uses.at(job.accepted.team).urgent,
                                        this->policy.capacity) /
                          place->second.entitlement;
      const bool is_first =
          job.accepted.is_urgent && urgent < this->policy.urgent_allowance;
      auto& head = heads[job.accepted.team];
      const auto order = [](const Job& j, bool first) {
        return std::tuple(!first, j.accepted.submitted, j.sequence);
      };
      if (head.job == nullptr ||
          order(job, is_first) < order(*head.job, head.is_urgent_first)) {
        head = {&job, is_first};
      }
    }
    return heads;
  }

  // The first head of one organisation by team, or of all by organisation (-1).
  auto Best(const HeadByTeam& heads,
            const UseByTeam& uses,
            const PlaceByTeam& places,
            int organisation,
            TimePoint now) const -> const Job* {
    const Job* best = nullptr;
    std::tuple<bool, double, TimePoint, std::uint64_t> best_rank;
    const auto offer = [&](const Job* job, bool is_first, double ratio) {
      const auto& scoring = this->policy.scoring;
      const double age = std::clamp(
          std::chrono::duration<double>(now - job->accepted.submitted) /
              std::chrono::duration<double>(scoring.waiting_scale),
          0.0, 1.0);
      const double score =
          scoring.waiting_weight * age - scoring.share_weight * ratio;
      const std::tuple rank(!is_first, -score, job->accepted.submitted,
                            job->sequence);
      if (best == nullptr || rank < best_rank) {
        best = job;
        best_rank = rank;
      }
    };
    if (organisation >= 0) {
      for (const auto& [team, head] : heads) {
        const auto& place = places.at(team);
        if (place.organisation == organisation) {
          offer(head.job, head.is_urgent_first,
                DominantShare(uses.at(team).running.resources,
                              this->policy.capacity) /
                    place.entitlement);
        }
      }
      return best;
    }
    const auto count = static_cast<int>(this->policy.organisations.size());
    for (int k = 0; k < count; ++k) {
      const auto* job = this->Best(heads, uses, places, k, now);
      if (job != nullptr) {
        const auto& place = places.at(job->accepted.team);
        offer(job, heads.at(job->accepted.team).is_urgent_first,
              DominantShare(place.organisation_running, this->policy.capacity) /
                  place.organisation_entitlement);
      }
    }
    return best;
  }

  auto Choose(TimePoint now) -> const Job* {
    const auto uses = this->Uses();
    if (this->reserved && this->positions.contains(*this->reserved)) {
      const auto& job = this->Get(*this->reserved);
      if (job.waiting > 0 && !this->Check(job, uses)) {
        return &job;
      }
    }
    return this->Best(this->Heads(uses), uses, this->Places(uses), -1, now);
  }

  QueuePolicy policy;
  std::vector<Job> jobs;
  std::unordered_map<JobId, std::size_t> positions;
  std::unordered_map<TeamId, Amount> held;
  std::vector<Refused> blocked;
  std::optional<JobId> reserved;
};

}  // namespace shallotbank::queueing
