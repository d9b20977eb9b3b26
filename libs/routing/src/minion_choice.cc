// The choice between the minions that have a free slot. Two are drawn at
// random and the better one is taken. A scan of all would gain little: every
// candidate has a free slot, so the choice does not decide whether a request
// waits, only how loaded and how quick its minion is. The draw costs the same
// at any number of minions and keeps samples coming from all of them.
#include <algorithm>

#include "minion_table.h"

namespace shallotbank::routing {
namespace {

// A latency without a sample for this long no longer counts against a minion.
constexpr Duration kLatencyAge = std::chrono::seconds(10);
// A minion that fails fast would otherwise look quick and attract requests.
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

auto MinionTable::CanPlace(ServiceIndex service,
                           const std::vector<MinionIndex>& tried) const
    -> bool {
  const auto& pools = this->services[service].domains;
  return std::any_of(pools.begin(), pools.end(), [&](const DomainPool& pool) {
    return HasCandidate(pool, tried);
  });
}

auto MinionTable::HasOther(ServiceIndex service,
                           const std::vector<MinionIndex>& tried) const
    -> bool {
  const auto& pool = this->services[service];
  const auto usable_tried =
      std::count_if(tried.begin(), tried.end(), [&](MinionIndex index) {
        const auto& record = this->minions[index];
        return record.usable && record.service == service;
      });
  return pool.Usable() > usable_tried;
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
        Utilisation(pool) < this->policy.domain_overload) {
      return &pool;
    }
    if (best == nullptr || Utilisation(pool) < Utilisation(*best)) {
      best = &pool;
    }
  }
  return best;
}

auto MinionTable::Score(MinionIndex index, TimePoint now) const -> double {
  const auto& record = this->minions[index];
  const auto& health = record.health;
  const bool known =
      health.latency > 0 && now - health.last_sample < kLatencyAge;
  const double load =
      static_cast<double>(record.in_use + 1) / std::max(1, record.capacity);
  const double latency =
      known ? health.latency : this->services[record.service].typical_latency;
  return load * std::max(latency, 1e-9) * (1 + kFailureWeight * health.failure);
}

auto MinionTable::ChooseIn(const std::vector<MinionIndex>& candidates,
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
  return this->Score(left, now) <= this->Score(right, now) ? left : right;
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
    return this->ChooseIn(pool->available, now);
  }
  std::vector<MinionIndex> candidates;
  std::copy_if(pool->available.begin(), pool->available.end(),
               std::back_inserter(candidates),
               [&](MinionIndex index) { return !Contains(tried, index); });
  return this->ChooseIn(candidates, now);
}

}  // namespace shallotbank::routing
