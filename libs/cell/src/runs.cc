#include <algorithm>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// An order without an answer is resent after this time. Orders are idempotent:
/// a worker starts a run only once.
constexpr std::chrono::milliseconds kResendDelay{500};
/// An answered stop order is resent if the run is still listed after this time.
constexpr std::chrono::milliseconds kStopResendDelay{1500};
/// Delay before a step is placed again after a worker refused its start.
constexpr std::chrono::milliseconds kRefusalDelay{50};
/// How long a worker that refused as unhealthy gets no new tasks.
constexpr std::chrono::milliseconds kUnhealthyQuarantine{1000};
/// The same for one that a start did not reach. The next poll shows whether it
/// is gone.
constexpr std::chrono::milliseconds kUndeliveredQuarantine{200};
/// A gang is stopped if a member's start is not confirmed within this time.
/// Workers let a member wait 4 s for the others; the rest of that time is for
/// the stop orders.
constexpr std::chrono::milliseconds kGangStartTimeout{2000};
/// Starts in flight to one worker. Few connections lead to it, so further ones
/// would time out before they are sent.
constexpr std::ptrdiff_t kMaxStartsInFlight = 64;

auto StageName(RunStage stage) -> const char* {
  switch (stage) {
    case RunStage::kNone:
      return "none";
    case RunStage::kStoring:
      return "not-sent";
    case RunStage::kStarting:
      return "unanswered";
    case RunStage::kRunning:
      return "confirmed";
    case RunStage::kUnknown:
      return "previous-leader";
  }
  return "";
}

auto IsGangStartOverdue(const LiveTask& member, TimePoint now) -> bool {
  return member.step->spec->is_gang &&
         now - member.first_start_sent_at >= kGangStartTimeout;
}

}  // namespace

auto Scheduler::Core::FindTask(const WorkerId& worker,
                               const TaskId& name,
                               int run) -> LiveTask* {
  const auto entry = this->workers.find(worker);
  if (entry == this->workers.end()) {
    return nullptr;
  }
  const auto found = entry->second.tasks.find(name);
  if (found == entry->second.tasks.end() ||
      found->second->persistent.run != run) {
    return nullptr;
  }
  return found->second;
}

auto Scheduler::Core::AddUsage(const LiveTask& task, LiveWorker& worker)
    -> void {
  auto& step = *task.step;
  const auto& demand = step.spec->demand;
  step.assigned++;
  if (step.spec->max_per_worker > 0) {
    step.assigned_on[worker.report.id]++;
  }
  worker.used += demand;
  this->free_cores.Update(worker);
  this->organisation_usage[task.step->job->spec.organisation].used += demand;
}

auto Scheduler::Core::RemoveUsage(const LiveTask& task, LiveWorker& worker)
    -> void {
  auto& step = *task.step;
  const auto& demand = step.spec->demand;
  step.assigned--;
  const auto on_worker = step.assigned_on.find(worker.report.id);
  if (on_worker != step.assigned_on.end() && --on_worker->second == 0) {
    step.assigned_on.erase(on_worker);
  }
  worker.used -= demand;
  this->free_cores.Update(worker);
  this->organisation_usage[task.step->job->spec.organisation].used -= demand;
}

