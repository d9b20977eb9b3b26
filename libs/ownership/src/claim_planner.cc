#include "ownership/claim_planner.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "configuration/configuration.h"

namespace shallotbank::ownership {
namespace {

/// Rendezvous hashing score; equal on all hosts and in all releases, unlike
/// std::hash.
auto RendezvousScore(const ProcessId& process, const ResourceId& resource)
    -> std::string {
  auto text = process.Text();
  text += '\0';
  text += resource.Text();
  return configuration::Sha256Hex(text);
}

auto LiveProcesses(const ClaimView& view) -> std::vector<ProcessId> {
  std::vector<ProcessId> alive;
  for (const auto& process : view.processes) {
    if (!process.suspected) {
      alive.push_back(process.id);
    }
  }
  std::sort(alive.begin(), alive.end());
  return alive;
}

using LoadMap = std::map<ProcessId, std::size_t>;

/// Counts the resources owned by each live process.
auto CountLoads(const ClaimView& view) -> LoadMap {
  LoadMap loads;
  for (const auto& process : LiveProcesses(view)) {
    loads.emplace(process, 0);
  }
  for (const auto& resource : view.resources) {
    const auto* ownership = view.claims.Find(resource);
    if (ownership == nullptr) {
      continue;
    }
    const auto load = loads.find(ownership->owner);
    if (load != loads.end()) {
      ++load->second;
    }
  }
  return loads;
}

/// Ranks the live processes by load, then by score; lowest first.
auto RankProcesses(const ResourceId& resource, const LoadMap& loads)
    -> std::vector<ProcessId> {
  struct Rank {
    std::size_t load;
    std::string score;
    ProcessId process;
  };
  std::vector<Rank> ranks;
  for (const auto& [process, load] : loads) {
    ranks.push_back({load, RendezvousScore(process, resource), process});
  }
  std::sort(ranks.begin(), ranks.end(),
            [](const Rank& left, const Rank& right) {
              return std::tie(left.load, left.score) <
                     std::tie(right.load, right.score);
            });
  std::vector<ProcessId> order;
  order.reserve(ranks.size());
  for (auto& rank : ranks) {
    order.push_back(std::move(rank.process));
  }
  return order;
}

}  // namespace

auto ClaimPlanner::IsFree(const ResourceId& resource,
                          const ClaimView& view,
                          ResourceState& entry,
                          TimePoint now) const -> bool {
  const auto* ownership = view.claims.Find(resource);
  if (ownership == nullptr) {
    return true;
  }
  const auto owner = std::find_if(
      view.processes.begin(), view.processes.end(),
      [&](const Process& process) { return process.id == ownership->owner; });
  if (owner != view.processes.end()) {
    entry.unknown_owner_since.reset();
    return owner->suspected && owner->id != this->self;
  }
  if (!entry.unknown_owner_since) {
    entry.unknown_owner_since = now;
  }
  return now - *entry.unknown_owner_since >= kUnknownOwnerDelay;
}

auto ClaimPlanner::FreeSince(const ResourceId& resource,
                             const ClaimView& view,
                             TimePoint now) -> std::optional<TimePoint> {
  auto& entry = this->resource_states[resource];
  if (!this->IsFree(resource, view, entry, now)) {
    entry.free_since.reset();
    return std::nullopt;
  }
  const auto epoch = view.claims.EpochOf(resource);
  if (!entry.free_since || entry.free_epoch != epoch) {
    entry.free_since = now;
    entry.free_epoch = epoch;
  }
  return entry.free_since;
}

auto ClaimPlanner::TryDecide(const ResourceId& resource,
                             Epoch epoch,
                             TimePoint now) -> bool {
  auto& entry = this->resource_states[resource];
  if (entry.decided_at && entry.decided_epoch == epoch &&
      now - *entry.decided_at < kRetryAfter) {
    return false;
  }
  entry.decided_at = now;
  entry.decided_epoch = epoch;
  return true;
}

auto ClaimPlanner::DetectChanges(const ClaimView& view, TimePoint now) -> void {
  ObservedState current;
  current.alive = LiveProcesses(view);
  for (const auto& resource : view.resources) {
    current.epochs.emplace(resource, view.claims.EpochOf(resource));
  }
  if (!this->stable_since || !(current == this->last_observed)) {
    this->last_observed = std::move(current);
    this->stable_since = now;
  }
}

auto ClaimPlanner::PlanHandOver(const ClaimView& view, TimePoint now)
    -> std::optional<ClaimDecision::Step> {
  const auto loads = CountLoads(view);
  const auto own_load = loads.find(this->self);
  if (own_load == loads.end() ||
      now - *this->stable_since < kStabilisationTime) {
    return std::nullopt;
  }
  const auto lowest = std::min_element(loads.begin(), loads.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second < right.second;
                                       })
                          ->second;
  // With a difference of one, a hand-over would only swap the two loads.
  if (own_load->second < lowest + 2) {
    return std::nullopt;
  }
  // Releases the resource with the lowest score for this process.
  std::optional<ClaimDecision::Step> chosen;
  std::string chosen_score;
  for (const auto& resource : view.resources) {
    const auto* ownership = view.claims.Find(resource);
    if (ownership == nullptr) {
      return std::nullopt;
    }
    auto score = RendezvousScore(this->self, resource);
    if (ownership->owner == this->self && (!chosen || score < chosen_score)) {
      chosen = ClaimDecision::Step{resource, ownership->epoch};
      chosen_score = std::move(score);
    }
  }
  return chosen;
}

auto ClaimPlanner::Plan(const ClaimView& view, TimePoint now) -> ClaimDecision {
  ClaimDecision decision;
  this->DetectChanges(view, now);
  std::erase_if(this->resource_states, [&](const auto& entry) {
    return std::find(view.resources.begin(), view.resources.end(),
                     entry.first) == view.resources.end();
  });
  // Includes what the first-ranked processes are about to claim, so that many
  // free resources are distributed evenly from the start.
  auto loads = CountLoads(view);
  for (const auto& resource : view.resources) {
    const auto free_since = this->FreeSince(resource, view, now);
    if (!free_since) {
      continue;
    }
    const auto order = RankProcesses(resource, loads);
    const auto place = std::find(order.begin(), order.end(), this->self);
    if (place == order.end()) {
      continue;
    }
    ++loads[order.front()];
    const auto epoch = view.claims.EpochOf(resource);
    const auto delay = kRankDelay * (place - order.begin());
    if (now - *free_since >= delay && this->TryDecide(resource, epoch, now)) {
      decision.claims.push_back({resource, epoch});
    }
  }
  if (this->balance == Balance::kEven && decision.claims.empty()) {
    const auto step = this->PlanHandOver(view, now);
    if (step && this->TryDecide(step->resource, step->epoch, now)) {
      decision.releases.push_back(*step);
    }
  }
  return decision;
}

auto ClaimPlanner::Stop(const ClaimView& view, TimePoint now) -> ClaimDecision {
  ClaimDecision decision;
  for (const auto& [resource, ownership] : view.claims.All()) {
    const auto is_planned =
        std::find(view.resources.begin(), view.resources.end(), resource) !=
        view.resources.end();
    if (is_planned && ownership.owner == this->self &&
        this->TryDecide(resource, ownership.epoch, now)) {
      decision.releases.push_back({resource, ownership.epoch});
    }
  }
  return decision;
}

}  // namespace shallotbank::ownership
