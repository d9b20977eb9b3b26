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

/// Reference implementation of the rules of `FairQueue` for tests and
/// benchmarks: a single list of jobs that every call scans in full.
class ReferenceQueue {
 public:
  struct Job {
    QueuedJob spec;
    std::uint64_t sequence = 0;
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    bool has_run = false;
    bool is_cancelled = false;
    bool is_expired = false;
    bool has_own_shape = false;
  };

  auto SetPolicy(const QueuePolicy& new_policy) -> void {
    this->policy = new_policy;
    this->CapacityFreed();
  }
  auto SetUnconfirmedUse(const TeamId& team, const Amount& amount) -> void {
    this->unconfirmed_use[team] = amount;
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

  auto Add(const QueuedJob& spec) -> void {
    Job job;
    job.spec = spec;
    job.sequence = this->jobs.size() + 1;
    job.waiting = spec.tasks;
    this->positions[spec.id] = this->jobs.size();
    this->jobs.push_back(job);
  }

  auto Next(TimePoint now) -> std::optional<Candidate> {
    this->Expire(now);
    const auto* job = this->Choose(now);
    if (job == nullptr) {
      return std::nullopt;
    }
    return Candidate{job->spec.id,
                     job->spec.team,
                     job->spec.profile,
                     ShapeOf(*job),
                     job->spec.is_urgent,
                     job->spec.is_single_run,
                     this->reserved == job->spec.id};
  }

  auto Started(const JobId& id, TimePoint /*now*/) -> bool {
    auto& job = this->Get(id);
    const auto reason = this->CheckStart(job, this->ComputeUse());
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
    job.has_own_shape = job.has_own_shape || reason == BlockReason::kJobOnly;
    this->blocked.push_back(
        {ShapeOf(job), job.has_own_shape ? job.sequence : 0, reason});
  }
  auto CapacityFreed() -> void { this->blocked.clear(); }

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
    this->CapacityFreed();
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
    const auto uses = this->ComputeUse();
    const auto reason = this->CheckStart(job, uses);
    if (this->reserved == id && (!reason || reason == WaitingReason::kNoRoom)) {
      return WaitingReason::kHoldsReservation;
    }
    if (reason) {
      return reason;
    }
    const auto heads = this->FindHeads(uses);
    if (heads.at(job.spec.team).job != &job) {
      return WaitingReason::kBehindOwnTeam;
    }
    const auto contexts = this->TeamContexts(uses);
    const auto& context = contexts.at(job.spec.team);
    const auto* best_of_organisation =
        this->Best(heads, uses, contexts, context.organisation, now);
    const auto* best = this->Best(heads, uses, contexts, -1, now);
    if (best == &job) {
      return WaitingReason::kNext;
    }
    const bool is_urgent = heads.at(job.spec.team).precedes_normal;
    if (heads.at(best->spec.team).precedes_normal && !is_urgent) {
      return WaitingReason::kBehindUrgent;
    }
    return best_of_organisation == &job
               ? WaitingReason::kOrganisationBehindOthers
               : WaitingReason::kTeamBehindOthers;
  }

  auto Get(const JobId& id) -> Job& {
    return this->jobs[this->positions.at(id)];
  }

 private:
  struct TeamUse {
    Amount running;
    Resources urgent;
  };
  struct TeamContext {
    int organisation = -1;
    double entitlement = 0;
    double organisation_entitlement = 0;
    Resources organisation_running;
    Amount limit;
  };
  struct Head {
    const Job* job = nullptr;
    bool precedes_normal = false;
  };
  struct BlockRecord {
    Shape shape;
    std::uint64_t job_sequence = 0;
    BlockReason reason = BlockReason::kNoRoom;
  };
  using UseByTeam = std::unordered_map<TeamId, TeamUse>;
  using ContextByTeam = std::unordered_map<TeamId, TeamContext>;
  using HeadByTeam = std::unordered_map<TeamId, Head>;

  static auto ShapeOf(const Job& job) -> Shape {
    return {job.spec.need, job.spec.is_gang ? job.waiting : 1,
            job.spec.placement_class};
  }

  auto Expire(TimePoint now) -> void {
    for (auto& job : this->jobs) {
      const bool is_due = job.waiting > 0 && job.running == 0 && !job.has_run &&
                          job.spec.start_by && *job.spec.start_by <= now;
      if (is_due) {
        job.is_expired = true;
        job.waiting = 0;
      }
    }
  }

  auto ComputeUse() const -> UseByTeam {
    UseByTeam uses;
    for (const auto& job : this->jobs) {
      const auto running = Times(job.spec.need, job.running);
      auto& use = uses[job.spec.team];
      use.running += {running, job.running};
      if (job.spec.is_urgent) {
        use.urgent += running;
      }
    }
    return uses;
  }