auto Scheduler::Core::Assign(LiveTask& task, LiveWorker& worker, TimePoint now)
    -> void {
  auto& step = *task.step;
  auto& job = *step.job;
  task.persistent.phase = TaskPhase::kAssigned;
  task.persistent.run++;
  task.persistent.worker = {worker.report.id, worker.born_unix_ms};
  task.persistent.assigned_at = {
      this->options.epoch, 0,
      std::chrono::floor<Milliseconds>(now - this->took_over_at)};
  task.stage = RunStage::kStoring;
  task.batch = 0;
  task.stop_requested = false;
  task.is_stop_answered = false;
  task.is_superseded = false;
  task.percent = -1;
  task.next_send = now;
  task.is_start_in_flight = false;
  task.is_stop_in_flight = false;
  task.is_start_uncertain = false;
  task.first_start_sent_at = TimePoint();
  task.ticket.clear();
  const auto ticket = step.advice.tickets.find(worker.report.id);
  if (ticket != step.advice.tickets.end()) {
    task.ticket = ticket->second.text;
    task.ticket_expires = ticket->second.expires;
  }
  step.waiting--;
  job.placed_tasks++;
  if (step.waiting + 1 == step.tasks.size()) {
    this->AddNote(
        Event::kTaskAssigned,
        {{"step", step.name},
         {"tasks", std::to_string(step.tasks.size())},
         {"worker", worker.report.id.Text()},
         {"job_age_ms", MillisecondsText(now - job.accepted_at)},
         {"advice_ms", MillisecondsText(step.advice.query_time)},
         {"configuration", std::to_string(this->configuration.version)}});
  }
  task.hold_until = TimePoint();
  worker.tasks.emplace(task.name, &task);
  worker.suspects += task.IsSuspect() ? 1 : 0;
  this->AddUsage(task, worker);
  this->MarkDirty(job);
}

auto Scheduler::Core::ConfirmStart(LiveTask& task, TimePoint now) -> void {
  auto& job = *task.step->job;
  task.stage = RunStage::kRunning;
  task.confirmed_at = now;
  // A stored assignment may never start, so the job is not shown as running
  // until the start is confirmed.
  if (job.state == JobState::kQueued) {
    job.state = JobState::kRunning;
    this->MarkDirty(job);
  }
}

auto Scheduler::Core::Unassign(LiveTask& task) -> void {
  auto& worker = this->GetOrAddWorker(task.persistent.worker.id);
  auto& job = *task.step->job;
  worker.tasks.erase(task.name);
  worker.suspects -= task.IsSuspect() ? 1 : 0;
  this->RemoveUsage(task, worker);
  job.placed_tasks--;
  task.stage = RunStage::kNone;
  task.stop_requested = false;
  this->needs_placement = true;
}

auto Scheduler::Core::ReturnToWaiting(LiveTask& task) -> void {
  auto& step = *task.step;
  task.persistent.phase = TaskPhase::kWaiting;
  step.waiting++;
  step.first_waiting = std::min(step.first_waiting, task.index);
  this->waiting_jobs.insert(step.job);
}

auto Scheduler::Core::MarkDone(LiveTask& task) -> void {
  if (task.persistent.phase == TaskPhase::kDone) {
    return;
  }
  auto& step = *task.step;
  if (task.persistent.phase == TaskPhase::kWaiting) {
    step.waiting--;
  }
  task.persistent.phase = TaskPhase::kDone;
  this->MarkDirty(*step.job);
  step.unfinished--;
  if (step.unfinished == 0) {
    this->OnStepDone(step);
  }
}

auto Scheduler::Core::CountFailure(LiveTask& task) -> void {
  auto& step = *task.step;
  if (step.spec->is_long_running) {
    return;
  }
  if (!step.spec->is_gang) {
    task.persistent.failed_runs++;
  } else if (step.last_failed_run < task.persistent.run) {
    step.last_failed_run = task.persistent.run;
    for (auto& member : step.tasks) {
      member.persistent.failed_runs++;
    }
  }
  const auto* queue = this->QueueOf(*step.job);
  if (queue != nullptr && task.persistent.failed_runs >= queue->max_failures) {
    this->FinishJob(*step.job, JobState::kFailed,
                    "task " + task.name.Text() + " failed " +
                        std::to_string(task.persistent.failed_runs) + " times");
  }
}

