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
  if (!group.start.FitsIn(team.limit)) {
    return WaitingReason::kExceedsLimit;
  }
  if (!group.start.resources.FitsIn(this->policy.capacity)) {
    return WaitingReason::kExceedsCapacity;
  }
  if (!(team.running + team.held + group.start).FitsIn(team.limit)) {
    return WaitingReason::kTeamAtLimit;
  }
  return std::nullopt;
}

auto FairQueue::State::Check(const Team& team, const JobGroup& group) const
    -> std::optional<WaitingReason> {
  const auto reason = this->CheckLimits(team, group);
  if (reason || !group.shape->blocked) {
    return reason;
  }
  return *group.shape->blocked == BlockReason::kBehindReservation
             ? WaitingReason::kBehindReservation
             : WaitingReason::kNoRoom;
}

auto FairQueue::State::IsWithinUrgentAllowance(const Team& team) const -> bool {
  return DominantShare(team.urgent_running, this->policy.capacity) <
         this->policy.urgent_allowance * team.entitlement;
}

auto FairQueue::State::FindFirst(const Team& team,
                                 const TeamQueue::Order& order,
                                 bool with_blocked) const -> Head {
  for (const auto& [first, item] : order) {
    const bool is_skipped = !with_blocked && item.shape->blocked;
    if (!is_skipped && !this->CheckLimits(team, *item.group)) {
      return {item.group, item.shape, first, false};
    }
  }
  return {};
}

auto FairQueue::State::FindHead(const Team& team, bool with_blocked) const
    -> Head {
  const auto open_shapes = team.queue.ShapeMask() & ~this->shapes.BlockedMask();
  if (!with_blocked && open_shapes == 0) {
    return {};
  }
  if (this->IsWithinUrgentAllowance(team)) {
    auto head = this->FindFirst(team, team.queue.Urgent(), with_blocked);
    if (head.group != nullptr) {
      head.is_urgent_first = true;
      return head;
    }
  }
  return this->FindFirst(team, team.queue.All(), with_blocked);
}

auto FairQueue::State::UpdateHead(Team& team) -> void {
  if (!team.is_stale && !team.is_head_stale) {
    return;
  }
  if (team.is_stale) {
    team.open_head = this->FindHead(team, true);
    team.head = team.open_head;
    team.is_head_open = true;
  }
  if (team.head.shape != nullptr && team.head.shape->blocked) {
    team.head = this->FindHead(team, false);
    team.is_head_open = false;
  }
  team.is_stale = false;
  team.is_head_stale = false;
}

auto FairQueue::State::FirstTeam(Organisation& organisation, TimePoint now)
    -> Team* {
  if (!organisation.is_stale && organisation.first_at == now) {
    return organisation.first;
  }
  FirstByRank<Team> first;
  for (auto* team : organisation.teams) {
    this->UpdateHead(*team);
    if (team->head.group != nullptr) {
      first.Offer(team,
                  RankOf(this->policy.scoring, *team, team->use_ratio, now));
    }
  }
  organisation.first = first.Get();
  organisation.first_at = now;
  organisation.is_stale = false;
  return organisation.first;
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
  return {job.accepted.id,
          job.accepted.team,
          job.accepted.profile,
          job.group->shape->key.shape,
          job.accepted.is_urgent,
          job.accepted.is_single_run,
          this->reserved == job.accepted.id};
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
  return this->Check(*job.team, *job.group) ? nullptr : &job;
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
  const auto reason = this->Check(team, *job->group);
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
  if (first->head.is_urgent_first && !team.head.is_urgent_first) {
    return WaitingReason::kBehindUrgent;
  }
  return first_of_organisation == &team
             ? WaitingReason::kOrganisationBehindOthers
             : WaitingReason::kTeamBehindOthers;
}

auto FairQueue::State::FirstDue(TimePoint now, bool only_below_share) const
    -> const Job* {
  const auto shortest = std::min(this->policy.reservation_after,
                                 this->policy.reservation_after_below_share);
  for (const auto& [since, job] : this->overtaken) {
    const auto& team = *job->team;
    const auto waited = now - since.first;
    if (waited < shortest) {
      return nullptr;
    }
    const bool is_below_share = team.use_ratio < 1;
    const auto enough = is_below_share && !job->accepted.is_gang
                            ? this->policy.reservation_after_below_share
                            : this->policy.reservation_after;
    if (waited < enough || (only_below_share && !is_below_share)) {
      continue;
    }
    const auto reason = this->Check(team, *job->group);
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
  const auto* job = this->FirstDue(now, false);
  return job == nullptr ? std::nullopt : std::optional<JobId>(job->accepted.id);
}

auto FairQueue::State::BlockedUrgent(TimePoint now) -> const Job* {
  FirstByRank<const Job> first;
  for (const auto& organisation : this->organisations) {
    for (const auto* team : organisation->teams) {
      if (!this->IsWithinUrgentAllowance(*team)) {
        continue;
      }
      for (const auto& [order, item] : team->queue.Urgent()) {
        const auto reason = this->Check(*team, *item.group);
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

auto FairQueue::State::FindVictim(const Team& beneficiary,
                                  const Resources& amount) const
    -> const Team* {
  const Team* victim = nullptr;
  for (const auto& organisation : this->organisations) {
    for (const auto* team : organisation->teams) {
      const auto rest = team->running.resources - amount;
      const bool keeps_its_share =
          DominantShare(rest, this->policy.capacity) >= team->entitlement;
      const bool is_victim = team != &beneficiary && keeps_its_share &&
                             team->use_ratio >= this->policy.preemption_ratio;
      if (is_victim &&
          (victim == nullptr || team->use_ratio > victim->use_ratio)) {
        victim = team;
      }
    }
  }
  return victim;
}

auto FairQueue::State::Preemption(TimePoint now)
    -> std::optional<PreemptionAdvice> {
  const auto* job = this->BlockedUrgent(now);
  if (job == nullptr) {
    job = this->FirstDue(now, true);
  }
  if (job == nullptr) {
    return std::nullopt;
  }
  const auto amount = job->group->start.resources;
  const auto* victim = this->FindVictim(*job->team, amount);
  if (victim == nullptr) {
    return std::nullopt;
  }
  return PreemptionAdvice{victim->id, job->accepted.id, amount};
}

}  // namespace shallotbank::queueing
