#include <algorithm>

#include "core.h"

namespace shallotbank::scheduling {

auto ShardScheduler::Core::HasUnattachedWorkers() const -> bool {
  return std::any_of(
      this->workers.begin(), this->workers.end(),
      [](const auto& entry) { return !entry.second.is_attached; });
}

auto ShardScheduler::Core::HasUnattachedListedWorkers() const -> bool {
  return std::any_of(
      this->workers.begin(), this->workers.end(), [](const auto& entry) {
        return !entry.second.is_attached && entry.second.is_listed;
      });
}

auto ShardScheduler::Core::UnattachedCapacity() const -> Resources {
  Resources unattached_capacity;
  for (const auto& [id, worker] : this->workers) {
    unattached_capacity +=
        worker.is_attached ? Resources() : worker.worker.capacity;
  }
  return unattached_capacity;
}

// Recovery is complete when all workers have reported their tasks, or when a
// majority has and `recovery_wait` has passed for the others.
auto ShardScheduler::Core::UpdateRecovery(TimePoint now) -> void {
  const auto attached =
      std::count_if(this->workers.begin(), this->workers.end(),
                    [](const auto& entry) { return entry.second.is_attached; });
  const auto total = static_cast<std::ptrdiff_t>(this->workers.size());
  const bool is_majority = 2 * attached > total;
  const bool is_late = now >= this->created_at + this->options.recovery_wait;
  this->is_recovered =
      total > 0 && (attached == total || (is_majority && is_late));
  this->recovered_at = now;
}

// The previous owner may have had its authority confirmed until a majority of
// the workers had accepted this epoch.
auto ShardScheduler::Core::LastCommandOfPreviousOwner() const -> TimePoint {
  return this->recovered_at + this->options.previous_authority +
         this->options.command_timeout;
}

auto ShardScheduler::Core::LeasesExpireBy() const -> TimePoint {
  return this->LastCommandOfPreviousOwner() + this->longest_lease;
}

// Returns whether a task of the job that no worker has reported may run, or may
// have finished, on a worker that has not responded in this epoch.
auto ShardScheduler::Core::MayRunOnUnattachedWorker(const JobRecord& job,
                                                    TimePoint now) const
    -> bool {
  if (job.waiting.empty() || !this->HasUnattachedWorkers()) {
    return false;
  }
  const auto last_command = this->LastCommandOfPreviousOwner();
  if (!job.spec.is_single_run) {
    return now < last_command +
                     std::min(job.spec.lease, this->options.replacement_delay);
  }
  return this->HasUnattachedListedWorkers() ||
         now < last_command + job.spec.lease;
}

auto ShardScheduler::Core::ReleaseHeldJobs(TimePoint now) -> void {
  if (!this->unconfirmed_work.empty()) {
    const bool none_unattached = !this->HasUnattachedWorkers();
    const auto gone =
        std::erase_if(this->unconfirmed_work,
                      [now, none_unattached](const UnconfirmedWork& work) {
                        return none_unattached || now >= work.until;
                      });
    if (gone > 0) {
      this->UpdateUnconfirmedUse();
    }
  }
  if (this->held_jobs.empty()) {
    return;
  }
  const bool all_attached = !this->HasUnattachedWorkers();
  bool changed = false;
  for (auto it = this->held_jobs.begin(); it != this->held_jobs.end();) {
    auto* job = this->FindJob(*it);
    if (job == nullptr) {
      it = this->held_jobs.erase(it);
      continue;
    }
    if (this->MayRunOnUnattachedWorker(*job, now)) {
      ++it;
      continue;
    }
    if (!all_attached) {
      const auto waiting = static_cast<std::int64_t>(job->waiting.size());
      this->unconfirmed_work.push_back(
          {job->spec.team, Times(job->spec.need, waiting), waiting,
           this->LastCommandOfPreviousOwner() + job->spec.lease});
    }
    if (!this->EnqueueJob(*job)) {
      this->Count("scheduler_inconsistent_total");
    } else if (job->is_cancelled) {
      this->queue.Cancel(*it);
    }
    changed = true;
    it = this->held_jobs.erase(it);
  }
  if (changed) {
    this->UpdateUnconfirmedUse();
  }
}

// The tasks of held jobs that run, or may run on workers that have not
// responded, count against the limits of their teams.
auto ShardScheduler::Core::UpdateUnconfirmedUse() -> void {
  const auto unattached_capacity = this->UnattachedCapacity();
  std::map<TeamId, queueing::Amount> running;
  std::map<TeamId, queueing::Amount> possible;
  for (const auto& id : this->held_jobs) {
    const auto* job = this->FindJob(id);
    if (job == nullptr) {
      continue;
    }
    const auto& spec = job->spec;
    const auto waiting = static_cast<std::int64_t>(job->waiting.size());
    running[spec.team] +=
        queueing::Amount{Times(spec.need, job->active), job->active};
    possible[spec.team] += queueing::Amount{Times(spec.need, waiting), waiting};
  }
  for (const auto& work : this->unconfirmed_work) {
    possible[work.team] += queueing::Amount{work.need, work.tasks};
  }
  for (const auto& [id, attempt] : this->attempts) {
    if (attempt.is_replaced) {
      const auto& spec = this->jobs.at(attempt.job).spec;
      running[spec.team] += queueing::Amount{spec.need, 1};
    }
  }
  for (auto& [team, amount] : this->unconfirmed_use) {
    amount = {};
  }
  for (const auto& [team, amount] : running) {
    this->unconfirmed_use[team] += amount;
  }
  for (const auto& [team, amount] : possible) {
    auto& use = this->unconfirmed_use[team];
    use.tasks += amount.tasks;
    use.resources.cores_milli +=
        std::min(amount.resources.cores_milli, unattached_capacity.cores_milli);
    use.resources.memory_mib +=
        std::min(amount.resources.memory_mib, unattached_capacity.memory_mib);
    use.resources.accelerators += std::min(amount.resources.accelerators,
                                           unattached_capacity.accelerators);
  }
  for (const auto& [team, amount] : this->unconfirmed_use) {
    this->queue.SetUnconfirmedUse(team, amount);
  }
}

auto ShardScheduler::Core::ReplaceLostTasks(TimePoint now) -> void {
  const auto lost = this->unreachable;
  for (const auto& id : lost) {
    this->ReplaceTasksOnWorker(this->workers.at(id), now);
  }
}

auto ShardScheduler::Core::ReplaceTasksOnWorker(WorkerRecord& worker,
                                                TimePoint now) -> void {
  const auto ids = worker.attempts;
  bool changed = false;
  for (const auto& id : ids) {
    auto& attempt = this->attempts.at(id);
    if (attempt.state == AttemptState::kEnding) {
      continue;
    }
    const bool may_run_twice = !this->jobs.at(attempt.job).spec.is_single_run;
    if (now >= attempt.lease_expires_by &&
        (may_run_twice || !worker.is_listed)) {
      this->LoseAttempt(id, "worker_lost");
      changed = true;
      continue;
    }
    auto& job = this->jobs.at(attempt.job);
    if (may_run_twice && !attempt.is_replaced &&
        now >= worker.unreachable_since + this->options.replacement_delay) {
      attempt.is_replaced = true;
      job.current_attempts.erase(attempt.index);
      job.replaced_attempts.insert(id);
      this->RequeueTask(job, attempt.index, queueing::TaskEnd::kRetry);
      this->Count("scheduler_replaced_total");
      changed = true;
    }
  }
  if (changed) {
    this->UpdateUnconfirmedUse();
  }
}

// Batch tasks run to completion on the leaving worker; services would run on
// indefinitely, so they are moved.
auto ShardScheduler::Core::MoveServicesFrom(WorkerRecord& worker) -> void {
  const auto ids = worker.attempts;
  for (const auto& id : ids) {
    auto& attempt = this->attempts.at(id);
    if (this->jobs.at(attempt.job).spec.task_class ==
        placement::TaskClass::kService) {
      this->StopAttempt(attempt, /*requeue=*/true);
      this->Count("scheduler_moved_total");
    }
  }
}

}  // namespace shallotbank::scheduling
