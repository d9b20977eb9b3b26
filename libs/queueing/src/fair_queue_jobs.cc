#include <algorithm>

#include "fair_queue_state.h"

namespace shallotbank::queueing {

namespace leaf = boost::leaf;

auto FairQueue::State::FindJob(const JobId& id) -> Job* {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

auto FairQueue::State::Add(const QueuedJob& spec) -> leaf::result<void> {
  if (this->jobs.contains(spec.id) || this->ended_jobs.contains(spec.id)) {
    return leaf::new_error(JobError{"id", "is known already"});
  }
  auto& job = this->jobs[spec.id];
  job.spec = spec;
  job.team = &this->FindOrAddTeam(spec.team);
  job.order = {spec.submitted, ++this->last_sequence};
  job.waiting = spec.tasks;
  this->InsertWaiting(job);
  return {};
}

auto FairQueue::State::InsertWaiting(Job& job) -> void {
  job.team->queue.Insert(job);
  MarkStale(*job.team);
  this->waiting_jobs++;
  const bool may_expire = job.spec.start_by && job.running == 0 && !job.has_run;
  if (may_expire) {
    this->deadlines[{*job.spec.start_by, job.order.sequence}] = &job;
  }
}

auto FairQueue::State::RemoveWaiting(Job& job) -> void {
  if (job.group == nullptr) {
    return;
  }
  job.team->queue.Remove(job);
  MarkStale(*job.team);
  this->waiting_jobs--;
  if (job.spec.start_by) {
    this->deadlines.erase({*job.spec.start_by, job.order.sequence});
  }
  this->ClearOvertaken(job);
}

auto FairQueue::State::ClearOvertaken(Job& job) -> void {
  if (job.overtaken_since) {
    this->overtaken_jobs.erase({*job.overtaken_since, job.order.sequence});
    job.overtaken_since.reset();
  }
}

auto FairQueue::State::MarkOvertaken(TimePoint now) -> void {
  for (const auto& id : this->blocked_since_start) {
    auto* job = this->FindJob(id);
    const bool is_first_time =
        job != nullptr && job->group != nullptr && !job->overtaken_since;
    if (is_first_time) {
      job->overtaken_since = now;
      this->overtaken_jobs[{now, job->order.sequence}] = job;
    }
  }
  this->blocked_since_start.clear();
}

auto FairQueue::State::AddRunning(Job& job, std::int64_t tasks) -> void {
  const auto resources = Times(job.spec.need, tasks);
  auto& team = *job.team;
  job.running += tasks;
  team.running += {resources, tasks};
  if (job.spec.is_urgent) {
    team.urgent_running += resources;
  }
  if (team.organisation != nullptr) {
    team.organisation->running += resources;
  }
  this->UpdateUse(team);
}

auto FairQueue::State::SubtractRunning(Job& job, std::int64_t tasks) -> void {
  const auto resources = Times(job.spec.need, tasks);
  auto& team = *job.team;
  job.running -= tasks;
  team.running -= {resources, tasks};
  if (job.spec.is_urgent) {
    team.urgent_running -= resources;
  }
  if (team.organisation != nullptr) {
    team.organisation->running -= resources;
  }
  this->UpdateUse(team);
}

auto FairQueue::State::Started(const JobId& id, TimePoint now) -> bool {
  auto* job = this->FindJob(id);
  if (job == nullptr || job->group == nullptr) {
    return false;
  }
  const auto& team = *job->team;
  const auto after =
      team.running + team.unconfirmed_use + job->group->start_amount;
  if (team.organisation == nullptr || !after.FitsIn(team.limit)) {
    return false;
  }
  const auto tasks = job->TasksPerStart();
  this->RemoveWaiting(*job);
  job->waiting -= tasks;
  this->AddRunning(*job, tasks);
  if (job->waiting > 0) {
    this->InsertWaiting(*job);
  }
  if (this->reserved == id) {
    this->reserved.reset();
  }
  this->MarkOvertaken(now);
  return true;
}

auto FairQueue::State::Adopt(const JobId& id, std::int64_t tasks) -> bool {
  auto* job = this->FindJob(id);
  if (job == nullptr || tasks < 1 || tasks > job->waiting) {
    return false;
  }
  this->RemoveWaiting(*job);
  job->waiting -= tasks;
  this->AddRunning(*job, tasks);
  if (job->waiting > 0) {
    this->InsertWaiting(*job);
  }
  return true;
}

auto FairQueue::State::Blocked(const JobId& id, BlockReason reason) -> void {
  auto* job = this->FindJob(id);
  if (job == nullptr || job->group == nullptr) {
    return;
  }
  if (reason == BlockReason::kJobOnly && !job->has_own_shape) {
    auto& queue = job->team->queue;
    queue.Remove(*job);
    job->has_own_shape = true;
    queue.Insert(*job);
    MarkStale(*job->team);
  }
  this->shapes.Block(job->group->shape->key, reason);
  this->blocked_since_start.push_back(id);
  for (auto& organisation : this->organisations) {
    for (auto* team : organisation->teams) {
      const auto* shape = team->head.shape;
      if (!team->is_stale && shape != nullptr && shape->block_reason) {
        team->is_head_stale = true;
        organisation->is_stale = true;
      }
    }
  }
}

auto FairQueue::State::CapacityFreed() -> void {
  this->blocked_since_start.clear();
  if (!this->shapes.UnblockAll()) {
    return;
  }
  for (auto& organisation : this->organisations) {
    for (auto* team : organisation->teams) {
      if (!team->is_stale && !team->uses_unblocked_head) {
        team->head = team->unblocked_head;
        team->uses_unblocked_head = true;
        organisation->is_stale = true;
      }
      team->is_head_stale = false;
    }
  }
}

auto FairQueue::State::Ended(const JobId& id, TaskEnd end, std::int64_t tasks)
    -> bool {
  auto* job = this->FindJob(id);
  if (job == nullptr || tasks < 1 || tasks > job->running) {
    return false;
  }
  this->SubtractRunning(*job, tasks);
  this->CapacityFreed();
  job->has_run = job->has_run || end != TaskEnd::kReturned;
  const bool waits_again = end == TaskEnd::kReturned || end == TaskEnd::kRetry;
  if (waits_again && !job->is_cancelled) {
    this->RemoveWaiting(*job);
    job->waiting += tasks;
    this->InsertWaiting(*job);
  }
  if (job->running == 0 && job->waiting == 0) {
    this->RetireJob(id, job->has_run ? CancelOutcome::kFinished
                                     : CancelOutcome::kNotStarted);
  }
  return true;
}

auto FairQueue::State::RetireJob(const JobId& id, CancelOutcome outcome)
    -> void {
  if (this->reserved == id) {
    this->reserved.reset();
  }
  this->ended_job_order.push_back(id);
  this->ended_jobs[id] = outcome;
  this->jobs.erase(this->ended_job_order.back());
  if (this->ended_job_order.size() > this->max_ended_jobs) {
    this->ended_jobs.erase(this->ended_job_order.front());
    this->ended_job_order.pop_front();
  }
}

auto FairQueue::State::Cancel(const JobId& id) -> CancelOutcome {
  auto* job = this->FindJob(id);
  if (job == nullptr) {
    const auto found = this->ended_jobs.find(id);
    return found == this->ended_jobs.end() ? CancelOutcome::kUnknown
                                           : found->second;
  }
  job->is_cancelled = true;
  this->RemoveWaiting(*job);
  job->waiting = 0;
  if (this->reserved == id) {
    this->reserved.reset();
  }
  if (job->running > 0) {
    return CancelOutcome::kStopping;
  }
  const auto outcome =
      job->has_run ? CancelOutcome::kFinished : CancelOutcome::kNotStarted;
  this->RetireJob(id, outcome);
  return outcome;
}

auto FairQueue::State::RemoveExpired(TimePoint now) -> void {
  while (!this->deadlines.empty() &&
         this->deadlines.begin()->first.first <= now) {
    auto& job = *this->deadlines.begin()->second;
    this->expired.push_back(job.spec.id);
    this->RemoveWaiting(job);
    this->RetireJob(this->expired.back(), CancelOutcome::kNotStarted);
  }
}

auto FairQueue::State::TakeExpired(TimePoint now) -> std::vector<JobId> {
  this->RemoveExpired(now);
  return std::exchange(this->expired, {});
}

auto FairQueue::State::SetReserved(const std::optional<JobId>& id) -> void {
  const auto* job = id ? this->FindJob(*id) : nullptr;
  const bool is_waiting = job != nullptr && job->group != nullptr;
  this->reserved = is_waiting ? id : std::nullopt;
}

}  // namespace shallotbank::queueing
