#include <algorithm>

#include "core.h"

namespace shallotbank::scheduling {
namespace {

using placement::PlacementRefusal;

auto ToBlockReason(PlacementRefusal reason) -> queueing::BlockReason {
  switch (reason) {
    case PlacementRefusal::kHeldForReservation:
      return queueing::BlockReason::kBehindReservation;
    case PlacementRefusal::kOnlyExcludedWorkers:
    case PlacementRefusal::kAlreadyPlaced:
      return queueing::BlockReason::kJobOnly;
    default:
      return queueing::BlockReason::kNoRoom;
  }
}

}  // namespace

auto ShardScheduler::Core::PlaceWork(TimePoint now) -> void {
  const auto reservation = this->placer.CurrentReservation(now);
  this->queue.SetReserved(reservation ? std::optional(reservation->job)
                                      : std::nullopt);
  for (int started = 0; started < this->options.max_starts_per_tick;) {
    const auto candidate = this->queue.Next(now);
    if (!candidate) {
      return;
    }
    auto* job = this->FindJob(candidate->job);
    if (job == nullptr || job->waiting.empty()) {
      // The queue and the job table are inconsistent; leaves the job to a later
      // pass.
      this->queue.Blocked(candidate->job, queueing::BlockReason::kJobOnly);
      this->Count("scheduler_inconsistent_total");
      ++started;
      continue;
    }
    const bool placed = job->spec.task_class == placement::TaskClass::kGang
                            ? this->PlaceGang(*job, *candidate, now)
                            : this->PlaceTask(*job, *candidate, now);
    started += placed ? 1 : 0;
  }
}

auto ShardScheduler::Core::MakeRequest(const JobRecord& job,
                                       int task_index,
                                       const TaskId& attempt) const
    -> placement::TaskRequest {
  placement::TaskRequest request{.task = attempt,
                                 .job = job.spec.id,
                                 .need = job.spec.need,
                                 .task_class = job.spec.task_class,
                                 .is_preemptible = job.spec.is_preemptible,
                                 .is_urgent = job.spec.is_urgent,
                                 .excluded = {}};
  const auto failed = job.failed_on.find(task_index);
  if (failed != job.failed_on.end()) {
    request.excluded = failed->second;
  }
  return request;
}

auto ShardScheduler::Core::PlaceTask(JobRecord& job,
                                     const queueing::Candidate& candidate,
                                     TimePoint now) -> bool {
  const int task_index = job.waiting.back();
  const auto attempt =
      MakeAttemptId(job.spec.id, task_index, this->epoch, this->next_attempt++);
  const auto request = this->MakeRequest(job, task_index, attempt);
  const auto placed = this->placer.Place(request, now);
  if (!placed) {
    this->queue.Blocked(candidate.job, ToBlockReason(placed.Reason()));
    this->Count("scheduler_blocked_total", placement::ToText(placed.Reason()));
    if (candidate.is_urgent &&
        placed.Reason() == PlacementRefusal::kNoRoomNow) {
      this->PreemptTasksFor(job, request, now);
    }
    return false;
  }
  if (!this->queue.Started(candidate.job, now)) {
    this->index.Release(attempt);
    this->queue.Blocked(candidate.job, queueing::BlockReason::kJobOnly);
    return false;
  }
  job.waiting.pop_back();
  this->StartAttempt(job, task_index, attempt, placed.Value());
  return true;
}

auto ShardScheduler::Core::PlaceGang(JobRecord& job,
                                     const queueing::Candidate& candidate,
                                     TimePoint now) -> bool {
  placement::GangRequest request{job.spec.id, {}, job.spec.submitted};
  std::vector<std::pair<TaskId, int>> indices;
  for (const int task_index : job.waiting) {
    const auto attempt = MakeAttemptId(job.spec.id, task_index, this->epoch,
                                       this->next_attempt++);
    request.tasks.push_back({attempt, job.spec.need});
    indices.emplace_back(attempt, task_index);
  }
  const auto placed = this->placer.PlaceGang(request, now);
  if (!placed) {
    this->queue.Blocked(candidate.job, ToBlockReason(placed.Reason()));
    this->Count("scheduler_blocked_total", placement::ToText(placed.Reason()));
    return false;
  }
  if (!this->queue.Started(candidate.job, now)) {
    for (const auto& entry : indices) {
      this->index.Release(entry.first);
    }
    this->queue.Blocked(candidate.job, queueing::BlockReason::kJobOnly);
    return false;
  }
  job.waiting.clear();
  for (const auto& where : placed.Value()) {
    const auto found = std::find_if(
        indices.begin(), indices.end(),
        [&](const auto& entry) { return entry.first == where.task; });
    this->StartAttempt(job, found->second, where.task, where.worker);
  }
  return true;
}

// Places one waiting task as a probe on each quarantined worker that is due, to
// test whether the worker has recovered.
auto ShardScheduler::Core::PlaceProbes(TimePoint now) -> void {
  while (const auto worker = this->quarantine.TakeWorkerToProbe(now)) {
    const auto candidate = this->queue.Next(now);
    auto* job = candidate ? this->FindJob(candidate->job) : nullptr;
    if (job == nullptr || job->waiting.empty() ||
        job->spec.task_class == placement::TaskClass::kGang) {
      continue;
    }
    const int task_index = job->waiting.back();
    const auto attempt = MakeAttemptId(job->spec.id, task_index, this->epoch,
                                       this->next_attempt++);
    const auto placed = this->placer.PlaceProbe(
        *worker, this->MakeRequest(*job, task_index, attempt), now);
    if (!placed) {
      continue;
    }
    if (!this->queue.Started(candidate->job, now)) {
      this->index.Release(attempt);
      continue;
    }
    job->waiting.pop_back();
    this->StartAttempt(*job, task_index, attempt, placed.Value());
    this->Count("scheduler_probes_total");
  }
}

auto ShardScheduler::Core::StartAttempt(JobRecord& job,
                                        int task_index,
                                        const TaskId& attempt,
                                        const WorkerId& worker) -> void {
  job.states[static_cast<std::size_t>(task_index)] = TaskState::kActive;
  job.active++;
  Attempt record;
  record.id = attempt;
  record.job = job.spec.id;
  record.index = task_index;
  record.worker = worker;
  job.current_attempts[task_index] = attempt;
  this->attempts.emplace(attempt, std::move(record));
  auto& target = this->workers[worker];
  target.attempts.insert(attempt);
  target.to_start.push_back(attempt);
  this->ScheduleContact(target, TimePoint());
  this->Count("scheduler_starts_total");
}

auto ShardScheduler::Core::PreemptTasksFor(
    const JobRecord& job,
    const placement::TaskRequest& request,
    TimePoint now) -> void {
  // Waits for capacity that earlier preemptions free before it preempts more
  // tasks.
  if (this->pending_preemptions > 0) {
    return;
  }
  const auto plan = this->placer.PlanPreemption(request, now);
  if (!plan) {
    return;
  }
  for (const auto& victim : plan.Value().tasks) {
    const auto found = this->attempts.find(victim);
    if (found != this->attempts.end() && found->second.job != job.spec.id) {
      found->second.is_preempted = true;
      this->pending_preemptions++;
      this->StopAttempt(found->second, /*requeue=*/true);
      this->Count("scheduler_stopped_for_urgent_total");
    }
  }
}

}  // namespace shallotbank::scheduling
