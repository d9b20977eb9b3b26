#include "daemon/resource_claimer.h"

#include "base/log.h"

namespace shallotbank::daemon {
namespace {

// Resources are claimed only if the replica of the log was current within this
// time.
constexpr std::chrono::seconds kMaxReplicaAge{1};
constexpr std::chrono::seconds kAppendTimeout{5};
// A process that claims before it has heard from its peers claims everything.
constexpr std::chrono::milliseconds kFirstClaimDelay{1000};

}  // namespace

ResourceClaimer::ResourceClaimer(ProcessId process,
                                 rpc::Role role,
                                 ownership::ClaimPlanner::Balance balance,
                                 LogView& log,
                                 PeerHub& peers,
                                 Events events)
    : process(std::move(process)),
      role(role),
      log(log),
      peers(peers),
      events(std::move(events)),
      planner(this->process, balance),
      started_at(SystemClock().Now()) {}

auto ResourceClaimer::SetResources(
    const std::vector<ResourceId>& claimable_resources) -> void {
  this->claimable = claimable_resources;
  for (const auto& id : claimable_resources) {
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
    this->ReleaseIfIdle(id, resource);
  }
  const bool is_in_first_delay = now - this->started_at < kFirstClaimDelay;
  if (this->is_releasing_all || is_in_first_delay ||
      now - this->log.LastCurrentRead() > kMaxReplicaAge) {
    return;
  }
  const auto processes = this->CandidateOwners();
  const auto decision =
      this->planner.Plan({this->claimable, state->Claims(), processes}, now);
  for (const auto& step : decision.claims) {
    this->Claim(step.resource, step.epoch);
  }
  for (const auto& step : decision.releases) {
    this->Drain(step.resource);
  }
}

auto ResourceClaimer::CandidateOwners() const
    -> std::vector<ownership::Process> {
  std::vector<ownership::Process> processes{{this->process, false}};
  for (const auto& [id, peer] : this->peers.Peers()) {
    if (peer.state.role == this->role) {
      processes.push_back({id, peer.is_suspected});
    }
  }
  return processes;
}

auto ResourceClaimer::Update(const ResourceId& id, Resource& resource) -> void {
  const auto* ownership = this->log.State()->Claims().Find(id);
  const Epoch epoch = ownership != nullptr && ownership->owner == this->process
                          ? ownership->epoch
                          : 0;
  if (epoch == resource.owned_epoch) {
    return;
  }
  if (resource.owned_epoch != 0) {
    LogEvent(resource.is_release_sent ? Event::kOwnershipReleased
                                      : Event::kOwnershipLost,
             {{"resource", id.Text()}});
    resource.owned_epoch = 0;
    resource.is_draining = false;
    resource.is_release_sent = false;
    this->events.lost(id);
  }
  if (epoch != 0) {
    resource.owned_epoch = epoch;
    LogEvent(Event::kOwnershipGained,
             {{"resource", id.Text()}, {"epoch", std::to_string(epoch)}});
    this->events.gained(id, epoch, resource.superseded_epoch != 0);
  }
}

auto ResourceClaimer::Claim(const ResourceId& id, Epoch supersedes) -> void {
  this->in_flight_appends++;
  this->resources[id].superseded_epoch = supersedes;
  LogEvent(Event::kClaimAppended, {{"resource", id.Text()},
                                   {"supersedes", std::to_string(supersedes)}});
  this->log.Append(
      {journal::Claim{.resource = id,
                      .owner = this->process,
                      .supersedes = supersedes,
                      .addresses = {this->peers.Address()}}},
      SystemClock().Now() + kAppendTimeout,
      [this](const RecordedResult&) { this->in_flight_appends--; });
}

auto ResourceClaimer::Drain(const ResourceId& id) -> void {
  auto& resource = this->resources[id];
  if (resource.owned_epoch != 0 && !resource.is_draining) {
    resource.is_draining = true;
    this->events.drain(id);
  }
}

// The next owner uses a released resource immediately, so no work of this
// process may still be in progress.
auto ResourceClaimer::ReleaseIfIdle(const ResourceId& id, Resource& resource)
    -> void {
  if (!resource.is_draining || resource.is_release_sent ||
      !this->events.is_idle(id)) {
    return;
  }
  resource.is_release_sent = true;
  this->in_flight_appends++;
  this->log.Append({journal::Release{id, this->process, resource.owned_epoch}},
                   SystemClock().Now() + kAppendTimeout,
                   [this, id](const RecordedResult& result) {
                     this->in_flight_appends--;
                     if (result.verdict == Verdict::kNotRun) {
                       this->resources[id].is_release_sent = false;
                     }
                   });
}

auto ResourceClaimer::ReleaseAll() -> void {
  this->is_releasing_all = true;
  for (const auto& [id, resource] : this->resources) {
    this->Drain(id);
  }
}

auto ResourceClaimer::Owned() const -> std::vector<rpc::OwnedResource> {
  std::vector<rpc::OwnedResource> owned;
  for (const auto& [id, resource] : this->resources) {
    if (resource.owned_epoch != 0) {
      owned.push_back({id, resource.owned_epoch});
    }
  }
  return owned;
}

}  // namespace shallotbank::daemon
