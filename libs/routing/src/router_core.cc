#include "router_core.h"

#include <algorithm>
#include <iterator>

namespace shallotbank::routing {

auto RouterCore::AddServiceStates() -> void {
  while (this->services.size() < this->table.Services().size()) {
    this->services.push_back(
        std::make_unique<ServiceState>(this->policy, this->services.size()));
  }
}

auto RouterCore::AddActions(Actions&& more) -> void {
  for (const auto& action : more) {
    if (const auto* eject = std::get_if<Eject>(&action)) {
      this->Count("routing_ejections_total", ToText(eject->reason));
    }
  }
  std::move(more.begin(), more.end(), std::back_inserter(this->actions));
}

auto RouterCore::Count(const std::string& name, std::string_view reason)
    -> void {
  if (this->metrics != nullptr) {
    this->metrics->Add(name, std::string(reason));
  }
}

auto RouterCore::UpdateMinions(const std::vector<Minion>& minions,
                               TimePoint now) -> Actions {
  this->table.Update(minions);
  this->AddServiceStates();
  return this->ProcessServices(now);
}

auto RouterCore::SetGroup(const MinionGroup& group, TimePoint now) -> Actions {
  this->table.SetGroup(group, now);
  return this->ProcessServices(now);
}

auto RouterCore::RemoveGroup(const ResourceId& group, TimePoint now)
    -> Actions {
  this->table.RemoveGroup(group);
  return this->ProcessServices(now);
}

auto RouterCore::UpdatePeer(const PeerCapacity& capacity, TimePoint now)
    -> Actions {
  this->peers.Update(capacity, now);
  return this->ProcessServices(now);
}

auto RouterCore::RemovePeer(const ProcessId& peer) -> void {
  this->peers.Remove(peer);
}

auto RouterCore::Submit(const Request& request, TimePoint now) -> Actions {
  this->table.Refresh(now);
  if (this->requests.contains(request.id)) {
    this->Reject(request.id, RefusalReason::kDuplicateRequest,
                 Verdict::kMayHaveRun);
    return this->TakeActions();
  }
  if (request.deadline <= now) {
    this->Reject(request.id, RefusalReason::kDeadlinePassed, Verdict::kNotRun);
    return this->TakeActions();
  }
  if (request.deadline - now > this->policy.max_deadline) {
    this->Reject(request.id, RefusalReason::kDeadlineTooLong, Verdict::kNotRun);
    return this->TakeActions();
  }
  const bool known = this->table.FindService(request.service).has_value() ||
                     this->peers.HasService(request.service);
  if (!known) {
    this->Reject(request.id, RefusalReason::kNoMinions, Verdict::kNotRun);
    return this->TakeActions();
  }
  const auto service = this->table.FindOrAddService(request.service);
  this->AddServiceStates();
  auto& record = this->requests[request.id];
  record.request = request;
  record.sequence = this->next_sequence++;
  record.service = service;
  this->deadlines.emplace(request.deadline, record.sequence, &record);
  this->Route(record, now);
  return this->TakeActions();
}

auto RouterCore::Complete(AttemptId id, const Outcome& outcome, TimePoint now)
    -> Actions {
  this->table.Refresh(now);
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    this->Count("routing_late_answers_total", "");
    return {};
  }
  auto& attempt = found->second;
  auto* request = attempt.request;
  const auto service = attempt.service;
  const bool from_peer = !attempt.minion.has_value();
  const auto peer = attempt.peer;
  attempt.request = nullptr;
  this->EndAttempt(attempt, outcome, now);
  if (request == nullptr || request->abandoned) {
    this->Count("routing_late_answers_total", "");
  }
  if (request != nullptr && request->abandoned) {
    this->Erase(*request);
  } else if (request != nullptr) {
    request->attempt = 0;
    request->verdict = std::max(request->verdict, outcome.verdict);
    if (from_peer && outcome.verdict == Verdict::kNotRun) {
      this->peers.MarkFull(peer, request->request.service);
      this->Route(*request, now);
    } else {
      this->FinishOrRetry(*request, id, outcome, now);
    }
  }
  this->AddActions(
      this->services[service]->detector.Evaluate(this->table, now));
  this->DispatchQueued(service, now);
  return this->TakeActions();
}

auto RouterCore::Abandon(const RequestId& id) -> bool {
  const auto found = this->requests.find(id);
  if (found == this->requests.end() || found->second.abandoned) {
    return false;
  }
  auto& request = found->second;
  if (request.state == RequestState::kQueued) {
    this->Service(request).queue.Erase(&request);
    this->Erase(request);
    return true;
  }
  request.abandoned = true;
  this->abandoned++;
  return true;
}

auto RouterCore::Expire(TimePoint now) -> Actions {
  this->table.Refresh(now);
  while (!this->deadlines.empty() &&
         std::get<TimePoint>(*this->deadlines.begin()) <= now) {
    this->ExpireRequest(*std::get<RequestRecord*>(*this->deadlines.begin()),
                        now);
  }
  while (!this->held_slots.empty() && this->held_slots.begin()->first <= now) {
    const auto attempt = this->held_slots.begin()->second;
    this->Count("routing_unknown_ends_total", "");
    this->ReleaseSlot(attempt);
  }
  return this->ProcessServices(now);
}

auto RouterCore::ProcessServices(TimePoint now) -> Actions {
  this->table.Refresh(now);
  for (ServiceIndex service = 0; service < this->services.size(); ++service) {
    this->AddActions(
        this->services[service]->detector.Evaluate(this->table, now));
    this->RefuseUnservable(service, now);
    this->DispatchQueued(service, now);
    this->OverflowQueued(service, now);
  }
  return this->TakeActions();
}

auto RouterCore::FreeCapacity(TimePoint now) -> std::vector<ServiceCapacity> {
  this->table.Refresh(now);
  std::vector<ServiceCapacity> capacities;
  for (ServiceIndex service = 0; service < this->services.size(); ++service) {
    const auto& pool = this->table.Services()[service];
    if (pool.UsableCount() == 0) {
      continue;
    }
    const auto waiting =
        static_cast<int>(this->services[service]->queue.Size());
    const auto limit = static_cast<int>(this->policy.queue_limit);
    capacities.push_back(
        ServiceCapacity{.service = pool.name,
                        .free_slots = std::max(0, pool.FreeSlots() - waiting),
                        .free_queue_positions = std::max(0, limit - waiting)});
  }
  return capacities;
}

auto RouterCore::QueueSize(const ServiceName& name) const -> std::size_t {
  const auto service = this->table.FindService(name);
  return service && *service < this->services.size()
             ? this->services[*service]->queue.Size()
             : 0;
}

auto RouterCore::InUse(const MinionId& minion) const -> int {
  const auto* record = this->table.Find(minion);
  return record == nullptr ? 0 : record->in_use;
}

auto RouterCore::InProgress() const -> std::size_t {
  return this->requests.size() - this->abandoned;
}

}  // namespace shallotbank::routing
