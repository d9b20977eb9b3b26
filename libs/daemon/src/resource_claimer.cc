#include "daemon/resource_claimer.h"

#include "base/log.h"
#include "configuration/configuration.h"

namespace shallotbank::daemon {
namespace {

// Peers get this long to be heard after the start of this process.
constexpr std::chrono::milliseconds kStartGrace{1500};
// Processes of lower preference wait, so that they rarely race for a claim.
constexpr std::chrono::milliseconds kDelayPerRank{150};
// A claim needs a view of the log that is at least this recent.
constexpr std::chrono::seconds kFreshView{1};
constexpr std::chrono::seconds kClaimTimeout{5};

auto Preference(const ResourceId& resource, const ProcessId& process)
    -> std::string {
  return configuration::Sha256Hex(resource.Text() + " " + process.Text());
}

}  // namespace

ResourceClaimer::ResourceClaimer(ProcessId process,
                                 rpc::Role role,
                                 LogView& log,
                                 PeerHub& peers,
                                 Events events)
    : process(std::move(process)),
      role(role),
      log(log),
      peers(peers),
      events(std::move(events)),
      started_at(SystemClock().Now()) {}

auto ResourceClaimer::SetResources(const std::vector<ResourceId>& wanted)
    -> void {
  for (const auto& id : wanted) {
    this->resources.try_emplace(id);
  }
}

auto ResourceClaimer::Tick(TimePoint now) -> void {
  const auto* state = this->log.State();
  if (state == nullptr) {
    return;
  }
  for (auto& [id, resource] : this->resources) {
    this->Update(id, resource);
    const auto* ownership = state->Claims().Find(id);
    if (resource.own_epoch != 0 || resource.is_claiming || this->releasing ||
        !this->IsClaimable(ownership, now)) {
      resource.claimable_since = TimePoint();
      continue;
    }
    if (resource.claimable_since == TimePoint()) {
      resource.claimable_since = now;
    }
    if (now >= resource.claimable_since + this->Rank(id) * kDelayPerRank &&
        now - this->log.LastGoodRead() < kFreshView) {
      this->Claim(id, resource);
    }
  }
}

auto ResourceClaimer::Update(const ResourceId& id, Resource& resource) -> void {
  const auto* ownership = this->log.State()->Claims().Find(id);
  const Epoch epoch = ownership != nullptr && ownership->owner == this->process
                          ? ownership->epoch
                          : 0;
  if (epoch == resource.own_epoch) {
    return;
  }
  if (resource.own_epoch != 0) {
    resource.own_epoch = 0;
    LogEvent(Event::kOwnershipLost, {{"resource", id.Text()}});
    this->events.lost(id);
  }
  if (epoch != 0) {
    resource.own_epoch = epoch;
    LogEvent(Event::kOwnershipGained,
             {{"resource", id.Text()}, {"epoch", std::to_string(epoch)}});
    this->events.gained(id, epoch, resource.superseded != 0);
  }
}

auto ResourceClaimer::IsClaimable(const journal::Ownership* ownership,
                                  TimePoint now) const -> bool {
  if (ownership == nullptr) {
    return true;
  }
  const auto* peer = this->peers.Find(ownership->owner);
  if (peer != nullptr) {
    return peer->is_suspected;
  }
  return now - this->started_at > kStartGrace;
}

auto ResourceClaimer::Rank(const ResourceId& id) const -> int {
  const auto own = Preference(id, this->process);
  int rank = 0;
  for (const auto& [peer, info] : this->peers.Peers()) {
    const bool is_rival = info.state.role == this->role && !info.is_suspected &&
                          !info.state.draining;
    rank += is_rival && Preference(id, peer) < own ? 1 : 0;
  }
  return rank;
}

auto ResourceClaimer::Claim(const ResourceId& id, Resource& resource) -> void {
  resource.is_claiming = true;
  this->open_appends++;
  const auto supersedes = this->log.State()->Claims().EpochOf(id);
  resource.superseded = supersedes;
  LogEvent(Event::kClaimAppended, {{"resource", id.Text()},
                                   {"supersedes", std::to_string(supersedes)}});
  this->log.Append({journal::Claim{.resource = id,
                                   .owner = this->process,
                                   .supersedes = supersedes,
                                   .addresses = {this->peers.Address()}}},
                   SystemClock().Now() + kClaimTimeout,
                   [this, id](const RecordedResult&) {
                     this->open_appends--;
                     this->resources[id].is_claiming = false;
                   });
}

auto ResourceClaimer::ReleaseAll() -> void {
  this->releasing = true;
  for (const auto& [id, resource] : this->resources) {
    if (resource.own_epoch == 0) {
      continue;
    }
    this->open_appends++;
    LogEvent(Event::kOwnershipReleased, {{"resource", id.Text()}});
    this->log.Append({journal::Release{id, this->process, resource.own_epoch}},
                     SystemClock().Now() + kClaimTimeout,
                     [this](const RecordedResult&) { this->open_appends--; });
  }
}

auto ResourceClaimer::Owned() const -> std::vector<rpc::OwnedResource> {
  std::vector<rpc::OwnedResource> owned;
  for (const auto& [id, resource] : this->resources) {
    if (resource.own_epoch != 0) {
      owned.push_back({id, resource.own_epoch});
    }
  }
  return owned;
}

}  // namespace shallotbank::daemon
