#include "minion_table.h"

#include <algorithm>

namespace shallotbank::routing {

auto ServicePool::UsableCount() const -> int {
  int sum = 0;
  for (const auto& pool : this->domains) {
    sum += pool.usable;
  }
  return sum;
}

auto ServicePool::Capacity() const -> int {
  int sum = 0;
  for (const auto& pool : this->domains) {
    sum += pool.capacity;
  }
  return sum;
}

auto ServicePool::FreeSlots() const -> int {
  int sum = 0;
  for (const auto& pool : this->domains) {
    sum += std::max(0, pool.capacity - pool.in_use);
  }
  return sum;
}

auto ServicePool::HasFreeSlot() const -> bool {
  return std::any_of(
      this->domains.begin(), this->domains.end(),
      [](const DomainPool& pool) { return !pool.available.empty(); });
}

auto MinionTable::FindOrAddService(const ServiceName& name) -> ServiceIndex {
  const auto [entry, added] =
      this->by_name.try_emplace(name, this->services.size());
  if (added) {
    this->services.push_back(ServicePool{.name = name});
  }
  return entry->second;
}

auto MinionTable::FindOrAddDomain(ServicePool& service,
                                  const FailureDomain& domain) -> std::size_t {
  const auto found = std::find_if(
      service.domains.begin(), service.domains.end(),
      [&](const DomainPool& pool) { return pool.domain == domain; });
  if (found != service.domains.end()) {
    return static_cast<std::size_t>(found - service.domains.begin());
  }
  service.domains.push_back(DomainPool{.domain = domain});
  return service.domains.size() - 1;
}

auto MinionTable::UpdateRecord(MinionIndex index, const Minion& minion)
    -> void {
  auto& record = this->minions[index];
  const auto service = this->FindOrAddService(minion.service);
  const auto domain =
      this->FindOrAddDomain(this->services[service], minion.domain);
  if (record.service != service || record.domain != domain) {
    record.listed = false;
    this->UpdateCounts(index);
    this->services[record.service].running -= record.in_use;
    this->services[service].running += record.in_use;
    record.service = service;
    record.domain = domain;
  }
  record.minion = minion;
  record.listed = true;
}

auto MinionTable::Update(const std::vector<Minion>& list) -> void {
  for (auto& record : this->minions) {
    record.listed = false;
  }
  for (const auto& minion : list) {
    const auto [entry, added] = this->by_id.try_emplace(
        minion.id, static_cast<MinionIndex>(this->minions.size()));
    if (added) {
      auto& record = this->minions.emplace_back();
      record.service = this->FindOrAddService(minion.service);
      record.domain =
          this->FindOrAddDomain(this->services[record.service], minion.domain);
    }
    this->UpdateRecord(entry->second, minion);
  }
  this->RebuildLiveMinions();
  for (MinionIndex index = 0; index < this->minions.size(); ++index) {
    this->UpdateCounts(index);
  }
}

auto MinionTable::RebuildLiveMinions() -> void {
  for (auto& service : this->services) {
    service.live_minions.clear();
    service.ejected.clear();
  }
  for (MinionIndex index = 0; index < this->minions.size(); ++index) {
    auto& record = this->minions[index];
    if (!record.listed || record.minion.state != MinionState::kLive) {
      record.health = MinionHealth{};
      continue;
    }
    auto& service = this->services[record.service];
    service.live_minions.push_back(index);
    if (record.health.ejected) {
      service.ejected.push_back(index);
    }
  }
}

auto MinionTable::UpdateGroupFlags(GroupRecord& record, TimePoint now) -> bool {
  const bool authority_valid = now < record.group.authority_until;
  const bool reserve_active = now < record.group.reserved_until;
  const bool changed = authority_valid != record.authority_valid ||
                       reserve_active != record.reserve_active;
  record.authority_valid = authority_valid;
  record.reserve_active = reserve_active;
  if (authority_valid) {
    this->next_group_change =
        std::min(this->next_group_change, record.group.authority_until);
  }
  if (reserve_active) {
    this->next_group_change =
        std::min(this->next_group_change, record.group.reserved_until);
  }
  return changed;
}

auto MinionTable::SetGroup(const MinionGroup& group, TimePoint now) -> void {
  auto& record = this->groups[group.id];
  const bool same_reserve =
      record.group.reserved_slots == group.reserved_slots &&
      record.group.reserved_connections == group.reserved_connections;
  record.group = group;
  if (this->UpdateGroupFlags(record, now) || !same_reserve) {
    this->UpdateGroupCounts(group.id);
  }
}

auto MinionTable::RemoveGroup(const ResourceId& id) -> void {
  if (this->groups.erase(id) > 0) {
    this->UpdateGroupCounts(id);
  }
}

auto MinionTable::Refresh(TimePoint now) -> void {
  if (now < this->next_group_change) {
    return;
  }
  this->next_group_change = TimePoint::max();
  for (auto& [id, record] : this->groups) {
    if (this->UpdateGroupFlags(record, now)) {
      this->UpdateGroupCounts(id);
    }
  }
}

auto MinionTable::UpdateGroupCounts(const ResourceId& id) -> void {
  for (MinionIndex index = 0; index < this->minions.size(); ++index) {
    if (this->minions[index].minion.group == id) {
      this->UpdateCounts(index);
    }
  }
}

auto MinionTable::UpdateCounts(MinionIndex index) -> void {
  auto& record = this->minions[index];
  auto& pool = this->services[record.service].domains[record.domain];
  if (record.usable) {
    pool.usable--;
    pool.capacity -= record.capacity;
    pool.in_use -= record.counted_in_use;
  }
  const auto group = this->groups.find(record.minion.group);
  record.authorised =
      group != this->groups.end() && group->second.authority_valid;
  const bool live = record.listed && record.minion.state == MinionState::kLive;
  const bool reserve_active =
      group != this->groups.end() && group->second.reserve_active;
  const int slots = record.minion.slots -
                    (reserve_active ? group->second.group.reserved_slots : 0);
  const int connections =
      record.minion.connections -
      (reserve_active ? group->second.group.reserved_connections : 0);
  record.capacity = std::max(0, std::min(slots, connections));
  record.usable = live && record.authorised && !record.health.ejected;
  record.counted_in_use = record.in_use;
  if (record.usable) {
    pool.usable++;
    pool.capacity += record.capacity;
    pool.in_use += record.counted_in_use;
  }
  this->SetAvailable(index, record.usable && record.in_use < record.capacity);
}

auto MinionTable::SetAvailable(MinionIndex index, bool available) -> void {
  auto& record = this->minions[index];
  auto& list = this->services[record.service].domains[record.domain].available;
  if (available && record.available_position == 0) {
    list.push_back(index);
    record.available_position = list.size();
    return;
  }
  if (!available && record.available_position != 0) {
    const auto last = list.back();
    list[record.available_position - 1] = last;
    this->minions[last].available_position = record.available_position;
    list.pop_back();
    record.available_position = 0;
  }
}

auto MinionTable::FindService(const ServiceName& name) const
    -> std::optional<ServiceIndex> {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? std::nullopt
                                      : std::optional(found->second);
}

auto MinionTable::Find(const MinionId& id) const -> const MinionRecord* {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : &this->minions[found->second];
}

auto MinionTable::AuthorityUntil(MinionIndex index) const -> TimePoint {
  const auto group = this->groups.find(this->minions[index].minion.group);
  return group == this->groups.end() ? TimePoint()
                                     : group->second.group.authority_until;
}

auto MinionTable::SetTypicalLatency(ServiceIndex service, Duration latency)
    -> void {
  this->services[service].typical_latency =
      std::chrono::duration<double>(latency).count();
}

auto MinionTable::CanProbe(MinionIndex index) const -> bool {
  const auto& record = this->minions[index];
  return record.health.ejected && !record.health.probe_running &&
         record.authorised && record.in_use < record.capacity;
}

auto MinionTable::Acquire(MinionIndex index) -> void {
  auto& record = this->minions[index];
  record.in_use++;
  this->services[record.service].running++;
  this->UpdateCounts(index);
}

auto MinionTable::Release(MinionIndex index) -> void {
  auto& record = this->minions[index];
  record.in_use--;
  this->services[record.service].running--;
  this->UpdateCounts(index);
}

auto MinionTable::SetEjected(MinionIndex index, bool ejected) -> void {
  auto& record = this->minions[index];
  if (record.health.ejected == ejected) {
    return;
  }
  record.health.ejected = ejected;
  auto& list = this->services[record.service].ejected;
  if (ejected) {
    list.push_back(index);
  } else {
    list.erase(std::find(list.begin(), list.end(), index));
  }
  this->UpdateCounts(index);
}

}  // namespace shallotbank::routing