auto Scheduler::Core::SaveCheckpoint(LiveTask& task,
                                     const std::string& checkpoint) -> void {
  auto& step = *task.step;
  if (!step.spec->is_gang) {
    task.persistent.checkpoint = checkpoint;
    return;
  }
  // That of any member is valid for all, so that of the first one is used.
  if (step.checkpoint_run == task.persistent.run) {
    return;
  }
  step.checkpoint_run = task.persistent.run;
  for (auto& member : step.tasks) {
    member.persistent.checkpoint = checkpoint;
  }
}

auto Scheduler::Core::OnRunEnded(LiveTask& task,
                                 EndKind how,
                                 const std::string& checkpoint,
                                 LiveWorker& worker,
                                 TimePoint now) -> void {
  auto& step = *task.step;
  const auto& job = step.job->spec.id;
  this->MarkDirty(*step.job);
  this->Unassign(task);
  if (how == EndKind::kDone && !step.spec->is_long_running) {
    worker.failed_jobs.clear();
    worker.quarantine_duration = Duration::zero();
    if (!step.spec->is_gang) {
      this->MarkDone(task);
    } else if (task.persistent.phase != TaskPhase::kDone) {
      for (auto& member : step.tasks) {
        this->MarkDone(member);
      }
    }
    return;
  }
  if (task.persistent.phase == TaskPhase::kDone) {
    return;  // The completion of another member already completed the gang.
  }
  this->ReturnToWaiting(task);
  if (!checkpoint.empty()) {
    this->SaveCheckpoint(task, checkpoint);
  }
  static constexpr const char* kNames[] = {"done",   "failed", "stopped",
                                           "lapsed", "broken", "alone"};
  this->AddNote(Event::kTaskLost, {{"task", task.name.Text()},
                                   {"run", std::to_string(task.persistent.run)},
                                   {"worker", worker.report.id.Text()},
                                   {"how", kNames[static_cast<int>(how)]}});
  if (step.spec->is_gang) {
    this->AbandonGang(step, task.persistent.run);
  }
  if (how == EndKind::kFailed) {
    task.failed_workers.push_back(worker.report.id);
    this->RecordFailure(worker, job, now);
    this->CountFailure(task);
  }
}

auto Scheduler::Core::FindTaskOfJob(const TaskId& name) -> LiveTask* {
  const auto& text = name.Text();
  const auto found = this->jobs.find(JobId(text.substr(0, text.find('.'))));
  if (found == this->jobs.end()) {
    return nullptr;
  }
  const auto position = ParseTaskName(name);
  if (!position) {
    return nullptr;
  }
  auto* occurrence = found->second->FindOccurrence(position->occurrence);
  if (occurrence == nullptr || position->step >= occurrence->steps.size()) {
    return nullptr;
  }
  auto& tasks = occurrence->steps[position->step].tasks;
  return position->index < tasks.size() ? &tasks[position->index] : nullptr;
}

auto Scheduler::Core::OnLateCompletion(const TaskId& name, int run) -> void {
  auto* task = this->FindTaskOfJob(name);
  if (task == nullptr || run > task->persistent.run) {
    return;
  }
  auto& step = *task->step;
  if (step.spec->is_long_running || IsFinal(step.job->state) ||
      task->persistent.phase == TaskPhase::kDone) {
    return;
  }
  const auto complete = [this](LiveTask& completed) {
    this->MarkDone(completed);
    this->AbandonRun(completed);
  };
  if (step.spec->is_gang) {
    std::for_each(step.tasks.begin(), step.tasks.end(), complete);
  } else {
    complete(*task);
  }
}

auto Scheduler::Core::OnRunLost(LiveTask& task, const char* reason) -> void {
  auto& step = *task.step;
  this->AddNote(Event::kTaskLost, {{"task", task.name.Text()},
                                   {"run", std::to_string(task.persistent.run)},
                                   {"worker", task.persistent.worker.id.Text()},
                                   {"how", reason},
                                   {"stage", StageName(task.stage)}});
  this->Unassign(task);
  this->MarkDirty(*step.job);
  if (task.persistent.phase == TaskPhase::kDone) {
    return;
  }
  this->ReturnToWaiting(task);
  if (step.spec->is_gang) {
    this->AbandonGang(step, task.persistent.run);
  }
}

