#include "daemon/resource_claimer.h"

#include "base/log.h"

namespace shallotbank::daemon {
namespace {

// A claim needs a view of the log that is at least this recent.
constexpr std::chrono::seconds kFreshView{1};
constexpr std::chrono::seconds kAppendTimeout{5};
// A process that claims before it has heard of the others takes everything.
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

auto ResourceClaimer::SetResources(const std::vector<ResourceId>& list)
    -> void {
  this->wanted = list;
  for (const auto& id : list) {
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
  const bool is_new = now - this->started_at < kFirstClaimDelay;
  if (this->releasing || is_new ||
      now - this->log.LastGoodRead() > kFreshView) {
    return;
  }
  const auto processes = this->Processes();
  const auto decision =
      this->planner.Plan({this->wanted, state->Claims(), processes}, now);
  for (const auto& step : decision.claims) {
    this->Claim(step.resource, step.epoch);
  }
  for (const auto& step : decision.releases) {
    this->Drain(step.resource);
  }
}

auto ResourceClaimer::Processes() const -> std::vector<ownership::Process> {
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
  if (epoch == resource.own_epoch) {
    return;
  }
  if (resource.own_epoch != 0) {
    LogEvent(resource.is_release_sent ? Event::kOwnershipReleased
                                      : Event::kOwnershipLost,
             {{"resource", id.Text()}});
    resource.own_epoch = 0;
    resource.is_draining = false;
    resource.is_release_sent = false;
    this->events.lost(id);
  }
  if (epoch != 0) {
    resource.own_epoch = epoch;
    LogEvent(Event::kOwnershipGained,
             {{"resource", id.Text()}, {"epoch", std::to_string(epoch)}});
    this->events.gained(id, epoch, resource.superseded != 0);
  }
}

auto ResourceClaimer::Claim(const ResourceId& id, Epoch supersedes) -> void {
  this->open_appends++;
  this->resources[id].superseded = supersedes;
  LogEvent(Event::kClaimAppended, {{"resource", id.Text()},
                                   {"supersedes", std::to_string(supersedes)}});
  this->log.Append({journal::Claim{.resource = id,
                                   .owner = this->process,
                                   .supersedes = supersedes,
                                   .addresses = {this->peers.Address()}}},
                   SystemClock().Now() + kAppendTimeout,
                   [this](const RecordedResult&) { this->open_appends--; });
}

auto ResourceClaimer::Drain(const ResourceId& id) -> void {
  auto& resource = this->resources[id];
  if (resource.own_epoch != 0 && !resource.is_draining) {
    resource.is_draining = true;
    this->events.drain(id);
  }
}

// A released resource is used by its next owner at once, so nothing of this
// process may still be in progress.
auto ResourceClaimer::ReleaseIfIdle(const ResourceId& id, Resource& resource)
    -> void {
  if (!resource.is_draining || resource.is_release_sent ||
      !this->events.is_idle(id)) {
    return;
  }
  resource.is_release_sent = true;
  this->open_appends++;
  this->log.Append({journal::Release{id, this->process, resource.own_epoch}},
                   SystemClock().Now() + kAppendTimeout,
                   [this, id](const RecordedResult& result) {
                     this->open_appends--;
                     if (result.verdict == Verdict::kNotRun) {
                       this->resources[id].is_release_sent = false;
                     }
                   });
}

auto ResourceClaimer::ReleaseAll() -> void {
  this->releasing = true;
  for (const auto& [id, resource] : this->resources) {
    this->Drain(id);
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
