#include "routing/minion_router.h"

#include "router_core.h"

namespace shallotbank::routing {

MinionRouter::MinionRouter(const RouterPolicy& policy, Metrics* metrics)
    : core(std::make_unique<RouterCore>(policy, metrics)) {}
MinionRouter::~MinionRouter() = default;
MinionRouter::MinionRouter(MinionRouter&&) noexcept = default;
auto MinionRouter::operator=(MinionRouter&&) noexcept
    -> MinionRouter& = default;

auto MinionRouter::UpdateMinions(const std::vector<Minion>& minions,
                                 TimePoint now) -> Actions {
  return this->core->UpdateMinions(minions, now);
}

auto MinionRouter::SetGroup(const MinionGroup& group, TimePoint now)
    -> Actions {
  return this->core->SetGroup(group, now);
}

auto MinionRouter::RemoveGroup(const ResourceId& group, TimePoint now)
    -> Actions {
  return this->core->RemoveGroup(group, now);
}

auto MinionRouter::UpdatePeer(const PeerCapacity& capacity, TimePoint now)
    -> Actions {
  return this->core->UpdatePeer(capacity, now);
}

auto MinionRouter::RemovePeer(const ProcessId& peer) -> void {
  this->core->RemovePeer(peer);
}

auto MinionRouter::Submit(const Request& request, TimePoint now) -> Actions {
  return this->core->Submit(request, now);
}

auto MinionRouter::Complete(AttemptId attempt,
                            const Outcome& outcome,
                            TimePoint now) -> Actions {
  return this->core->Complete(attempt, outcome, now);
}

auto MinionRouter::Abandon(const RequestId& request) -> bool {
  return this->core->Abandon(request);
}

auto MinionRouter::Expire(TimePoint now) -> Actions {
  return this->core->Expire(now);
}

auto MinionRouter::FreeCapacity(TimePoint now) -> std::vector<ServiceCapacity> {
  return this->core->FreeCapacity(now);
}

auto MinionRouter::QueueSize(const ServiceName& service) const -> std::size_t {
  return this->core->QueueSize(service);
}

auto MinionRouter::InUse(const MinionId& minion) const -> int {
  return this->core->InUse(minion);
}

auto MinionRouter::InProgress() const -> std::size_t {
  return this->core->InProgress();
}

}  // namespace shallotbank::routing