auto Scheduler::Core::AbandonRun(LiveTask& task) -> void {
  if (task.stage == RunStage::kNone) {
    return;
  }
  if (task.stage == RunStage::kStoring) {
    this->Unassign(task);
    if (task.persistent.phase == TaskPhase::kAssigned) {
      this->ReturnToWaiting(task);
    }
    return;
  }
  if (!task.stop_requested) {
    this->RequestStop(task);
    task.next_send = TimePoint();
  }
}

auto Scheduler::Core::AbandonGang(LiveStep& step, int run) -> void {
  if (step.abandoned_run == run) {
    return;  // All members are being stopped.
  }
  step.abandoned_run = run;
  for (auto& member : step.tasks) {
    this->AbandonRun(member);
  }
}

auto Scheduler::Core::OnStartReply(const StartOrder& order,
                                   const OrderReply& reply,
                                   TimePoint now) -> void {
  const auto entry = this->workers.find(order.target.worker);
  const bool is_for_former =
      entry != this->workers.end() && order.target.fence < entry->second.fence;
  if (reply.outcome == OrderOutcome::kFenced) {
    this->OnFenced(order.target);
  }
  const bool is_unanswered =
      reply.outcome == OrderOutcome::kNoAnswer && !reply.is_undelivered;
  if (is_unanswered || reply.has_unanswered_copy) {
    this->unanswered_starts.Add(
        {order.target.worker, order.target.born_unix_ms},
        {order.task, order.run}, now);
    if (entry != this->workers.end()) {
      entry->second.start_unanswered_at = now;
    }
  }
  auto* task = this->FindTask(order.target.worker, order.task, order.run);
  if (task == nullptr) {
    return;
  }
  if (reply.worker_clock && !is_for_former) {
    this->OnStartClock(entry->second, *reply.worker_clock,
                       task->last_start_in_flight_at, now);
  }
  task->is_start_in_flight = false;
  if (is_unanswered || reply.has_unanswered_copy) {
    task->is_start_uncertain = true;
    task->last_start_in_flight_at = now;
  }
  this->ExpectOrder(*task);
  auto& worker = entry->second;
  // The answer of an earlier incarnation confirms nothing on this one, where
  // the start is being stopped.
  const bool is_outdated = order.target.born_unix_ms != worker.born_unix_ms &&
                           (reply.outcome == OrderOutcome::kDone ||
                            reply.outcome == OrderOutcome::kSuperseded);
  if (reply.outcome == OrderOutcome::kFenced) {
    return;
  }
  if (task->stage != RunStage::kStarting || is_outdated) {
    return;
  }
  auto& step = *task->step;
  switch (reply.outcome) {
    case OrderOutcome::kDone:
    case OrderOutcome::kSuperseded:  // The next poll reports how the run ended.
      this->ConfirmStart(*task, now);
      return;
    case OrderOutcome::kLate:
    case OrderOutcome::kNoAnswer:
      if (reply.is_undelivered && !task->is_start_uncertain) {
        worker.quarantined_until = std::max<TimePoint>(
            worker.quarantined_until, now + kUndeliveredQuarantine);
        break;
      }
      if (reply.outcome == OrderOutcome::kNoAnswer) {
        task->next_send = now + kResendDelay;
      }  // Otherwise resent at once with a later lease.
      if (IsGangStartOverdue(*task, now)) {
        this->AbandonGang(step, task->persistent.run);
      }
      return;
    case OrderOutcome::kNoTicket:
      step.advice.tickets.erase(worker.report.id);
      step.advice.queried.erase(worker.report.id);
      break;
    case OrderOutcome::kUnhealthy:
      worker.quarantined_until = now + kUnhealthyQuarantine;
      break;
    case OrderOutcome::kOtherIncarnation:
      this->OnWorkerCrashed(worker, now);
      worker.is_attached = false;
      break;
    case OrderOutcome::kNoRoom:
      worker.quarantined_until = now + kRefusalDelay;
      break;
    default:
      break;
  }
  step.not_before = now + kRefusalDelay;
  if (task->is_start_uncertain &&
      reply.outcome != OrderOutcome::kOtherIncarnation) {
    this->RequestStop(*task);
    task->next_send = now;
    if (step.spec->is_gang) {
      this->AbandonGang(step, task->persistent.run);
    }
    return;
  }
  this->OnRunLost(*task, "refused");
}

