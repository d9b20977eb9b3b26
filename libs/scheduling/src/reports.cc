#include <algorithm>

#include "core.h"

namespace shallotbank::scheduling {
namespace {

using worker_protocol::WorkerTask;
using worker_protocol::WorkerTaskState;

// Number of consecutive commands without a usable response after which a worker
// counts as unreachable.
constexpr int kFailuresToUnreachable = 2;

}  // namespace

auto ShardScheduler::Core::HandleReport(
    const WorkerId& id,
    TimePoint sent_at,
    const worker_protocol::WorkerReport& report,
    TimePoint now) -> void {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) {
    return;
  }
  auto& worker = found->second;
  worker.in_flight = CommandKind::kNone;
  worker.consecutive_failures = 0;
  worker.worker_clock = report.worker_now;
  worker.clock_read_at = now;
  worker.is_attached = true;
  std::set<TaskId> reported;
  for (const auto& task : report.tasks) {
    reported.insert(task.task);
    this->ApplyTaskReport(worker, task, now);
  }
  this->EndMissingAttempts(worker, sent_at, reported, now);
  if (worker.is_unreachable || this->unreachable.contains(id)) {
    worker.is_unreachable = false;
    this->unreachable.erase(id);
  }
  // Idempotent. A new worker is marked unreachable in the index until it has
  // attached.
  this->index.SetUnreachable(id, false);
  this->queue.CapacityFreed();
  const bool has_more = !worker.to_start.empty() || !worker.to_stop.empty() ||
                        !worker.to_acknowledge.empty();
  this->ScheduleContact(
      worker, has_more ? now : now + this->options.heartbeat_interval);
}

auto ShardScheduler::Core::ApplyTaskReport(WorkerRecord& worker,
                                           const WorkerTask& reported,
                                           TimePoint now) -> void {
  const auto found = this->attempts.find(reported.task);
  if (found == this->attempts.end()) {
    this->AdoptTask(worker, reported, now);
    return;
  }
  auto& attempt = found->second;
  if (attempt.state == AttemptState::kEnding) {
    return;
  }
  if (attempt.is_replaced) {
    if (reported.state == WorkerTaskState::kRunning) {
      this->StopAttempt(attempt, /*requeue=*/false);
    } else {
      worker.to_acknowledge.insert(reported.task);
      this->EraseAttempt(reported.task);
    }
    return;
  }
  switch (reported.state) {
    case WorkerTaskState::kRunning:
      if (attempt.state == AttemptState::kStarting) {
        attempt.state = AttemptState::kRunning;
        this->ApplyQuarantine(this->quarantine.RecordSuccess(
            worker.worker.id, attempt.job, attempt.id));
      }
      this->index.ReportUsage(reported.task, reported.usage);
      return;
    case WorkerTaskState::kFinished:
      this->FinishAttempt(attempt, /*succeeded=*/true, now);
      return;
    case WorkerTaskState::kFailed:
      this->FailAttempt(attempt, now);
      return;
    case WorkerTaskState::kExpired:
      worker.to_acknowledge.insert(reported.task);
      this->LoseAttempt(reported.task, "lease_expired");
      return;
  }
}

// Handles a task that this process did not start: either the previous owner
// started it or its job has been dropped.
auto ShardScheduler::Core::AdoptTask(WorkerRecord& worker,
                                     const WorkerTask& reported,
                                     TimePoint now) -> void {
  const auto name = ParseAttemptId(reported.task);
  auto* job = name ? this->FindJob(name->job) : nullptr;
  const bool is_running = reported.state == WorkerTaskState::kRunning;
  const auto position = static_cast<std::size_t>(name ? name->index : 0);
  if (job == nullptr || position >= job->states.size() ||
      job->states[position] != TaskState::kWaiting || job->is_cancelled ||
      reported.state == WorkerTaskState::kExpired) {
    if (is_running) {
      worker.to_stop.push_back(reported.task);
    } else {
      worker.to_acknowledge.insert(reported.task);
    }
    return;
  }
  const auto waiting =
      std::find(job->waiting.begin(), job->waiting.end(), name->index);
  if (waiting != job->waiting.end()) {
    job->waiting.erase(waiting);
  }
  job->states[position] = TaskState::kActive;
  job->active++;
  if (!job->is_held) {
    this->queue.Adopt(job->spec.id, 1);
  }
  Attempt attempt;
  attempt.id = reported.task;
  attempt.job = job->spec.id;
  attempt.index = name->index;
  attempt.worker = worker.worker.id;
  attempt.state = AttemptState::kRunning;
  // The previous owner cannot renew the lease after this worker has accepted
  // the new epoch.
  attempt.lease_expires_by = now + job->spec.lease;
  job->current_attempts[name->index] = reported.task;
  worker.attempts.insert(reported.task);
  const auto placed = this->index.RecordRunning(
      worker.worker.id, {.task = reported.task,
                         .job = job->spec.id,
                         .declared = job->spec.need,
                         .task_class = job->spec.task_class,
                         .is_preemptible = job->spec.is_preemptible,
                         .started = now});
  if (!placed) {
    this->Count("scheduler_inconsistent_total");
  }
  this->attempts.emplace(reported.task, std::move(attempt));
  this->Count("scheduler_adopted_total");
  if (!is_running) {
    this->ApplyTaskReport(worker, reported, now);
  }
}

