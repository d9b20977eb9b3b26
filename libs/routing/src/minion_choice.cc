// Selection among the minions with a free slot: of two random candidates, the
// one with the lower cost is chosen. A scan of all candidates would gain
// little. Each of them has a free slot, so the choice affects only the load and
// latency of the minion, not whether the request is queued. The random choice
// takes the same time for any number of minions and keeps all of them sampled.
#include <algorithm>

#include "minion_table.h"

namespace shallotbank::routing {
namespace {

// A latency whose last sample is older than this is ignored.
constexpr Duration kMaxLatencyAge = std::chrono::seconds(10);
// Without this penalty, a minion that fails fast would appear to have a low
// latency and attract requests.
constexpr double kFailureWeight = 8.0;

auto Contains(const std::vector<MinionIndex>& list, MinionIndex index) -> bool {
  return std::find(list.begin(), list.end(), index) != list.end();
}

auto HasCandidate(const DomainPool& pool, const std::vector<MinionIndex>& tried)
    -> bool {
  if (pool.available.size() > tried.size()) {
    return true;
  }
  return std::any_of(
      pool.available.begin(), pool.available.end(),
      [&](MinionIndex index) { return !Contains(tried, index); });
}

auto Utilisation(const DomainPool& pool) -> double {
  return pool.capacity == 0 ? 1.0
                            : static_cast<double>(pool.in_use) / pool.capacity;
}

}  // namespace

auto MinionTable::CanDispatch(ServiceIndex service,
                              const std::vector<MinionIndex>& tried) const
    -> bool {
  const auto& pools = this->services[service].domains;
  return std::any_of(pools.begin(), pools.end(), [&](const DomainPool& pool) {
    return HasCandidate(pool, tried);
  });
}

auto MinionTable::HasUntried(ServiceIndex service,
                             const std::vector<MinionIndex>& tried) const
    -> bool {
  const auto& pool = this->services[service];
  const auto usable_tried =
      std::count_if(tried.begin(), tried.end(), [&](MinionIndex index) {
        const auto& record = this->minions[index];
        return record.usable && record.service == service;
      });
  return pool.UsableCount() > usable_tried;
}

auto MinionTable::ChoosePool(const ServicePool& service,
                             const FailureDomain& domain,
                             const std::vector<MinionIndex>& tried) const
    -> const DomainPool* {
  const DomainPool* best = nullptr;
  for (const auto& pool : service.domains) {
    if (!HasCandidate(pool, tried)) {
      continue;
    }
    if (pool.domain == domain &&
        Utilisation(pool) < this->policy.local_domain_max_utilisation) {
      return &pool;
    }
    if (best == nullptr || Utilisation(pool) < Utilisation(*best)) {
      best = &pool;
    }
  }
  return best;
}

auto MinionTable::Cost(MinionIndex index, TimePoint now) const -> double {
  const auto& record = this->minions[index];
  const auto& health = record.health;
  const bool known =
      health.latency > 0 && now - health.last_sample < kMaxLatencyAge;
  const double load =
      static_cast<double>(record.in_use + 1) / std::max(1, record.capacity);
  const double latency =
      known ? health.latency : this->services[record.service].typical_latency;
  return load * std::max(latency, 1e-9) *
         (1 + kFailureWeight * health.failure_rate);
}

auto MinionTable::ChooseFrom(const std::vector<MinionIndex>& candidates,
                             TimePoint now) -> MinionIndex {
  const auto count = candidates.size();
  if (count == 1) {
    return candidates.front();
  }
  const auto first =
      std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
  auto second =
      std::uniform_int_distribution<std::size_t>(0, count - 2)(this->random);
  if (second >= first) {
    ++second;
  }
  const auto left = candidates[first];
  const auto right = candidates[second];
  return this->Cost(left, now) <= this->Cost(right, now) ? left : right;
}

auto MinionTable::Choose(ServiceIndex service,
                         const FailureDomain& domain,
                         const std::vector<MinionIndex>& tried,
                         TimePoint now) -> std::optional<MinionIndex> {
  const auto* pool = this->ChoosePool(this->services[service], domain, tried);
  if (pool == nullptr) {
    return std::nullopt;
  }
  if (tried.empty()) {
    return this->ChooseFrom(pool->available, now);
  }
  std::vector<MinionIndex> candidates;
  std::copy_if(pool->available.begin(), pool->available.end(),
               std::back_inserter(candidates),
               [&](MinionIndex index) { return !Contains(tried, index); });
  return this->ChooseFrom(candidates, now);
}

}  // namespace shallotbank::routing
