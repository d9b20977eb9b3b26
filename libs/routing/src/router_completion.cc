#include <algorithm>

#include "router_core.h"

namespace shallotbank::routing {
namespace {

auto IsComplete(const Outcome& outcome) -> bool {
  return outcome.verdict == Verdict::kRan && !outcome.truncated &&
         outcome.status != 0;
}

auto ToRetryReason(const Outcome& outcome) -> RetryReason {
  if (outcome.verdict == Verdict::kNotRun) {
    return RetryReason::kNotRun;
  }
  if (outcome.truncated) {
    return RetryReason::kTruncated;
  }
  return IsComplete(outcome) ? RetryReason::kFailed : RetryReason::kLost;
}

auto MessageFor(RefusalReason reason) -> std::string {
  switch (reason) {
    case RefusalReason::kDuplicateRequest:
      return "a request with this id is in progress";
    case RefusalReason::kDeadlinePassed:
      return "the deadline passed before a minion was available";
    case RefusalReason::kDeadlineTooLong:
      return "the deadline exceeds the maximum deadline";
    case RefusalReason::kWouldMissDeadline:
      return "the request is expected to miss its deadline";
    case RefusalReason::kNoMinions:
      return "no live minion of the service";
    case RefusalReason::kAuthorityLapsed:
      return "this host has no valid authority over its minions at present";
    case RefusalReason::kQueueFull:
      return "the queue of the service is full";
    case RefusalReason::kTeamQueueShare:
      return "the queue is full and the team has the largest part of it";
    case RefusalReason::kDisplaced:
      return "the queue is full and other teams have a smaller part of it";
    case RefusalReason::kMinionRefused:
      return "the minion did not accept the request";
    case RefusalReason::kAnswerLost:
      return "the answer of the minion was lost";
    case RefusalReason::kAnswerTruncated:
      return "the answer of the minion was truncated";
    case RefusalReason::kAnswerTimeout:
      return "no answer before the deadline";
  }
  return "refused";
}

}  // namespace

auto RouterCore::EndAttempt(AttemptRecord& attempt,
                            const Outcome& outcome,
                            TimePoint now) -> void {
  if (!attempt.minion) {
    this->attempts.erase(attempt.id);
    return;
  }
  this->RecordHealth(attempt, outcome, now);
  if (outcome.verdict == Verdict::kMayHaveRun && !outcome.minion_finished) {
    this->HoldSlot(attempt);
    return;
  }
  if (IsComplete(outcome)) {
    auto& estimate = this->services[attempt.service]->estimate;
    estimate.Observe(outcome.latency, now);
    this->table.SetTypicalLatency(attempt.service, estimate.MeanLatency());
  }
  this->ReleaseSlot(attempt.id);
}

auto RouterCore::RecordHealth(AttemptRecord& attempt,
                              const Outcome& outcome,
                              TimePoint now) -> void {
  if (attempt.health_recorded) {
    return;
  }
  attempt.health_recorded = true;
  if (outcome.not_sent) {
    this->table.Health(*attempt.minion).probe_running &= !attempt.probe;
    return;
  }
  auto& service = *this->services[attempt.service];
  this->AddActions(service.detector.Observe(
      this->table, *attempt.minion, outcome, attempt.probe,
      service.estimate.MeanLatency(), now));
}

auto RouterCore::HoldSlot(AttemptRecord& attempt) -> void {
  this->held_slots.emplace(attempt.sent + this->policy.max_deadline,
                           attempt.id);
}

auto RouterCore::ReleaseSlot(AttemptId id) -> void {
  const auto found = this->attempts.find(id);
  const auto& attempt = found->second;
  this->table.Release(*attempt.minion);
  this->services[attempt.service]->queue.AdjustRunning(attempt.team, -1);
  this->held_slots.erase(
      std::pair(attempt.sent + this->policy.max_deadline, id));
  this->attempts.erase(found);
}

auto RouterCore::FinishOrRetry(RequestRecord& request,
                               AttemptId attempt,
                               const Outcome& outcome,
                               TimePoint now) -> void {
  if (IsSuccess(outcome) || this->TryRetry(request, outcome, now)) {
    if (IsSuccess(outcome)) {
      this->DeliverAnswer(request, attempt);
    }
    return;
  }
  if (IsComplete(outcome)) {
    this->DeliverAnswer(request, attempt);
    return;
  }
  if (outcome.truncated) {
    this->RejectAndErase(request, RefusalReason::kAnswerTruncated);
    return;
  }
  if (request.verdict != Verdict::kNotRun) {
    this->RejectAndErase(request, RefusalReason::kAnswerLost);
    return;
  }
  const bool usable = this->table.Services()[request.service].UsableCount() > 0;
  this->RejectAndErase(request, usable
                                    ? RefusalReason::kMinionRefused
                                    : this->UnavailableReason(request.service));
}

auto RouterCore::FindRetryObstacle(const RequestRecord& request,
                                   const Outcome& outcome,
                                   TimePoint now)
    -> std::optional<NoRetryReason> {
  auto& service = this->Service(request);
  if (outcome.verdict != Verdict::kNotRun && !request.request.idempotent) {
    return NoRetryReason::kNotIdempotent;
  }
  if (request.attempts >= this->policy.max_attempts) {
    return NoRetryReason::kAttempts;
  }
  if (now + service.estimate.LatencyP10() >= request.request.deadline) {
    return NoRetryReason::kDeadline;
  }
  if (!this->table.HasUntried(request.service, request.tried)) {
    return NoRetryReason::kNoOtherMinion;
  }
  if (!this->table.CanDispatch(request.service, request.tried) &&
      service.queue.Size() >= this->policy.queue_limit) {
    return NoRetryReason::kQueueFull;
  }
  if (!outcome.not_sent && !service.budget.TryAcquireRetry(now)) {
    return NoRetryReason::kBudgetSpent;
  }
  return std::nullopt;
}

auto RouterCore::TryRetry(RequestRecord& request,
                          const Outcome& outcome,
                          TimePoint now) -> bool {
  const auto obstacle = this->FindRetryObstacle(request, outcome, now);
  if (obstacle) {
    this->Count("routing_not_retried_total", ToText(*obstacle));
    return false;
  }
  request.retry = ToRetryReason(outcome);
  this->Count("routing_retries_total", ToText(*request.retry));
  const auto minion = this->table.Choose(
      request.service, request.request.domain, request.tried, now);
  if (minion) {
    this->DispatchTo(request, *minion, false, now);
  } else {
    this->Enqueue(request);
  }
  return true;
}

auto RouterCore::ExpireRequest(RequestRecord& request, TimePoint now) -> void {
  if (request.state == RequestState::kQueued) {
    this->Service(request).queue.Erase(&request);
    this->RejectAndErase(request, RefusalReason::kDeadlinePassed);
    return;
  }
  auto& attempt = this->attempts.at(request.attempt);
  attempt.request = nullptr;
  this->EndAttempt(attempt, Outcome{.latency = now - attempt.sent}, now);
  if (request.abandoned) {
    this->Erase(request);
    return;
  }
  request.verdict = std::max(request.verdict, Verdict::kMayHaveRun);
  this->RejectAndErase(request, RefusalReason::kAnswerTimeout);
}

auto RouterCore::DeliverAnswer(RequestRecord& request, AttemptId attempt)
    -> void {
  this->actions.push_back(
      Answer{.request = request.request.id, .attempt = attempt});
  this->Erase(request);
}

auto RouterCore::Reject(const RequestId& request,
                        RefusalReason reason,
                        Verdict verdict) -> void {
  this->Count("routing_refusals_total", ToText(reason));
  const bool bad_deadline = reason == RefusalReason::kDeadlineTooLong;
  this->actions.push_back(
      Refuse{.request = request,
             .reason = reason,
             .refusal = {.verdict = verdict,
                         .reason = std::string(ToText(reason)),
                         .field = bad_deadline ? "Shallotbank-Deadline-Ms" : "",
                         .message = MessageFor(reason)}});
}

auto RouterCore::RejectAndErase(RequestRecord& request, RefusalReason reason)
    -> void {
  this->Reject(request.request.id, reason, request.verdict);
  this->Erase(request);
}

auto RouterCore::Erase(RequestRecord& request) -> void {
  if (request.abandoned) {
    this->abandoned--;
  }
  this->deadlines.erase(
      std::tuple(request.request.deadline, request.sequence, &request));
  this->requests.erase(RequestId(request.request.id));
}

}  // namespace shallotbank::routing