// Ends the attempts that the worker does not report. They do not run there,
// unless a start command may still arrive.
auto ShardScheduler::Core::EndMissingAttempts(WorkerRecord& worker,
                                              TimePoint sent_at,
                                              const std::set<TaskId>& reported,
                                              TimePoint now) -> void {
  std::vector<TaskId> missing;
  for (const auto& id : worker.attempts) {
    const auto& attempt = this->attempts.at(id);
    const bool is_queued =
        std::find(worker.to_start.begin(), worker.to_start.end(), id) !=
        worker.to_start.end();
    if (!reported.contains(id) && !is_queued &&
        attempt.state != AttemptState::kEnding &&
        attempt.start_valid_until <= sent_at) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    const auto& attempt = this->attempts.at(id);
    const bool stopped = attempt.state == AttemptState::kStopping;
    this->LoseAttempt(id, stopped ? "stopped" : "not_on_worker");
  }
  if (!worker.is_listed && worker.attempts.empty()) {
    this->ScheduleContact(worker, now + this->options.heartbeat_interval);
  }
}

auto ShardScheduler::Core::FinishAttempt(Attempt& attempt,
                                         bool succeeded,
                                         TimePoint /*now*/) -> void {
  auto* job = this->FindJob(attempt.job);
  if (job == nullptr) {
    return;
  }
  if (attempt.state == AttemptState::kStarting) {
    this->ApplyQuarantine(this->quarantine.RecordSuccess(
        attempt.worker, attempt.job, attempt.id));
  }
  attempt.state = AttemptState::kEnding;
  this->index.Release(attempt.id);
  this->EndTask(*job, attempt.index, succeeded, "");
}

auto ShardScheduler::Core::FailAttempt(Attempt& attempt, TimePoint now)
    -> void {
  auto* job = this->FindJob(attempt.job);
  if (job == nullptr) {
    return;
  }
  this->Count("scheduler_task_failures_total");
  const auto worker = attempt.worker;
  const auto task_index = attempt.index;
  const auto position = static_cast<std::size_t>(task_index);
  const TaskId task(job->spec.id.Text() + "/" + std::to_string(task_index));
  const auto change =
      this->quarantine.RecordFailure(worker, job->spec.id, task, now);
  this->ApplyQuarantine(change);
  job->failed_runs[position]++;
  job->failed_on[task_index].push_back(worker);
  const bool is_final = job->is_cancelled || change.job_faulty ||
                        this->quarantine.IsFaulty(job->spec.id) ||
                        job->failed_runs[position] >= job->spec.attempts;
  if (is_final) {
    attempt.state = AttemptState::kEnding;
    this->index.Release(attempt.id);
    this->EndTask(*job, task_index, /*succeeded=*/false,
                  "failed on " + std::to_string(job->failed_runs[position]) +
                      " workers, the last one " + worker.Text());
    return;
  }
  this->workers[worker].to_acknowledge.insert(attempt.id);
  this->LoseAttempt(attempt.id, "failed");
}

auto ShardScheduler::Core::ApplyQuarantine(
    const placement::QuarantineChange& change) -> void {
  for (const auto& id : change.quarantined) {
    this->index.SetQuarantined(id, true);
    this->Count("scheduler_quarantined_total");
  }
  for (const auto& id : change.cleared) {
    this->index.SetQuarantined(id, false);
    this->queue.CapacityFreed();
  }
}

auto ShardScheduler::Core::EndTask(JobRecord& job,
                                   int task_index,
                                   bool succeeded,
                                   std::string message) -> void {
  job.states[static_cast<std::size_t>(task_index)] = TaskState::kEnding;
  job.active--;
  job.ended++;
  if (!job.is_held) {
    this->queue.Ended(job.spec.id, succeeded ? queueing::TaskEnd::kFinished
                                             : queueing::TaskEnd::kFailed);
  }
  this->output.outcomes.push_back(
      {job.spec.id, task_index, succeeded, std::move(message)});
}