  auto TeamContexts(const UseByTeam& uses) const -> ContextByTeam {
    ContextByTeam contexts;
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
        contexts[team.id] = {
            number, organisation.weight / total * team.weight / team_total,
            organisation.weight / total, running, team.limit};
      }
      number++;
    }
    return contexts;
  }

  auto CheckStart(const Job& job, const UseByTeam& uses) const
      -> std::optional<WaitingReason> {
    const auto& team = job.spec.team;
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
    const auto found = this->unconfirmed_use.find(job.spec.team);
    const Amount unconfirmed =
        found == this->unconfirmed_use.end() ? Amount{} : found->second;
    const auto& running = uses.at(job.spec.team).running;
    if (!(running + unconfirmed + start).FitsIn(*limit)) {
      return WaitingReason::kTeamAtLimit;
    }
    for (const auto& record : this->blocked) {
      const auto job_sequence = job.has_own_shape ? job.sequence : 0;
      const bool is_larger =
          job_sequence == 0 && record.job_sequence == 0 &&
          record.shape.placement_class == shape.placement_class &&
          record.shape.tasks <= shape.tasks &&
          record.shape.need.FitsIn(shape.need);
      const bool is_same =
          job_sequence == record.job_sequence && record.shape == shape;
      if (is_larger || is_same) {
        return record.reason == BlockReason::kBehindReservation
                   ? WaitingReason::kBehindReservation
                   : WaitingReason::kNoRoom;
      }
    }
    return std::nullopt;
  }

  auto FindHeads(const UseByTeam& uses) const -> HeadByTeam {
    const auto contexts = this->TeamContexts(uses);
    HeadByTeam heads;
    for (const auto& job : this->jobs) {
      const auto context = contexts.find(job.spec.team);
      const bool may_start =
          job.waiting > 0 && context != contexts.end() &&
          !this->CheckAgainst(job, uses, &context->second.limit);
      if (!may_start) {
        continue;
      }
      const auto urgent =
          DominantShare(uses.at(job.spec.team).urgent, this->policy.capacity) /
          context->second.entitlement;
      const bool is_first =
          job.spec.is_urgent && urgent < this->policy.urgent_allowance;
      auto& head = heads[job.spec.team];
      const auto order = [](const Job& j, bool first) {
        return std::tuple(!first, j.spec.submitted, j.sequence);
      };
      if (head.job == nullptr ||
          order(job, is_first) < order(*head.job, head.precedes_normal)) {
        head = {&job, is_first};
      }
    }
    return heads;
  }

  // Returns the first of the heads of one organisation's teams, or of all
  // organisations if `organisation` is -1.
  auto Best(const HeadByTeam& heads,
            const UseByTeam& uses,
            const ContextByTeam& contexts,
            int organisation,
            TimePoint now) const -> const Job* {
    const Job* best = nullptr;
    std::tuple<bool, double, TimePoint, std::uint64_t> best_rank;
    const auto offer = [&](const Job* job, bool is_first, double ratio) {
      const auto& scoring = this->policy.scoring;
      const double age =
          std::clamp(std::chrono::duration<double>(now - job->spec.submitted) /
                         std::chrono::duration<double>(scoring.waiting_scale),
                     0.0, 1.0);
      const double score =
          scoring.waiting_weight * age - scoring.share_weight * ratio;
      const std::tuple rank(!is_first, -score, job->spec.submitted,
                            job->sequence);
      if (best == nullptr || rank < best_rank) {
        best = job;
        best_rank = rank;
      }
    };
    if (organisation >= 0) {
      for (const auto& [team, head] : heads) {
        const auto& context = contexts.at(team);
        if (context.organisation == organisation) {
          offer(head.job, head.precedes_normal,
                DominantShare(uses.at(team).running.resources,
                              this->policy.capacity) /
                    context.entitlement);
        }
      }
      return best;
    }
    const auto count = static_cast<int>(this->policy.organisations.size());
    for (int k = 0; k < count; ++k) {
      const auto* job = this->Best(heads, uses, contexts, k, now);
      if (job != nullptr) {
        const auto& context = contexts.at(job->spec.team);
        offer(
            job, heads.at(job->spec.team).precedes_normal,
            DominantShare(context.organisation_running, this->policy.capacity) /
                context.organisation_entitlement);
      }
    }
    return best;
  }

  auto Choose(TimePoint now) -> const Job* {
    const auto uses = this->ComputeUse();
    if (this->reserved && this->positions.contains(*this->reserved)) {
      const auto& job = this->Get(*this->reserved);
      if (job.waiting > 0 && !this->CheckStart(job, uses)) {
        return &job;
      }
    }
    return this->Best(this->FindHeads(uses), uses, this->TeamContexts(uses), -1,
                      now);
  }

  QueuePolicy policy;
  std::vector<Job> jobs;
  std::unordered_map<JobId, std::size_t> positions;
  std::unordered_map<TeamId, Amount> unconfirmed_use;
  std::vector<BlockRecord> blocked;
  std::optional<JobId> reserved;
};

}  // namespace shallotbank::queueing
