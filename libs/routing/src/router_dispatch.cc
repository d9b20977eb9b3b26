#include <algorithm>

#include "router_core.h"

namespace shallotbank::routing {

auto RouterCore::Route(RequestRecord& request, TimePoint now) -> void {
  auto& service = this->Service(request);
  const auto probe =
      service.detector.FindDueProbe(this->table, request.request, now);
  if (probe) {
    this->DispatchTo(request, *probe, true, now);
    return;
  }
  if (this->table.Services()[request.service].UsableCount() == 0) {
    if (!this->TryOverflow(request, true, now)) {
      this->RejectAndErase(request, this->UnavailableReason(request.service));
    }
    return;
  }
  const auto minion = this->table.Choose(
      request.service, request.request.domain, request.tried, now);
  if (!minion && this->TryOverflow(request, false, now)) {
    return;
  }
  const auto time = minion ? service.estimate.LatencyP10()
                           : this->EstimateQueuedDuration(request, now);
  if (this->WouldMissDeadline(request, time, now)) {
    this->RejectAndErase(request, RefusalReason::kWouldMissDeadline);
    return;
  }
  if (minion) {
    this->DispatchTo(request, *minion, false, now);
    return;
  }
  this->Enqueue(request);
}

auto RouterCore::UnavailableReason(ServiceIndex service) const
    -> RefusalReason {
  return this->table.Services()[service].live_minions.empty()
             ? RefusalReason::kNoMinions
             : RefusalReason::kAuthorityLapsed;
}

auto RouterCore::EstimateQueuedDuration(const RequestRecord& request,
                                        TimePoint now) -> Duration {
  auto& service = this->Service(request);
  const auto wait = service.estimate.EstimateWait(
      service.queue.CountAhead(request.request),
      this->table.Services()[request.service].Capacity(), now);
  // A saturated service should give its slots to requests that are likely to
  // complete in time: at 120% load, 79% of the requests meet their deadline
  // with the 90th percentile of the latency, and 46% with the 10th.
  return wait + service.estimate.LatencyP90();
}

auto RouterCore::WouldMissDeadline(const RequestRecord& request,
                                   Duration time,
                                   TimePoint now) -> bool {
  // Only completions correct the estimate. If no request of the service runs,
  // one is admitted, so that a wrong estimate cannot block the service.
  if (!this->policy.admission_control ||
      this->table.Services()[request.service].running == 0) {
    return false;
  }
  return now + time > request.request.deadline;
}

auto RouterCore::DispatchTo(RequestRecord& request,
                            MinionIndex minion,
                            bool probe,
                            TimePoint now) -> void {
  auto& service = this->Service(request);
  if (this->table.Services()[request.service].running == 0) {
    service.estimate.MarkBusy(now);
  }
  if (request.attempts == 0) {
    service.budget.RecordRequest(now);
  }
  this->table.Acquire(minion);
  this->table.Health(minion).probe_running |= probe;
  service.queue.AdjustRunning(request.request.team, 1);
  request.attempts++;
  request.tried.push_back(minion);
  request.state = RequestState::kRunning;
  request.attempt = this->next_attempt++;
  this->attempts[request.attempt] = AttemptRecord{.id = request.attempt,
                                                  .request = &request,
                                                  .minion = minion,
                                                  .service = request.service,
                                                  .team = request.request.team,
                                                  .sent = now,
                                                  .probe = probe};
  this->actions.push_back(
      Dispatch{.request = request.request.id,
               .attempt = request.attempt,
               .minion = this->table.At(minion).minion.id,
               .attempt_number = request.attempts,
               .retry = request.retry,
               .probe = probe,
               .deadline = request.request.deadline,
               .authority_until = this->table.AuthorityUntil(minion)});
}

auto RouterCore::TryOverflow(RequestRecord& request,
                             bool may_queue,
                             TimePoint now) -> bool {
  const auto& original = request.request;
  // A request that may already have run is retried by this process or not at
  // all.
  if (original.forwarded || request.overflowed || request.attempts > 0) {
    return false;
  }
  const auto latency_p10 = this->Service(request).estimate.LatencyP10();
  if (now + this->policy.peer_hop_latency + latency_p10 > original.deadline) {
    return false;
  }
  auto peer = this->peers.AcquireSlot(original.service, original.domain, now);
  if (!peer && may_queue) {
    peer = this->peers.AcquireQueuePosition(original.service, original.domain,
                                            now);
  }
  if (!peer) {
    return false;
  }
  request.overflowed = true;
  request.state = RequestState::kSentToPeer;
  request.attempt = this->next_attempt++;
  this->attempts[request.attempt] = AttemptRecord{.id = request.attempt,
                                                  .request = &request,
                                                  .peer = *peer,
                                                  .service = request.service,
                                                  .team = original.team,
                                                  .sent = now};
  this->Count("routing_overflows_total", "");
  this->actions.push_back(Overflow{.request = original.id,
                                   .attempt = request.attempt,
                                   .peer = *peer,
                                   .deadline = original.deadline});
  return true;
}

auto RouterCore::Enqueue(RequestRecord& request) -> void {
  auto& queue = this->Service(request).queue;
  if (queue.Size() >= this->policy.queue_limit) {
    const auto& team = request.request.team;
    auto* evicted = queue.FindEvictionCandidate(team);
    if (evicted == nullptr) {
      this->RejectAndErase(request, queue.HasMostWaiting(team)
                                        ? RefusalReason::kTeamQueueShare
                                        : RefusalReason::kQueueFull);
      return;
    }
    queue.Erase(evicted);
    this->RejectAndErase(*evicted, RefusalReason::kDisplaced);
  }
  request.state = RequestState::kQueued;
  queue.Insert(&request);
  this->actions.push_back(
      Queue{.request = request.request.id, .retry = request.retry});
}

auto RouterCore::DispatchQueued(ServiceIndex index, TimePoint now) -> void {
  auto& service = *this->services[index];
  const auto& pool = this->table.Services()[index];
  const auto can_dispatch = [&](const RequestRecord& request) {
    return request.request.deadline > now &&
           this->table.CanDispatch(index, request.tried);
  };
  while (service.queue.Size() > 0 && pool.HasFreeSlot()) {
    auto* request = service.queue.FindNext(pool.Capacity(), can_dispatch);
    if (request == nullptr) {
      return;
    }
    service.queue.Erase(request);
    const auto time = service.queue.Size() > 0 ? service.estimate.MeanLatency()
                                               : service.estimate.LatencyP10();
    if (this->WouldMissDeadline(*request, time, now)) {
      this->RejectAndErase(*request, RefusalReason::kWouldMissDeadline);
      continue;
    }
    const auto minion =
        this->table.Choose(index, request->request.domain, request->tried, now);
    this->DispatchTo(*request, *minion, false, now);
  }
}

auto RouterCore::OverflowQueued(ServiceIndex index, TimePoint now) -> void {
  auto& service = *this->services[index];
  while (service.queue.Size() > 0) {
    auto* request = service.queue.FindNext(
        this->table.Services()[index].Capacity(),
        [&](const RequestRecord& candidate) {
          return !candidate.request.forwarded && !candidate.overflowed &&
                 candidate.attempts == 0 && candidate.request.deadline > now;
        });
    if (request == nullptr || !this->TryOverflow(*request, false, now)) {
      return;
    }
    service.queue.Erase(request);
  }
}

auto RouterCore::RefuseUnservable(ServiceIndex index, TimePoint now) -> void {
  if (this->table.Services()[index].UsableCount() > 0) {
    return;
  }
  auto& queue = this->services[index]->queue;
  const auto any = [](const RequestRecord&) { return true; };
  while (auto* request = queue.FindNext(0, any)) {
    queue.Erase(request);
    if (!this->TryOverflow(*request, true, now)) {
      this->RejectAndErase(*request, this->UnavailableReason(index));
    }
  }
}

}  // namespace shallotbank::routing