auto ShardScheduler::Core::RequeueTask(JobRecord& job,
                                       int task_index,
                                       queueing::TaskEnd end) -> void {
  job.states[static_cast<std::size_t>(task_index)] = TaskState::kWaiting;
  job.active--;
  if (job.is_cancelled) {
    if (!job.is_held) {
      this->queue.Ended(job.spec.id, queueing::TaskEnd::kFailed);
    }
    return;
  }
  job.waiting.push_back(task_index);
  if (!job.is_held) {
    this->queue.Ended(job.spec.id, end);
  }
}

auto ShardScheduler::Core::LoseAttempt(const TaskId& id, const char* reason)
    -> void {
  const auto attempt = this->attempts.at(id);
  auto* job = this->FindJob(attempt.job);
  this->EraseAttempt(id);
  this->Count("scheduler_attempts_ended_total", reason);
  if (job != nullptr && !attempt.is_replaced) {
    this->RequeueTask(
        *job, attempt.index,
        attempt.state == AttemptState::kStarting && !attempt.is_sent
            ? queueing::TaskEnd::kReturned
            : queueing::TaskEnd::kRetry);
  }
}

auto ShardScheduler::Core::EraseAttempt(const TaskId& id) -> void {
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return;
  }
  const auto& attempt = found->second;
  this->index.Release(id);
  if (attempt.is_preempted) {
    this->pending_preemptions--;
  }
  auto& worker = this->workers[attempt.worker];
  worker.attempts.erase(id);
  std::erase(worker.to_start, id);
  if (auto* job = this->FindJob(attempt.job)) {
    const auto current = job->current_attempts.find(attempt.index);
    if (current != job->current_attempts.end() && current->second == id) {
      job->current_attempts.erase(current);
    }
    job->replaced_attempts.erase(id);
  }
  this->attempts.erase(found);
  this->queue.CapacityFreed();
}

auto ShardScheduler::Core::StopAttempt(Attempt& attempt, bool requeue) -> void {
  if (attempt.state == AttemptState::kEnding) {
    return;
  }
  auto& worker = this->workers[attempt.worker];
  attempt.is_requeued_after_stop = requeue;
  const auto queued =
      std::find(worker.to_start.begin(), worker.to_start.end(), attempt.id);
  if (queued != worker.to_start.end()) {
    // The start command has not been sent, so there is nothing to stop.
    this->LoseAttempt(TaskId(attempt.id), "not_sent");
    return;
  }
  if (attempt.state != AttemptState::kStopping) {
    attempt.state = AttemptState::kStopping;
  }
  if (std::find(worker.to_stop.begin(), worker.to_stop.end(), attempt.id) ==
      worker.to_stop.end()) {
    worker.to_stop.push_back(attempt.id);
  }
  this->ScheduleContact(worker, TimePoint());
}

auto ShardScheduler::Core::HandleStartResults(
    const WorkerId& id,
    const std::vector<worker_protocol::TaskStartResult>& results,
    TimePoint now) -> void {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) {
    return;
  }
  auto& worker = found->second;
  worker.in_flight = CommandKind::kNone;
  worker.consecutive_failures = 0;
  worker.starts_in_flight.clear();
  for (const auto& result : results) {
    if (result.result == worker_protocol::StartResult::kRefused &&
        this->attempts.contains(result.task)) {
      this->LoseAttempt(result.task, "refused_by_worker");
    }
  }
  const bool has_more = !worker.to_start.empty() || !worker.to_stop.empty();
  this->ScheduleContact(
      worker, has_more ? now : now + this->options.heartbeat_interval);
}

auto ShardScheduler::Core::HandleFailure(const WorkerId& id,
                                         Verdict verdict,
                                         TimePoint now) -> void {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) {
    return;
  }
  auto& worker = found->second;
  const auto kind = std::exchange(worker.in_flight, CommandKind::kNone);
  const auto starts_in_flight = std::exchange(worker.starts_in_flight, {});
  if (kind == CommandKind::kStart && verdict == Verdict::kNotRun) {
    for (const auto& attempt : starts_in_flight) {
      if (this->attempts.contains(attempt)) {
        this->LoseAttempt(attempt, "start_not_sent");
      }
    }
  }
  this->Count("scheduler_worker_failures_total", std::string(ToText(verdict)));
  worker.consecutive_failures++;
  // The worker receives no new work while in doubt, so that few tasks are
  // delayed by an unresponsive worker.
  this->index.SetUnreachable(id, true);
  if (worker.consecutive_failures >= kFailuresToUnreachable &&
      !worker.is_unreachable) {
    worker.is_unreachable = true;
    worker.unreachable_since = now;
    this->unreachable.insert(id);
  }
  this->ScheduleContact(worker, now + this->options.heartbeat_interval / 2);
}

}  // namespace shallotbank::scheduling
