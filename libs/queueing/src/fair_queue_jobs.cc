#include <algorithm>

#include "fair_queue_state.h"

namespace shallotbank::queueing {

namespace leaf = boost::leaf;

auto FairQueue::State::FindJob(const JobId& id) -> Job* {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

auto FairQueue::State::Add(const QueuedJob& accepted) -> leaf::result<void> {
  if (this->jobs.contains(accepted.id) || this->ended.contains(accepted.id)) {
    return leaf::new_error(JobError{"id", "is known already"});
  }
  auto& job = this->jobs[accepted.id];
  job.accepted = accepted;
  job.team = &this->FindOrAddTeam(accepted.team);
  job.order = {accepted.submitted, ++this->last_sequence};
  job.waiting = accepted.tasks;
  this->InsertWaiting(job);
  return {};
}

auto FairQueue::State::InsertWaiting(Job& job) -> void {
  job.team->queue.Insert(job);
  MarkStale(*job.team);
  this->waiting_jobs++;
  const bool may_expire =
      job.accepted.start_by && job.running == 0 && !job.has_run;
  if (may_expire) {
    this->deadlines[{*job.accepted.start_by, job.order.sequence}] = &job;
  }
}

auto FairQueue::State::RemoveWaiting(Job& job) -> void {
  if (job.group == nullptr) {
    return;
  }
  job.team->queue.Remove(job);
  MarkStale(*job.team);
  this->waiting_jobs--;
  if (job.accepted.start_by) {
    this->deadlines.erase({*job.accepted.start_by, job.order.sequence});
  }
  this->ClearOvertaken(job);
}

auto FairQueue::State::ClearOvertaken(Job& job) -> void {
  if (job.overtaken_since) {
    this->overtaken.erase({*job.overtaken_since, job.order.sequence});
    job.overtaken_since.reset();
  }
}

auto FairQueue::State::NoteOvertaken(TimePoint now) -> void {
  for (const auto& id : this->just_blocked) {
    auto* job = this->FindJob(id);
    const bool is_first_time =
        job != nullptr && job->group != nullptr && !job->overtaken_since;
    if (is_first_time) {
      job->overtaken_since = now;
      this->overtaken[{now, job->order.sequence}] = job;
    }
  }
  this->just_blocked.clear();
}

auto FairQueue::State::CountRunning(Job& job, std::int64_t tasks) -> void {
  const auto resources = Times(job.accepted.need, tasks);
  auto& team = *job.team;
  job.running += tasks;
  team.running += {resources, tasks};
  if (job.accepted.is_urgent) {
    team.urgent_running += resources;
  }
  if (team.organisation != nullptr) {
    team.organisation->running += resources;
  }
  this->UpdateUse(team);
}

auto FairQueue::State::CountEnded(Job& job, std::int64_t tasks) -> void {
  const auto resources = Times(job.accepted.need, tasks);
  auto& team = *job.team;
  job.running -= tasks;
  team.running -= {resources, tasks};
  if (job.accepted.is_urgent) {
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
  const auto after = team.running + team.held + job->group->start;
  if (team.organisation == nullptr || !after.FitsIn(team.limit)) {
    return false;
  }
  const auto tasks = job->StartTasks();
  this->RemoveWaiting(*job);
  job->waiting -= tasks;
  this->CountRunning(*job, tasks);
  if (job->waiting > 0) {
    this->InsertWaiting(*job);
  }
  if (this->reserved == id) {
    this->reserved.reset();
  }
  this->NoteOvertaken(now);
  return true;
}

auto FairQueue::State::Adopt(const JobId& id, std::int64_t tasks) -> bool {
  auto* job = this->FindJob(id);
  if (job == nullptr || tasks < 1 || tasks > job->waiting) {
    return false;
  }
  this->RemoveWaiting(*job);
  job->waiting -= tasks;
  this->CountRunning(*job, tasks);
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
  if (reason == BlockReason::kJobOnly && !job->is_apart) {
    auto& queue = job->team->queue;
    queue.Remove(*job);
    job->is_apart = true;
    queue.Insert(*job);
    MarkStale(*job->team);
  }
  this->shapes.Block(job->group->shape->key, reason);
  this->just_blocked.push_back(id);
  for (auto& organisation : this->organisations) {
    for (auto* team : organisation->teams) {
      const auto* shape = team->head.shape;
      if (!team->is_stale && shape != nullptr && shape->blocked) {
        team->is_head_stale = true;
        organisation->is_stale = true;
      }
    }
  }
}

auto FairQueue::State::RoomFreed() -> void {
  this->just_blocked.clear();
  if (!this->shapes.UnblockAll()) {
    return;
  }
  for (auto& organisation : this->organisations) {
    for (auto* team : organisation->teams) {
      if (!team->is_stale && !team->is_head_open) {
        team->head = team->open_head;
        team->is_head_open = true;
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
  this->CountEnded(*job, tasks);
  this->RoomFreed();
  job->has_run = job->has_run || end != TaskEnd::kReturned;
  const bool waits_again = end == TaskEnd::kReturned || end == TaskEnd::kRetry;
  if (waits_again && !job->is_stopping) {
    this->RemoveWaiting(*job);
    job->waiting += tasks;
    this->InsertWaiting(*job);
  }
  if (job->running == 0 && job->waiting == 0) {
    this->ForgetJob(id, job->has_run ? CancelOutcome::kFinished
                                     : CancelOutcome::kNotStarted);
  }
  return true;
}

auto FairQueue::State::ForgetJob(const JobId& id, CancelOutcome outcome)
    -> void {
  if (this->reserved == id) {
    this->reserved.reset();
  }
  this->ended_order.push_back(id);
  this->ended[id] = outcome;
  this->jobs.erase(this->ended_order.back());
  if (this->ended_order.size() > this->remembered_ends) {
    this->ended.erase(this->ended_order.front());
    this->ended_order.pop_front();
  }
}

auto FairQueue::State::Cancel(const JobId& id) -> CancelOutcome {
  auto* job = this->FindJob(id);
  if (job == nullptr) {
    const auto found = this->ended.find(id);
    return found == this->ended.end() ? CancelOutcome::kUnknown : found->second;
  }
  job->is_stopping = true;
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
  this->ForgetJob(id, outcome);
  return outcome;
}

auto FairQueue::State::RemoveExpired(TimePoint now) -> void {
  while (!this->deadlines.empty() &&
         this->deadlines.begin()->first.first <= now) {
    auto& job = *this->deadlines.begin()->second;
    this->expired.push_back(job.accepted.id);
    this->RemoveWaiting(job);
    this->ForgetJob(this->expired.back(), CancelOutcome::kNotStarted);
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
