#include <algorithm>

#include "core.h"

namespace shallotbank::scheduling {

auto ShardScheduler::Core::HasUnreachedWorkers() const -> bool {
  return std::any_of(
      this->workers.begin(), this->workers.end(),
      [](const auto& entry) { return !entry.second.is_attached; });
}

auto ShardScheduler::Core::HasUnreachedListedWorkers() const -> bool {
  return std::any_of(
      this->workers.begin(), this->workers.end(), [](const auto& entry) {
        return !entry.second.is_attached && entry.second.is_listed;
      });
}

auto ShardScheduler::Core::UnreachedCapacity() const -> Resources {
  Resources unreached;
  for (const auto& [id, worker] : this->workers) {
    unreached += worker.is_attached ? Resources() : worker.worker.capacity;
  }
  return unreached;
}

// Placing begins when every worker has told what it runs, or when a majority
// has and the others have had their time.
auto ShardScheduler::Core::Settle(TimePoint now) -> void {
  const auto attached =
      std::count_if(this->workers.begin(), this->workers.end(),
                    [](const auto& entry) { return entry.second.is_attached; });
  const auto total = static_cast<std::ptrdiff_t>(this->workers.size());
  const bool is_majority = 2 * attached > total;
  const bool is_late = now >= this->began_at + this->options.settle_time;
  this->settled = total > 0 && (attached == total || (is_majority && is_late));
  this->settled_at = now;
}

// The previous owner may have had its authority confirmed until a majority had
// taken this epoch.
auto ShardScheduler::Core::LastCommandOfPreviousOwner() const -> TimePoint {
  return this->settled_at + this->options.previous_authority +
         this->options.command_timeout;
}

auto ShardScheduler::Core::LeasesExpireBy() const -> TimePoint {
  return this->LastCommandOfPreviousOwner() + this->longest_lease;
}

// Whether a task of the job that no worker has named may run, or may have
// finished, on a worker that has not answered in this epoch.
auto ShardScheduler::Core::MayRunUnseen(const JobRecord& job,
                                        TimePoint now) const -> bool {
  if (job.waiting.empty() || !this->HasUnreachedWorkers()) {
    return false;
  }
  const auto last_command = this->LastCommandOfPreviousOwner();
  if (!job.spec.is_single_run) {
    return now < last_command +
                     std::min(job.spec.lease, this->options.replacement_delay);
  }
  return this->HasUnreachedListedWorkers() ||
         now < last_command + job.spec.lease;
}

auto ShardScheduler::Core::ReleaseHolds(TimePoint now) -> void {
  if (!this->unseen.empty()) {
    const bool all_seen = !this->HasUnreachedWorkers();
    const auto gone =
        std::erase_if(this->unseen, [now, all_seen](const UnseenWork& work) {
          return all_seen || now >= work.until;
        });
    if (gone > 0) {
      this->UpdateHeldAmounts();
    }
  }
  if (this->held_jobs.empty()) {
    return;
  }
  const bool all_reached = !this->HasUnreachedWorkers();
  bool changed = false;
  for (auto it = this->held_jobs.begin(); it != this->held_jobs.end();) {
    auto* job = this->FindJob(*it);
    if (job == nullptr) {
      it = this->held_jobs.erase(it);
      continue;
    }
    if (this->MayRunUnseen(*job, now)) {
      ++it;
      continue;
    }
    if (!all_reached) {
      const auto waiting = static_cast<std::int64_t>(job->waiting.size());
      this->unseen.push_back(
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
    this->UpdateHeldAmounts();
  }
}

// What held jobs run, or may run on workers that have not answered, counts
// against the limits of their teams.
auto ShardScheduler::Core::UpdateHeldAmounts() -> void {
  const auto unreached = this->UnreachedCapacity();
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
  for (const auto& work : this->unseen) {
    possible[work.team] += queueing::Amount{work.need, work.tasks};
  }
  for (const auto& [id, attempt] : this->attempts) {
    if (attempt.is_replaced) {
      const auto& spec = this->jobs.at(attempt.job).spec;
      running[spec.team] += queueing::Amount{spec.need, 1};
    }
  }
  for (auto& [team, amount] : this->held_amounts) {
    amount = {};
  }
  for (const auto& [team, amount] : running) {
    this->held_amounts[team] += amount;
  }
  for (const auto& [team, amount] : possible) {
    auto& held = this->held_amounts[team];
    held.tasks += amount.tasks;
    held.resources.cores_milli +=
        std::min(amount.resources.cores_milli, unreached.cores_milli);
    held.resources.memory_mib +=
        std::min(amount.resources.memory_mib, unreached.memory_mib);
    held.resources.accelerators +=
        std::min(amount.resources.accelerators, unreached.accelerators);
  }
  for (const auto& [team, amount] : this->held_amounts) {
    this->queue.SetHeld(team, amount);
  }
}

auto ShardScheduler::Core::ReplaceLostTasks(TimePoint now) -> void {
  const auto lost = this->unreachable;
  for (const auto& id : lost) {
    this->ReplaceOnWorker(this->workers.at(id), now);
  }
}

auto ShardScheduler::Core::ReplaceOnWorker(WorkerRecord& worker, TimePoint now)
    -> void {
  const auto ids = worker.attempts;
  bool changed = false;
  for (const auto& id : ids) {
    auto& attempt = this->attempts.at(id);
    if (attempt.state == AttemptState::kEnding) {
      continue;
    }
    const bool may_run_twice = !this->jobs.at(attempt.job).spec.is_single_run;
    if (now >= attempt.lease_bound && (may_run_twice || !worker.is_listed)) {
      this->LoseAttempt(id, "worker_lost");
      changed = true;
      continue;
    }
    auto& job = this->jobs.at(attempt.job);
    if (may_run_twice && !attempt.is_replaced &&
        now >= worker.unreachable_since + this->options.replacement_delay) {
      attempt.is_replaced = true;
      job.current.erase(attempt.index);
      job.replaced.insert(id);
      this->ReturnTask(job, attempt.index, queueing::TaskEnd::kRetry);
      this->Count("scheduler_replaced_total");
      changed = true;
    }
  }
  if (changed) {
    this->UpdateHeldAmounts();
  }
}

// Batch work ends where it is; services go on until they are moved.
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
