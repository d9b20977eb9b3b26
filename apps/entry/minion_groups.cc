#include "minion_groups.h"

#include <algorithm>
#include <string>

#include "configuration/configuration.h"

namespace shallotbank::entry {
namespace {

// Two for each of the current six entry hosts, so that the groups of a failed
// host are distributed over several others.
constexpr int kGroupCount = 12;
constexpr std::chrono::milliseconds kWitnessQueryInterval{500};
constexpr std::chrono::milliseconds kWitnessQueryTimeout{1000};
// If the latest log read is older than this, the ownership that it confirms
// expires soon, so the witnesses are queried as well.
constexpr std::chrono::seconds kMaxReadAge{1};

auto ToWitness(const ProcessId& process) -> membership::WitnessId {
  return membership::WitnessId(process.Text());
}

auto GroupId(int group_number) -> ResourceId {
  return ResourceId("minion-group-" + std::to_string(group_number));
}

}  // namespace

auto MinionGroups::All() -> std::vector<ResourceId> {
  std::vector<ResourceId> groups;
  for (int group_number = 0; group_number < kGroupCount; ++group_number) {
    groups.push_back(GroupId(group_number));
  }
  return groups;
}

auto MinionGroups::GroupOf(const MinionId& minion) -> ResourceId {
  constexpr std::size_t kHexDigits = 7;
  constexpr int kBase = 16;
  const auto hash =
      std::stoul(configuration::Sha256Hex(minion.Text()).substr(0, kHexDigits),
                 nullptr, kBase);
  return GroupId(static_cast<int>(hash % kGroupCount));
}

auto MinionGroups::TakeOwnership(const ResourceId& id,
                                 Epoch epoch,
                                 bool is_takeover,
                                 TimePoint now) -> void {
  std::vector<membership::WitnessId> witnesses{
      ToWitness(this->context.process)};
  for (const auto* peer : this->EntryPeers()) {
    witnesses.push_back(ToWitness(peer->state.process));
  }
  Group group{
      epoch, is_takeover, /*is_draining=*/false,
      membership::Authority(epoch, witnesses, is_takeover),
      this->context.log.State()->Configuration().Get().MaxRequestDeadline()};
  group.authority.ConfirmByWitness(ToWitness(this->context.process), epoch, now,
                                   now);
  this->owned.insert_or_assign(id, std::move(group));
  this->ObserveEpoch(id, epoch);
  this->next_witness_query = now;
}

auto MinionGroups::DropOwnership(const ResourceId& group) -> void {
  this->owned.erase(group);
}

auto MinionGroups::Drain(const ResourceId& id) -> void {
  const auto found = this->owned.find(id);
  if (found != this->owned.end()) {
    found->second.is_draining = true;
  }
}

auto MinionGroups::ObserveEpoch(const ResourceId& id, Epoch epoch) -> Epoch {
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
  const auto read_at = this->context.log.LastCurrentRead();
  const bool is_query_due = now >= this->next_witness_query;
  for (auto& [id, group] : this->owned) {
    group.authority.ConfirmByLog(state->Claims().EpochOf(id), read_at);
    const auto own_witness = ToWitness(this->context.process);
    group.authority.ConfirmByWitness(own_witness, this->highest_seen[id], now,
                                     now);
    const bool needs_witnesses =
        now - read_at > kMaxReadAge ||
        (group.is_takeover && !group.authority.MayStartContested(now));
    if (is_query_due && needs_witnesses) {
      this->QueryWitnesses(id, group);
    }
  }
  if (is_query_due) {
    this->next_witness_query = now + kWitnessQueryInterval;
  }
}

auto MinionGroups::QueryWitnesses(const ResourceId& id, const Group& group)
    -> void {
  const auto sent_at = SystemClock().Now();
  for (const auto* peer : this->EntryPeers()) {
    this->context.peers.Call<rpc::WitnessRequest>(
        peer->address, {id, group.epoch}, kWitnessQueryTimeout,
        [this, id, queried_epoch = group.epoch, process = peer->state.process,
         sent_at](const rpc::CallResult<rpc::WitnessResponse>& result) {
          if (result.response) {
            this->ConfirmByPeer(id, queried_epoch, process,
                                result.response->highest_seen, sent_at);
          }
        });
  }
}

auto MinionGroups::ConfirmByPeer(const ResourceId& id,
                                 Epoch queried_epoch,
                                 const ProcessId& peer,
                                 Epoch highest,
                                 TimePoint sent_at) -> void {
  const auto found = this->owned.find(id);
  if (found != this->owned.end() && found->second.epoch == queried_epoch) {
    found->second.authority.ConfirmByWitness(ToWitness(peer), highest, sent_at,
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

// Minions do not check epochs. After a takeover the group is therefore not used
// until the authority of the previous owner has expired and its requests have
// completed.
auto MinionGroups::UsableFrom(const Group& group) const
    -> std::optional<TimePoint> {
  if (!group.is_takeover) {
    return TimePoint();
  }
  const auto contested_from = group.authority.ContestedFrom();
  if (!contested_from) {
    return std::nullopt;
  }
  return *contested_from + group.max_request_deadline;
}

auto MinionGroups::UsableGroups(TimePoint now) const
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
      // A previous owner that was paused between its authority check and the
      // send may still send one request.
      entry.reserved_slots = 1;
      entry.reserved_connections = 1;
      entry.reserved_until = *usable_from + membership::kAuthorityDuration +
                             group.max_request_deadline;
    }
    usable.push_back(entry);
  }
  return usable;
}

}  // namespace shallotbank::entry