auto Scheduler::Core::OnStopReply(const StopOrder& order,
                                  const OrderReply& reply,
                                  TimePoint now) -> void {
  if (reply.outcome == OrderOutcome::kFenced) {
    this->OnFenced(order.target);
  }
  const bool is_answered = reply.outcome == OrderOutcome::kDone ||
                           reply.outcome == OrderOutcome::kSuperseded;
  if (is_answered) {
    this->unanswered_starts.OnStopped(
        {order.target.worker, order.target.born_unix_ms},
        {order.task, order.run});
  }
  auto* task = this->FindTask(order.target.worker, order.task, order.run);
  if (task == nullptr) {
    return;
  }
  auto& worker = this->GetOrAddWorker(order.target.worker);
  task->is_stop_in_flight = false;
  task->next_send = now + kResendDelay;
  // An incarnation that ended after its answer stopped nothing in the next one.
  const bool is_current = order.target.born_unix_ms == worker.born_unix_ms;
  if (is_answered && is_current && !task->is_stop_answered) {
    task->is_stop_answered = true;
    task->stop_answered_at = now;
    worker.next_poll = std::min(worker.next_poll, now);
  }
}

auto Scheduler::Core::TargetOf(const LiveWorker& worker) -> OrderTarget {
  return {worker.report.id, worker.report.address, worker.fence,
          worker.born_unix_ms};
}

auto Scheduler::Core::OnFenced(const OrderTarget& target) -> void {
  // An order to a former incarnation is rejected by the next one, which has
  // seen a higher fence of this leader.
  const auto found = this->workers.find(target.worker);
  this->is_fenced |=
      found != this->workers.end() && target.fence >= found->second.fence;
}

auto Scheduler::Core::SendStop(LiveWorker& worker,
                               LiveTask& task,
                               TimePoint now,
                               Decisions& decisions) -> void {
  const bool is_recent =
      task.is_stop_answered && now < task.stop_answered_at + kStopResendDelay;
  if (task.is_stop_in_flight || is_recent || now < task.next_send ||
      task.stage == RunStage::kUnknown) {
    return;
  }
  task.is_stop_in_flight = true;
  decisions.stops.push_back(
      {this->TargetOf(worker), task.name, task.persistent.run});
}

auto Scheduler::Core::SendStart(LiveWorker& worker,
                                LiveTask& task,
                                TimePoint now,
                                Decisions& decisions) -> void {
  StartOrder order{this->TargetOf(worker), task.name, task.persistent.run};
  order.payload = task.step->job->spec.payload;
  order.lease_until = this->ExtendLease(worker, now);
  order.checkpoint = task.persistent.checkpoint;
  order.ticket = task.ticket;
  task.is_start_in_flight = true;
  task.last_start_in_flight_at = now;
  if (task.first_start_sent_at == TimePoint()) {
    task.first_start_sent_at = now;
  }
  decisions.starts.push_back(std::move(order));
}

auto Scheduler::Core::RequestStop(LiveTask& task) -> void {
  task.stop_requested = true;
  this->ExpectOrder(task);
}

auto Scheduler::Core::ExpectOrder(const LiveTask& task) -> void {
  this->order_workers.insert(task.persistent.worker.id);
}

