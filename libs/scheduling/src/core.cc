#include "core.h"

#include <algorithm>

namespace shallotbank::scheduling {

namespace leaf = boost::leaf;

ShardScheduler::Core::Core(Epoch epoch,
                           SchedulingOptions options,
                           Metrics* metrics,
                           TimePoint now)
    : epoch(epoch),
      options(options),
      metrics(metrics),
      created_at(now),
      placer(this->index) {}

auto ShardScheduler::Core::FindJob(const JobId& id) -> JobRecord* {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

auto ShardScheduler::Core::Count(const char* name, const std::string& reason)
    -> void {
  if (this->metrics != nullptr) {
    this->metrics->Add(name, reason);
  }
}

auto ShardScheduler::Core::SetPolicy(const queueing::QueuePolicy& policy)
    -> leaf::result<void> {
  BOOST_LEAF_CHECK(this->queue.SetPolicy(policy));
  this->UpdateUnconfirmedUse();
  return {};
}

auto ShardScheduler::Core::SetWorkers(const std::vector<ListedWorker>& listed,
                                      TimePoint now) -> void {
  std::set<WorkerId> present;
  for (const auto& entry : listed) {
    if (!this->index.PutWorker(entry.worker)) {
      this->Count("scheduler_worker_refused_total", "invalid_capacity");
      continue;
    }
    const auto& id = entry.worker.id;
    if (!entry.is_gone) {
      present.insert(id);
    }
    const bool is_new = !this->workers.contains(id);
    auto& worker = this->workers[id];
    worker.worker = entry.worker;
    worker.is_listed = !entry.is_gone;
    if (is_new) {
      // A new worker counts as full until it has reported its tasks.
      this->index.SetUnreachable(id, true);
      this->ScheduleContact(worker, now);
    }
    if (worker.is_leaving != entry.is_leaving) {
      worker.is_leaving = entry.is_leaving;
      this->index.SetLeaving(id, entry.is_leaving);
      if (entry.is_leaving) {
        this->MoveServicesFrom(worker);
      }
    }
  }
  for (auto& [id, worker] : this->workers) {
    if (!present.contains(id) && worker.is_listed) {
      worker.is_listed = false;
    }
    if (!worker.is_listed) {
      this->index.SetLeaving(id, true);
    }
  }
  this->queue.CapacityFreed();
}

auto ShardScheduler::Core::AddJob(const JobSpec& spec,
                                  const std::vector<int>& ended_task_indexes,
                                  TimePoint /*now*/) -> leaf::result<void> {
  if (this->jobs.contains(spec.id)) {
    return {};
  }
  if (spec.tasks <= 0) {
    return leaf::new_error(
        queueing::JobError{"tasks", "a job needs at least one task"});
  }
  JobRecord job;
  job.spec = spec;
  this->longest_lease = std::max(this->longest_lease, spec.lease);
  const auto count = static_cast<std::size_t>(spec.tasks);
  job.states.assign(count, TaskState::kWaiting);
  job.failed_runs.assign(count, 0);
  for (const int index : ended_task_indexes) {
    if (index >= 0 && index < spec.tasks) {
      job.states[static_cast<std::size_t>(index)] = TaskState::kDone;
    }
  }
  for (int index = spec.tasks - 1; index >= 0; --index) {
    if (job.states[static_cast<std::size_t>(index)] == TaskState::kWaiting) {
      job.waiting.push_back(index);
    }
  }
  job.ended = spec.tasks - static_cast<int>(job.waiting.size());
  // The previous owner can only have started jobs that were accepted before
  // this epoch began.
  job.is_held = spec.accepted_at < this->epoch &&
                (!this->is_recovered || this->HasUnattachedWorkers());
  if (!job.is_held) {
    BOOST_LEAF_CHECK(this->EnqueueJob(job));
  } else {
    this->held_jobs.insert(spec.id);
  }
  this->jobs.emplace(spec.id, std::move(job));
  return {};
}

auto ShardScheduler::Core::EnqueueJob(JobRecord& job) -> leaf::result<void> {
  job.is_held = false;
  const auto open = static_cast<std::int64_t>(job.waiting.size()) + job.active;
  if (open == 0) {
    return {};
  }
  const auto& spec = job.spec;
  BOOST_LEAF_CHECK(this->queue.Add(
      {.id = spec.id,
       .team = spec.team,
       .profile = spec.profile,
       .need = spec.need,
       .tasks = open,
       .is_gang = spec.task_class == placement::TaskClass::kGang,
       .is_urgent = spec.is_urgent,
       .is_single_run = spec.is_single_run,
       .submitted = spec.submitted,
       .start_by = job.active > 0 ? std::nullopt : spec.start_by,
       .placement_class = static_cast<std::uint32_t>(spec.task_class)}));
  if (job.active > 0) {
    this->queue.Adopt(spec.id, job.active);
  }
  return {};
}

auto ShardScheduler::Core::CancelJob(const JobId& id, TimePoint /*now*/)
    -> queueing::CancelOutcome {
  auto* job = this->FindJob(id);
  if (job == nullptr) {
    return this->queue.Cancel(id);
  }
  if (!job->is_cancelled) {
    job->is_cancelled = true;
    // A held job is not queued; its tasks are stopped when a worker reports
    // them.
    if (!job->is_held) {
      this->queue.Cancel(id);
    }
    job->waiting.clear();
    this->placer.CancelReservation(id);
    this->cancelling.insert(id);
    for (const auto& [task_index, attempt] : job->current_attempts) {
      this->StopAttempt(this->attempts.at(attempt), /*requeue=*/false);
    }
  }
  return job->active > 0 || job->is_held ? queueing::CancelOutcome::kStopping
                                         : queueing::CancelOutcome::kNotStarted;
}

auto ShardScheduler::Core::OnTaskRecorded(const JobId& id, int task_index)
    -> void {
  auto* job = this->FindJob(id);
  if (job == nullptr || task_index < 0 || task_index >= job->spec.tasks) {
    return;
  }
  auto& state = job->states[static_cast<std::size_t>(task_index)];
  if (state != TaskState::kEnding) {
    return;
  }
  state = TaskState::kDone;
  const auto current = job->current_attempts.find(task_index);
  if (current != job->current_attempts.end()) {
    const auto attempt = current->second;
    this->workers[this->attempts.at(attempt).worker].to_acknowledge.insert(
        attempt);
    this->EraseAttempt(attempt);
  }
}

auto ShardScheduler::Core::ForgetJob(const JobId& id) -> void {
  auto* job = this->FindJob(id);
  if (job == nullptr) {
    return;
  }
  // Attempts that still run are stopped when their worker reports them, since
  // they no longer belong to a job.
  const auto current = job->current_attempts;
  for (const auto& [task_index, attempt] : current) {
    this->workers[this->attempts.at(attempt).worker].to_acknowledge.insert(
        attempt);
    this->EraseAttempt(attempt);
  }
  const auto replaced = job->replaced_attempts;
  for (const auto& attempt : replaced) {
    this->EraseAttempt(attempt);
  }
  this->quarantine.ForgetJob(id);
  this->held_jobs.erase(id);
  this->cancelling.erase(id);
  this->jobs.erase(id);
}

auto ShardScheduler::Core::ReportCancelled() -> void {
  for (auto it = this->cancelling.begin(); it != this->cancelling.end();) {
    auto* job = this->FindJob(*it);
    if (job == nullptr) {
      it = this->cancelling.erase(it);
      continue;
    }
    if (job->active == 0 && !job->is_held && !job->is_cancel_reported) {
      job->is_cancel_reported = true;
      this->output.cancelled.push_back(*it);
      it = this->cancelling.erase(it);
      continue;
    }
    ++it;
  }
}

auto ShardScheduler::Core::ExpireJobs(TimePoint now) -> void {
  for (const auto& id : this->queue.TakeExpired(now)) {
    if (auto* job = this->FindJob(id)) {
      job->waiting.clear();
      this->output.expired.push_back(id);
    }
  }
}

auto ShardScheduler::Core::Tick(TimePoint now) -> Output {
  if (!this->is_recovered) {
    this->UpdateRecovery(now);
  }
  if (this->is_recovered) {
    this->ReleaseHeldJobs(now);
    this->ReplaceLostTasks(now);
    this->ExpireJobs(now);
    if (this->HasAuthority(now)) {
      this->PlaceProbes(now);
      this->PlaceWork(now);
    }
  }
  this->ReportCancelled();
  this->EmitCommands(now);
  return std::exchange(this->output, {});
}

auto ShardScheduler::Core::Describe(const JobId& id, TimePoint now) const
    -> std::optional<JobStatus> {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return std::nullopt;
  }
  const auto& job = found->second;
  JobStatus status;
  status.is_cancelled = job.is_cancelled;
  status.is_held = job.is_held;
  for (const auto state : job.states) {
    status.waiting += state == TaskState::kWaiting ? 1 : 0;
    status.running += state == TaskState::kActive ? 1 : 0;
    status.finishing += state == TaskState::kEnding ? 1 : 0;
    status.ended += state == TaskState::kDone ? 1 : 0;
  }
  for (const auto& [task_index, attempt] : job.current_attempts) {
    status.workers.push_back(this->attempts.at(attempt).worker);
  }
  if (job.is_held) {
    status.why_waiting = "may-run-on-unreachable-worker";
  } else if (const auto why = this->queue.WhyWaiting(id, now);
             why && status.waiting > 0) {
    status.why_waiting = queueing::ToText(*why);
  }
  return status;
}

auto ShardScheduler::Core::Workers() const -> std::vector<WorkerSummary> {
  std::vector<WorkerSummary> result;
  for (const auto& [id, worker] : this->workers) {
    if (const auto status = this->index.FindWorker(id)) {
      result.push_back({id, *status, worker.is_attached});
    }
  }
  return result;
}

}  // namespace shallotbank::scheduling
