#include "queueing/queue_policy.h"

#include <cmath>
#include <unordered_set>

#include "bounds.h"

namespace shallotbank::queueing {
namespace {

namespace leaf = boost::leaf;

auto Refuse(std::string field, std::string message) -> leaf::error_id {
  return leaf::new_error(PolicyError{std::move(field), std::move(message)});
}

auto IsValidWeight(double weight) -> bool {
  return std::isfinite(weight) && weight >= kMinWeight && weight <= kMaxWeight;
}

auto ValidateScoring(const QueuePolicy& policy) -> leaf::result<void> {
  const auto& scoring = policy.scoring;
  if (!std::isfinite(scoring.waiting_weight) || scoring.waiting_weight < 0) {
    return Refuse("scoring.waiting_weight", "must be 0 or more");
  }
  if (!std::isfinite(scoring.share_weight) || scoring.share_weight < 0) {
    return Refuse("scoring.share_weight", "must be 0 or more");
  }
  if (scoring.waiting_scale <= Duration::zero()) {
    return Refuse("scoring.waiting_scale", "must be above zero");
  }
  if (!(policy.urgent_allowance >= 0 && policy.urgent_allowance <= 1)) {
    return Refuse("urgent_allowance", "must be between 0 and 1");
  }
  if (!(policy.preemption_ratio >= 1)) {
    return Refuse("preemption_ratio", "must be 1 or more");
  }
  if (policy.reservation_after < Duration::zero()) {
    return Refuse("reservation_after", "must not be negative");
  }
  if (policy.reservation_after_below_share < Duration::zero()) {
    return Refuse("reservation_after_below_share", "must not be negative");
  }
  return {};
}

auto ValidateTeam(const TeamPolicy& team,
                  const std::string& field,
                  std::unordered_set<TeamId>& seen) -> leaf::result<void> {
  if (team.id.IsEmpty()) {
    return Refuse(field + ".id", "must not be empty");
  }
  if (!seen.insert(team.id).second) {
    return Refuse(field + ".id", "team " + team.id.Text() + " appears twice");
  }
  if (!IsValidWeight(team.weight)) {
    return Refuse(field + ".weight", "must be between 0.001 and 1000000");
  }
  if (!IsValidLimit(team.limit)) {
    return Refuse(field + ".limit", "must be between 0 and 2^40");
  }
  return {};
}

}  // namespace

auto Validate(const QueuePolicy& policy) -> leaf::result<void> {
  BOOST_LEAF_CHECK(ValidateScoring(policy));
  if (!IsValidLimit({policy.capacity, 0})) {
    return Refuse("capacity", "must be between 0 and 2^40");
  }
  std::unordered_set<OrganisationId> organisations;
  std::unordered_set<TeamId> teams;
  for (std::size_t k = 0; k < policy.organisations.size(); ++k) {
    const auto& organisation = policy.organisations[k];
    const auto field = "organisations[" + std::to_string(k) + "]";
    if (organisation.id.IsEmpty()) {
      return Refuse(field + ".id", "must not be empty");
    }
    if (!organisations.insert(organisation.id).second) {
      return Refuse(field + ".id", "organisation " + organisation.id.Text() +
                                       " appears twice");
    }
    if (!IsValidWeight(organisation.weight)) {
      return Refuse(field + ".weight", "must be between 0.001 and 1000000");
    }
    for (std::size_t t = 0; t < organisation.teams.size(); ++t) {
      BOOST_LEAF_CHECK(ValidateTeam(organisation.teams[t],
                                    field + ".teams[" + std::to_string(t) + "]",
                                    teams));
    }
  }
  return {};
}

}  // namespace shallotbank::queueing