auto Scheduler::Core::SendDueOrdersTo(LiveWorker& worker,
                                      TimePoint now,
                                      bool may_start,
                                      Decisions& decisions,
                                      std::vector<WithdrawnStart>& withdrawn,
                                      std::vector<LiveTask*>& overdue_members)
    -> void {
  auto expected_use = worker.used;
  auto starts_in_flight = std::count_if(
      worker.tasks.begin(), worker.tasks.end(),
      [](const auto& entry) { return entry.second->is_start_in_flight; });
  for (auto& [name, task] : worker.tasks) {
    if (task->stop_requested) {
      this->SendStop(worker, *task, now, decisions);
      continue;
    }
    if (!may_start || !task->NeedsOrder() || now < task->next_send) {
      continue;
    }
    if (worker.IsSilent()) {
      if (task->first_start_sent_at == TimePoint()) {
        withdrawn.push_back({task, "worker-silent"});
      } else if (IsGangStartOverdue(*task, now)) {
        overdue_members.push_back(task);
      }
      continue;
    }
    if (!worker.is_attached) {
      continue;
    }
    // The capacity of a worker may shrink after the assignment.
    const bool exceeds_capacity = !expected_use.FitsIn(worker.report.capacity);
    const bool is_expired =
        !task->ticket.empty() && now >= task->ticket_expires;
    if (exceeds_capacity) {
      expected_use -= task->step->spec->demand;
    }
    if (exceeds_capacity && task->is_start_uncertain) {
      this->RequestStop(*task);
      this->SendStop(worker, *task, now, decisions);
    } else if (exceeds_capacity) {
      withdrawn.push_back({task, "no-room"});
    } else if (is_expired && !task->is_start_uncertain) {
      withdrawn.push_back({task, "ticket-expired"});
    } else if (starts_in_flight < kMaxStartsInFlight) {
      this->SendStart(worker, *task, now, decisions);
      starts_in_flight++;
    }
  }
}

auto Scheduler::Core::StopUnansweredStarts(TimePoint now, Decisions& decisions)
    -> void {
  if (this->unanswered_starts.IsEmpty()) {
    return;
  }
  this->unanswered_starts.Prune(now);
  for (const auto& id : this->unanswered_starts.Workers()) {
    const auto found = this->workers.find(id);
    if (found == this->workers.end() || found->second.born_unix_ms == 0 ||
        found->second.report.address.empty()) {
      continue;
    }
    const auto& worker = found->second;
    const WorkerIncarnation incarnation{id, worker.born_unix_ms};
    for (auto& run :
         this->unanswered_starts.TakeDueStops(incarnation, kResendDelay, now)) {
      // A task that is still assigned there sends its own stop order.
      if (this->FindTask(id, run.task, run.number) == nullptr) {
        decisions.stops.push_back(
            {this->TargetOf(worker), std::move(run.task), run.number});
      }
    }
  }
}

auto Scheduler::Core::SendDueOrders(TimePoint now,
                                    bool may_start,
                                    Decisions& decisions) -> void {
  std::vector<WithdrawnStart> withdrawn;
  std::vector<LiveTask*> overdue_members;
  std::erase_if(this->order_workers, [&](const WorkerId& id) {
    const auto found = this->workers.find(id);
    if (found == this->workers.end()) {
      return true;
    }
    auto& worker = found->second;
    if (worker.report.address.empty()) {
      return false;
    }
    this->SendDueOrdersTo(worker, now, may_start, decisions, withdrawn,
                          overdue_members);
    return std::none_of(
        worker.tasks.begin(), worker.tasks.end(),
        [](const auto& entry) { return entry.second->NeedsOrder(); });
  });
  for (const auto& [task, reason] : withdrawn) {
    if (task->stage == RunStage::kStarting && !task->stop_requested) {
      this->OnRunLost(*task, reason);
    }
  }
  for (const auto* member : overdue_members) {
    this->AbandonGang(*member->step, member->persistent.run);
  }
}

}  // namespace shallotbank::cell
