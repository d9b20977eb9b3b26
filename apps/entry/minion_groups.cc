#include "minion_groups.h"

#include <cstring>
#include <string>

#include "configuration/configuration.h"

namespace shallotbank::entry {
namespace {

// Two for each of the six entry hosts of today, so that the groups of a lost
// host are shared by several others.
constexpr int kGroups = 12;
constexpr std::chrono::seconds kAuthority{3};
constexpr std::chrono::seconds kLogDownAuthority{1};

auto NameOf(int number) -> ResourceId {
  return ResourceId("minion-group-" + std::to_string(number));
}

}  // namespace

auto MinionGroups::All() -> std::vector<ResourceId> {
  std::vector<ResourceId> groups;
  for (int number = 0; number < kGroups; ++number) {
    groups.push_back(NameOf(number));
  }
  return groups;
}

auto MinionGroups::GroupOf(const MinionId& minion) -> ResourceId {
  constexpr std::size_t kHexDigits = 7;
  constexpr int kBase = 16;
  const auto hash =
      std::stoul(configuration::Sha256Hex(minion.Text()).substr(0, kHexDigits),
                 nullptr, kBase);
  return NameOf(static_cast<int>(hash % kGroups));
}

// Minions know no epochs, so after a takeover the group is left alone until the
// previous owner cannot act any more and its requests have ended.
auto MinionGroups::Gained(const ResourceId& group,
                          bool is_takeover,
                          TimePoint now) -> void {
  Group entry;
  entry.usable_from = now;
  if (is_takeover) {
    const auto longest = this->context.log.State()
                             ->Configuration()
                             .Get()
                             .LongestRequestDeadline();
    entry.usable_from = now + kAuthority + longest;
    // One request of a paused owner may pass its check and be sent late.
    entry.reserved_until = entry.usable_from + kAuthority + longest;
  }
  this->owned[group] = entry;
}

auto MinionGroups::Lost(const ResourceId& group) -> void {
  this->owned.erase(group);
}

auto MinionGroups::Minions() const -> std::vector<routing::Minion> {
  std::vector<routing::Minion> minions;
  for (const auto& [name, host] : this->context.hosts.Table().Hosts()) {
    if (host.role != platform::HostRole::kMinion) {
      continue;
    }
    const MinionId id(name);
    minions.push_back({.id = id,
                       .service = host.service,
                       .domain = host.domain,
                       .group = GroupOf(id),
                       .slots = host.slots,
                       .connections = host.connections,
                       .state = host.is_leaving ? routing::MinionState::kLeaving
                                                : routing::MinionState::kLive});
  }
  return minions;
}

auto MinionGroups::AuthorityUntil(TimePoint now) -> TimePoint {
  const auto by_log = this->context.log.LastGoodRead() + kAuthority;
  if (by_log > now) {
    return by_log;
  }
  // Nobody can claim while nobody can read the log.
  const auto judgement = this->authorization.Judge();
  const bool is_log_down =
      judgement.is_fresh && std::strcmp(judgement.reason, "log-down") == 0;
  return is_log_down ? now + kLogDownAuthority : by_log;
}

auto MinionGroups::Usable(TimePoint now) -> std::vector<routing::MinionGroup> {
  std::vector<routing::MinionGroup> usable;
  const auto authority_until = this->AuthorityUntil(now);
  for (const auto& [id, group] : this->owned) {
    if (now < group.usable_from) {
      continue;
    }
    routing::MinionGroup entry;
    entry.id = id;
    entry.authority_until = authority_until;
    if (now < group.reserved_until) {
      entry.reserved_slots = 1;
      entry.reserved_connections = 1;
      entry.reserved_until = group.reserved_until;
    }
    usable.push_back(entry);
  }
  return usable;
}

}  // namespace shallotbank::entry
