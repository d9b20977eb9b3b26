#include "minion_groups.h"

#include <algorithm>
#include <string>

#include "configuration/configuration.h"

namespace shallotbank::entry {
namespace {

// Two for each of the six entry hosts of today, so that the groups of a lost
// host are shared by several others.
constexpr int kGroups = 12;
constexpr std::chrono::milliseconds kQuestionInterval{500};
constexpr std::chrono::milliseconds kQuestionTimeout{1000};
// A log read that is older than this no longer confirms ownership for long.
constexpr std::chrono::seconds kRecentRead{1};

auto ToWitness(const ProcessId& process) -> membership::WitnessId {
  return membership::WitnessId(process.Text());
}

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

auto MinionGroups::Gained(const ResourceId& id,
                          Epoch epoch,
                          bool is_takeover,
                          TimePoint now) -> void {
  std::vector<membership::WitnessId> witnesses{
      ToWitness(this->context.process)};
  for (const auto* peer : this->EntryPeers()) {
    witnesses.push_back(ToWitness(peer->state.process));
  }
  Group group{epoch, is_takeover, /*is_draining=*/false,
              membership::Authority(epoch, witnesses, is_takeover),
              this->context.log.State()
                  ->Configuration()
                  .Get()
                  .LongestRequestDeadline()};
  group.authority.ConfirmByWitness(ToWitness(this->context.process), epoch, now,
                                   now);
  this->owned.insert_or_assign(id, std::move(group));
  this->Witness(id, epoch);
  this->next_question = now;
}

auto MinionGroups::Lost(const ResourceId& group) -> void {
  this->owned.erase(group);
}

auto MinionGroups::Drain(const ResourceId& id) -> void {
  const auto found = this->owned.find(id);
  if (found != this->owned.end()) {
    found->second.is_draining = true;
  }
}

auto MinionGroups::Witness(const ResourceId& id, Epoch epoch) -> Epoch {
  auto& highest = this->highest_seen[id];
  highest = std::max(highest, epoch);
  if (const auto* state = this->context.log.State()) {
    highest = std::max(highest, state->Claims().EpochOf(id));
  }
  const auto group = this->owned.find(id);
  if (group != this->owned.end() && highest > group->second.epoch) {
    const auto now = SystemClock().Now();
    group->second.authority.ConfirmByWitness(ToWitness(this->context.process),
                                             highest, now, now);
  }
  return highest;
}

auto MinionGroups::EntryPeers() const -> std::vector<const daemon::PeerInfo*> {
  std::vector<const daemon::PeerInfo*> result;
  for (const auto& [process, peer] : this->context.peers.Peers()) {
    if (peer.state.role == rpc::Role::kEntry) {
      result.push_back(&peer);
    }
  }
  return result;
}

auto MinionGroups::Tick(TimePoint now) -> void {
  const auto* state = this->context.log.State();
  if (state == nullptr) {
    return;
  }
  const auto read_at = this->context.log.LastGoodRead();
  const bool asks = now >= this->next_question;
  for (auto& [id, group] : this->owned) {
    group.authority.ConfirmByLog(state->Claims().EpochOf(id), read_at);
    const auto own = ToWitness(this->context.process);
    group.authority.ConfirmByWitness(own, this->highest_seen[id], now, now);
    const bool needs_witnesses =
        now - read_at > kRecentRead ||
        (group.is_takeover && !group.authority.MayStartContested(now));
    if (asks && needs_witnesses) {
      this->AskWitnesses(id, group);
    }
  }
  if (asks) {
    this->next_question = now + kQuestionInterval;
  }
}

auto MinionGroups::AskWitnesses(const ResourceId& id, const Group& group)
    -> void {
  const auto sent = SystemClock().Now();
  for (const auto* peer : this->EntryPeers()) {
    this->context.peers.Call<rpc::WitnessRequest>(
        peer->address, {id, group.epoch}, kQuestionTimeout,
        [this, id, asked = group.epoch, process = peer->state.process,
         sent](const rpc::CallResult<rpc::WitnessResponse>& result) {
          if (result.response) {
            this->Confirm(id, asked, process, result.response->highest_seen,
                          sent);
          }
        });
  }
}

auto MinionGroups::Confirm(const ResourceId& id,
                           Epoch asked,
                           const ProcessId& peer,
                           Epoch highest,
                           TimePoint sent) -> void {
  const auto found = this->owned.find(id);
  if (found != this->owned.end() && found->second.epoch == asked) {
    found->second.authority.ConfirmByWitness(ToWitness(peer), highest, sent,
                                             SystemClock().Now());
  }
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

// Minions know no epochs, so after a takeover the group is left alone until the
// previous owner cannot act any more and its requests have ended.
auto MinionGroups::UsableFrom(const Group& group) const
    -> std::optional<TimePoint> {
  if (!group.is_takeover) {
    return TimePoint();
  }
  const auto contested_from = group.authority.ContestedFrom();
  if (!contested_from) {
    return std::nullopt;
  }
  return *contested_from + group.longest_request;
}

auto MinionGroups::Usable(TimePoint now) const
    -> std::vector<routing::MinionGroup> {
  std::vector<routing::MinionGroup> usable;
  for (const auto& [id, group] : this->owned) {
    const auto usable_from = this->UsableFrom(group);
    if (group.is_draining || !usable_from || now < *usable_from) {
      continue;
    }
    routing::MinionGroup entry;
    entry.id = id;
    entry.authority_until = group.authority.ValidUntil();
    if (group.is_takeover) {
      // One request of a paused owner may have passed its check before the
      // pause and be sent after it.
      entry.reserved_slots = 1;
      entry.reserved_connections = 1;
      entry.reserved_until =
          *usable_from + membership::kAuthorityDuration + group.longest_request;
    }
    usable.push_back(entry);
  }
  return usable;
}

}  // namespace shallotbank::entry
