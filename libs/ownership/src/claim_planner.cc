#include "ownership/claim_planner.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "configuration/configuration.h"

namespace shallotbank::ownership {
namespace {

/// The same on all hosts and releases, unlike std::hash.
auto Score(const ProcessId& process, const ResourceId& resource)
    -> std::string {
  auto text = process.Text();
  text += '\0';
  text += resource.Text();
  return configuration::Sha256Hex(text);
}

auto AliveProcesses(const ClaimView& view) -> std::vector<ProcessId> {
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

/// Resources owned by each process that is alive.
auto Loads(const ClaimView& view) -> LoadMap {
  LoadMap loads;
  for (const auto& process : AliveProcesses(view)) {
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

/// The processes that are alive, best first: by load, then by rendezvous
/// hashing.
auto Ranking(const ResourceId& resource, const LoadMap& loads)
    -> std::vector<ProcessId> {
  struct Rank {
    std::size_t load;
    std::string score;
    ProcessId process;
  };
  std::vector<Rank> ranks;
  for (const auto& [process, load] : loads) {
    ranks.push_back({load, Score(process, resource), process});
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
                          Progress& entry,
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
    return owner->suspected && owner->id != this->own;
  }
  if (!entry.unknown_owner_since) {
    entry.unknown_owner_since = now;
  }
  return now - *entry.unknown_owner_since >= kUnknownOwnerDelay;
}

auto ClaimPlanner::FreeSince(const ResourceId& resource,
                             const ClaimView& view,
                             TimePoint now) -> std::optional<TimePoint> {
  auto& entry = this->progress[resource];
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

auto ClaimPlanner::Decide(const ResourceId& resource,
                          Epoch epoch,
                          TimePoint now) -> bool {
  auto& entry = this->progress[resource];
  if (entry.decided_at && entry.decided_epoch == epoch &&
      now - *entry.decided_at < kRetryAfter) {
    return false;
  }
  entry.decided_at = now;
  entry.decided_epoch = epoch;
  return true;
}

auto ClaimPlanner::NoteChanges(const ClaimView& view, TimePoint now) -> void {
  Picture current;
  current.alive = AliveProcesses(view);
  for (const auto& resource : view.resources) {
    current.epochs.emplace(resource, view.claims.EpochOf(resource));
  }
  if (!this->settled_since || !(current == this->picture)) {
    this->picture = std::move(current);
    this->settled_since = now;
  }
}

auto ClaimPlanner::HandOver(const ClaimView& view, TimePoint now)
    -> std::optional<ClaimDecision::Step> {
  const auto loads = Loads(view);
  const auto own_load = loads.find(this->own);
  if (own_load == loads.end() || now - *this->settled_since < kSettleTime) {
    return std::nullopt;
  }
  const auto lowest = std::min_element(loads.begin(), loads.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second < right.second;
                                       })
                          ->second;
  // With a difference of one, a move would only swap the two loads.
  if (own_load->second < lowest + 2) {
    return std::nullopt;
  }
  // The process that gets the highest score for it would gain most from it.
  std::optional<ClaimDecision::Step> worst;
  std::string worst_score;
  for (const auto& resource : view.resources) {
    const auto* ownership = view.claims.Find(resource);
    if (ownership == nullptr) {
      return std::nullopt;
    }
    auto score = Score(this->own, resource);
    if (ownership->owner == this->own && (!worst || score < worst_score)) {
      worst = ClaimDecision::Step{resource, ownership->epoch};
      worst_score = std::move(score);
    }
  }
  return worst;
}

auto ClaimPlanner::Plan(const ClaimView& view, TimePoint now) -> ClaimDecision {
  ClaimDecision decision;
  this->NoteChanges(view, now);
  std::erase_if(this->progress, [&](const auto& entry) {
    return std::find(view.resources.begin(), view.resources.end(),
                     entry.first) == view.resources.end();
  });
  // Counts what the first in rank is about to claim, so that many free
  // resources are spread evenly from the start.
  auto loads = Loads(view);
  for (const auto& resource : view.resources) {
    const auto free_since = this->FreeSince(resource, view, now);
    if (!free_since) {
      continue;
    }
    const auto order = Ranking(resource, loads);
    const auto place = std::find(order.begin(), order.end(), this->own);
    if (place == order.end()) {
      continue;
    }
    ++loads[order.front()];
    const auto epoch = view.claims.EpochOf(resource);
    const auto delay = kRankDelay * (place - order.begin());
    if (now - *free_since >= delay && this->Decide(resource, epoch, now)) {
      decision.claims.push_back({resource, epoch});
    }
  }
  if (this->balance == Balance::kEven && decision.claims.empty()) {
    const auto step = this->HandOver(view, now);
    if (step && this->Decide(step->resource, step->epoch, now)) {
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
    if (is_planned && ownership.owner == this->own &&
        this->Decide(resource, ownership.epoch, now)) {
      decision.releases.push_back({resource, ownership.epoch});
    }
  }
  return decision;
}

}  // namespace shallotbank::ownership
