#include <algorithm>

#include "fair_queue_state.h"
#include "rank.h"

namespace shallotbank::queueing {

auto FairQueue::State::CheckLimits(const Team& team,
                                   const JobGroup& group) const
    -> std::optional<WaitingReason> {
  if (team.organisation == nullptr) {
    return WaitingReason::kTeamNotInPolicy;
  }
  if (!group.start_amount.FitsIn(team.limit)) {
    return WaitingReason::kExceedsLimit;
  }
  if (!group.start_amount.resources.FitsIn(this->policy.capacity)) {
    return WaitingReason::kExceedsCapacity;
  }
  if (!(team.running + team.unconfirmed_use + group.start_amount)
           .FitsIn(team.limit)) {
    return WaitingReason::kTeamAtLimit;
  }
  return std::nullopt;
}

auto FairQueue::State::CheckStart(const Team& team, const JobGroup& group) const
    -> std::optional<WaitingReason> {
  const auto reason = this->CheckLimits(team, group);
  if (reason || !group.shape->block_reason) {
    return reason;
  }
  return *group.shape->block_reason == BlockReason::kBehindReservation
             ? WaitingReason::kBehindReservation
             : WaitingReason::kNoRoom;
}

auto FairQueue::State::IsWithinUrgentAllowance(const Team& team) const -> bool {
  return DominantShare(team.urgent_running, this->policy.capacity) <
         this->policy.urgent_allowance * team.entitlement;
}

auto FairQueue::State::FindFirst(const Team& team,
                                 const TeamQueue::GroupOrder& order,
                                 bool include_blocked) const -> Head {
  for (const auto& [first, item] : order) {
    const bool is_skipped = !include_blocked && item.shape->block_reason;
    if (!is_skipped && !this->CheckLimits(team, *item.group)) {
      return {item.group, item.shape, first, false};
    }
  }
  return {};
}

auto FairQueue::State::FindHead(const Team& team, bool include_blocked) const
    -> Head {
  const auto unblocked_shapes =
      team.queue.ShapeMask() & ~this->shapes.BlockedMask();
  if (!include_blocked && unblocked_shapes == 0) {
    return {};
  }
  if (this->IsWithinUrgentAllowance(team)) {
    auto head = this->FindFirst(team, team.queue.Urgent(), include_blocked);
    if (head.group != nullptr) {
      head.precedes_normal = true;
      return head;
    }
  }
  return this->FindFirst(team, team.queue.All(), include_blocked);
}

auto FairQueue::State::UpdateHead(Team& team) -> void {
  if (!team.is_stale && !team.is_head_stale) {
    return;
  }
  if (team.is_stale) {
    team.unblocked_head = this->FindHead(team, true);
    team.head = team.unblocked_head;
    team.uses_unblocked_head = true;
  }
  if (team.head.shape != nullptr && team.head.shape->block_reason) {
    team.head = this->FindHead(team, false);
    team.uses_unblocked_head = false;
  }
  team.is_stale = false;
  team.is_head_stale = false;
}

auto FairQueue::State::FirstTeam(Organisation& organisation, TimePoint now)
    -> Team* {
  if (!organisation.is_stale && organisation.first_team_at == now) {
    return organisation.first_team;
  }
  FirstByRank<Team> first;
  for (auto* team : organisation.teams) {
    this->UpdateHead(*team);
    if (team->head.group != nullptr) {
      first.Offer(team,
                  RankOf(this->policy.scoring, *team, team->use_ratio, now));
    }
  }
  organisation.first_team = first.Get();
  organisation.first_team_at = now;
  organisation.is_stale = false;
  return organisation.first_team;
}

auto FairQueue::State::FirstTeam(TimePoint now) -> Team* {
  FirstByRank<Team> first;
  for (const auto& organisation : this->organisations) {
    auto* team = this->FirstTeam(*organisation, now);
    if (team != nullptr) {
      first.Offer(team, RankOf(this->policy.scoring, *team,
                               organisation->use_ratio, now));
    }
  }
  return first.Get();
}

auto FairQueue::State::ToCandidate(const Job& job) const -> Candidate {
  return {job.spec.id,
          job.spec.team,
          job.spec.profile,
          job.group->shape->key.shape,
          job.spec.is_urgent,
          job.spec.is_single_run,
          this->reserved == job.spec.id};
}

auto FairQueue::State::ReservedCandidate() const -> const Job* {
  if (!this->reserved) {
    return nullptr;
  }
  const auto found = this->jobs.find(*this->reserved);
  if (found == this->jobs.end() || found->second.group == nullptr) {
    return nullptr;
  }
  const auto& job = found->second;
  return this->CheckStart(*job.team, *job.group) ? nullptr : &job;
}

auto FairQueue::State::Next(TimePoint now) -> std::optional<Candidate> {
  this->RemoveExpired(now);
  if (const auto* job = this->ReservedCandidate()) {
    return this->ToCandidate(*job);
  }
  const auto* team = this->FirstTeam(now);
  if (team == nullptr) {
    return std::nullopt;
  }
  return this->ToCandidate(*team->head.group->jobs.begin()->second);
}

auto FairQueue::State::WhyWaiting(const JobId& id, TimePoint now)
    -> std::optional<WaitingReason> {
  const auto* job = this->FindJob(id);
  if (job == nullptr) {
    return std::nullopt;
  }
  if (job->group == nullptr) {
    return WaitingReason::kNotWaiting;
  }
  auto& team = *job->team;
  const auto reason = this->CheckStart(team, *job->group);
  const bool is_reserved = this->reserved == id;
  if (is_reserved && (!reason || reason == WaitingReason::kNoRoom)) {
    return WaitingReason::kHoldsReservation;
  }
  if (reason) {
    return reason;
  }
  const auto* first_of_organisation = this->FirstTeam(*team.organisation, now);
  if (team.head.group->jobs.begin()->second != job) {
    return WaitingReason::kBehindOwnTeam;
  }
  const auto* first = this->FirstTeam(now);
  if (first == &team) {
    return WaitingReason::kNext;
  }
  if (first->head.precedes_normal && !team.head.precedes_normal) {
    return WaitingReason::kBehindUrgent;
  }
  return first_of_organisation == &team
             ? WaitingReason::kOrganisationBehindOthers
             : WaitingReason::kTeamBehindOthers;
}

auto FairQueue::State::FirstDueReservation(TimePoint now,
                                           bool only_below_share) const
    -> const Job* {
  const auto min_threshold =
      std::min(this->policy.reservation_after,
               this->policy.reservation_after_below_share);
  for (const auto& [since, job] : this->overtaken_jobs) {
    const auto& team = *job->team;
    const auto waited = now - since.first;
    if (waited < min_threshold) {
      return nullptr;
    }
    const bool is_below_share = team.use_ratio < 1;
    const auto threshold = is_below_share && !job->spec.is_gang
                               ? this->policy.reservation_after_below_share
                               : this->policy.reservation_after;
    if (waited < threshold || (only_below_share && !is_below_share)) {
      continue;
    }
    const auto reason = this->CheckStart(team, *job->group);
    if (!reason || reason == WaitingReason::kNoRoom ||
        reason == WaitingReason::kBehindReservation) {
      return job;
    }
  }
  return nullptr;
}

auto FairQueue::State::ReservationDue(TimePoint now) const
    -> std::optional<JobId> {
  if (this->reserved) {
    return std::nullopt;
  }
  const auto* job = this->FirstDueReservation(now, false);
  return job == nullptr ? std::nullopt : std::optional<JobId>(job->spec.id);
}

auto FairQueue::State::FindBlockedUrgent(TimePoint now) -> const Job* {
  FirstByRank<const Job> first;
  for (const auto& organisation : this->organisations) {
    for (const auto* team : organisation->teams) {
      if (!this->IsWithinUrgentAllowance(*team)) {
        continue;
      }
      for (const auto& [order, item] : team->queue.Urgent()) {
        const auto reason = this->CheckStart(*team, *item.group);
        if (reason == WaitingReason::kNoRoom) {
          const auto score = this->policy.scoring.Score(team->use_ratio,
                                                        now - order.submitted);
          first.Offer(item.group->jobs.begin()->second, {true, score, order});
          break;
        }
      }
    }
  }
  return first.Get();
}

auto FairQueue::State::FindVictim(const Team& preemptor,
                                  const Resources& amount) const
    -> const Team* {
  const Team* victim = nullptr;
  for (const auto& organisation : this->organisations) {
    for (const auto* team : organisation->teams) {
      const auto remaining = team->running.resources - amount;
      const bool keeps_its_share =
          DominantShare(remaining, this->policy.capacity) >= team->entitlement;
      const bool is_victim = team != &preemptor && keeps_its_share &&
                             team->use_ratio >= this->policy.preemption_ratio;
      if (is_victim &&
          (victim == nullptr || team->use_ratio > victim->use_ratio)) {
        victim = team;
      }
    }
  }
  return victim;
}

auto FairQueue::State::AdvisePreemption(TimePoint now)
    -> std::optional<PreemptionAdvice> {
  const auto* job = this->FindBlockedUrgent(now);
  if (job == nullptr) {
    job = this->FirstDueReservation(now, true);
  }
  if (job == nullptr) {
    return std::nullopt;
  }
  const auto amount = job->group->start_amount.resources;
  const auto* victim = this->FindVictim(*job->team, amount);
  if (victim == nullptr) {
    return std::nullopt;
  }
  return PreemptionAdvice{victim->id, job->spec.id, amount};
}

}  // namespace shallotbank::queueing
