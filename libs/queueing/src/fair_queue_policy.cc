#include "bounds.h"
#include "fair_queue_state.h"

namespace shallotbank::queueing {

auto FairQueue::State::FindOrAddTeam(const TeamId& id) -> Team& {
  auto& team = this->teams[id];
  if (!team) {
    team = std::make_unique<Team>(id, this->shapes);
  }
  return *team;
}

auto FairQueue::State::SetPolicy(const QueuePolicy& new_policy) -> void {
  for (auto& [id, team] : this->teams) {
    team->organisation = nullptr;
    team->limit = {};
  }
  this->policy = new_policy;
  this->organisations.clear();
  for (const auto& organisation_policy : this->policy.organisations) {
    auto& organisation =
        *this->organisations.emplace_back(std::make_unique<Organisation>());
    organisation.id = organisation_policy.id;
    for (const auto& team_policy : organisation_policy.teams) {
      auto& team = this->FindOrAddTeam(team_policy.id);
      team.organisation = &organisation;
      team.limit = team_policy.limit;
      organisation.teams.push_back(&team);
      organisation.running += team.running.resources;
    }
  }
  this->UpdateEntitlements();
  std::erase_if(this->teams, [](const auto& item) {
    const Team& team = *item.second;
    return team.organisation == nullptr && team.queue.JobCount() == 0 &&
           team.running == Amount{} && team.unconfirmed_use == Amount{};
  });
  this->CapacityFreed();
}

auto FairQueue::State::UpdateEntitlements() -> void {
  double total = 0;
  for (const auto& organisation_policy : this->policy.organisations) {
    total += organisation_policy.weight;
  }
  for (std::size_t k = 0; k < this->organisations.size(); ++k) {
    const auto& organisation_policy = this->policy.organisations[k];
    auto& organisation = *this->organisations[k];
    organisation.entitlement = organisation_policy.weight / total;
    double team_total = 0;
    for (const auto& team : organisation_policy.teams) {
      team_total += team.weight;
    }
    for (std::size_t t = 0; t < organisation_policy.teams.size(); ++t) {
      auto& team = *organisation.teams[t];
      team.entitlement = organisation.entitlement *
                         organisation_policy.teams[t].weight / team_total;
      this->UpdateUse(team);
    }
  }
}

auto FairQueue::State::UpdateUse(Team& team) -> void {
  MarkStale(team);
  if (team.organisation == nullptr) {
    return;
  }
  auto& organisation = *team.organisation;
  team.use_ratio =
      DominantShare(team.running.resources, this->policy.capacity) /
      team.entitlement;
  organisation.use_ratio =
      DominantShare(organisation.running, this->policy.capacity) /
      organisation.entitlement;
}

auto FairQueue::State::SetUnconfirmedUse(const TeamId& id, const Amount& amount)
    -> void {
  auto& team = this->FindOrAddTeam(id);
  team.unconfirmed_use = amount;
  MarkStale(team);
}

auto FairQueue::State::SetLimit(const TeamId& id, const Amount& limit) -> bool {
  const auto found = this->teams.find(id);
  if (found == this->teams.end() || found->second->organisation == nullptr ||
      !IsValidLimit(limit)) {
    return false;
  }
  found->second->limit = limit;
  MarkStale(*found->second);
  return true;
}

auto FairQueue::State::Shares() const -> std::vector<TeamShare> {
  std::vector<TeamShare> shares;
  for (const auto& organisation : this->organisations) {
    for (const auto* team : organisation->teams) {
      shares.push_back(
          {organisation->id, team->id, team->running, team->limit,
           team->queue.JobCount(),
           DominantShare(team->running.resources, this->policy.capacity),
           team->entitlement});
    }
  }
  return shares;
}

}  // namespace shallotbank::queueing
