#include <algorithm>
#include <vector>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// Progress is reported in percent.
constexpr int kFullPercent = 100;
constexpr std::chrono::milliseconds kPaceClassificationInterval{500};
/// Maximum time that a worker may delay the answer to a poll.
constexpr Milliseconds kMaxPollWait{2000};
/// The same while a suspect runs there, to see soon that it works.
constexpr Milliseconds kSuspectPollWait{500};
/// A poll while completions wait to be stored only renews the lease.
constexpr std::chrono::milliseconds kPollIntervalWhileStoring{1000};
/// Delay after an unanswered poll; it grows with each one up to kMaxPollDelay.
constexpr std::chrono::milliseconds kPollDelay{100};
constexpr std::chrono::milliseconds kMaxPollDelay{1000};
/// Added to the end of a lease for the time that stopping takes.
constexpr Milliseconds kLeaseMargin{300};
/// Minimum time between two searches for expired leases.
constexpr std::chrono::milliseconds kLeaseCheckInterval{100};
/// A worker's clock may run 2% slow; a twentieth leaves a margin for clock
/// steps.
constexpr int kClockErrorDivisor = 20;
/// A clock that is further behind is that of another incarnation.
constexpr Milliseconds kClockMargin{200};
/// A start that is in flight for longer may have been executed and have ended.
constexpr std::chrono::milliseconds kStartAnswerTime{100};
/// Fences of one leader, one for each incarnation of a worker that it learns
/// of.
constexpr std::uint64_t kFencesPerEpoch = 1 << 20;
/// Consecutive failed runs of distinct jobs after which a worker is
/// quarantined.
constexpr std::size_t kFailuresBeforeQuarantine = 2;
/// First quarantine of a worker whose tasks fail.
constexpr std::chrono::seconds kInitialQuarantine{3};
constexpr std::chrono::seconds kMaxQuarantine{60};
/// A run without progress for this time is moved to another worker. Polls
/// return at least every 2 s, so two of them must agree.
constexpr std::chrono::milliseconds kNoProgressTimeout{2500};
/// The timeout of a long task, as a share of its estimate: progress is reported
/// in whole percent, and a task may take several times as long as estimated.
constexpr int kNoProgressPercent = 10;
/// A worker without an answer for this time gets no new tasks.
constexpr std::chrono::milliseconds kUnresponsiveAfter{3200};

/// Whether the answer to a poll that was sent before the lease ended may wait
/// in this process; it may list completions.
auto IsAnswerDue(const LiveWorker& worker) -> bool {
  return worker.is_attached && worker.is_poll_in_flight &&
         worker.ClockAtLeast(worker.poll_sent_at) <=
             worker.lease_end + kLeaseMargin;
}

/// Whether the worker may be another incarnation already, with completions that
/// an acknowledgement meant for this one would discard.
auto MayHaveUnseenCompletions(const LiveWorker& worker, TimePoint now) -> bool {
  return !worker.is_attached || worker.IsSilent() ||
         worker.start_unanswered_at >= worker.answered_poll_sent_at ||
         std::any_of(worker.tasks.begin(), worker.tasks.end(),
                     [now](const auto& entry) {
                       const auto& task = *entry.second;
                       return task.is_start_in_flight &&
                              now - task.last_start_in_flight_at >=
                                  kStartAnswerTime;
                     });
}

auto NoProgressTimeout(const StepSpec& step) -> Duration {
  return std::max<Duration>(kNoProgressTimeout,
                            step.estimate * kNoProgressPercent / kFullPercent);
}

}  // namespace

auto Scheduler::Core::GetOrAddWorker(const WorkerId& id) -> LiveWorker& {
  auto [found, is_new] = this->workers.try_emplace(id);
  if (is_new) {
    found->second.report.id = id;
    found->second.fence = this->NextFence();
    this->unpolled_workers.insert(id);
    found->second.unattached_lease_end =
        this->options.previous_authority_end + this->options.max_lease +
        this->options.max_lease / kClockErrorDivisor;
  }
  return found->second;
}

auto Scheduler::Core::NextFence() -> std::uint64_t {
  if (this->fences + 1 < kFencesPerEpoch) {
    this->fences++;
  } else {
    this->is_fenced = true;
  }
  return this->options.epoch * kFencesPerEpoch + this->fences;
}

auto Scheduler::Core::EraseWorker(Workers::iterator worker)
    -> Workers::iterator {
  this->free_cores.Remove(worker->second);
  return this->workers.erase(worker);
}

auto Scheduler::Core::OnWorker(const WorkerReport& report, TimePoint now)
    -> void {
  auto& worker = this->GetOrAddWorker(report.id);
  const bool is_new_incarnation =
      worker.born_unix_ms != 0 && report.born_unix_ms > worker.born_unix_ms;
  worker.is_listed = true;
  worker.report = report;
  this->free_cores.Update(worker);
  if (is_new_incarnation) {
    this->OnNewIncarnation(worker, report.born_unix_ms, "entry", now);
  }
  worker.next_poll = std::min(worker.next_poll, now);
  this->needs_placement = true;
}

auto Scheduler::Core::OnWorkerGone(const WorkerId& id, TimePoint) -> void {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) {
    return;
  }
  found->second.is_listed = false;
  if (found->second.tasks.empty()) {
    this->EraseWorker(found);
  }
}

auto Scheduler::Core::Detach(LiveWorker& worker, TimePoint now) -> void {
  worker.fence = this->NextFence();
  worker.is_attached = false;
  // Answers to orders with the former fence count for nothing.
  worker.is_poll_in_flight = false;
  this->unpolled_workers.insert(worker.report.id);
  worker.next_poll = now;
  worker.unattached_lease_end = now + this->options.max_lease +
                                this->options.max_lease / kClockErrorDivisor;
}

auto Scheduler::Core::OnNewIncarnation(LiveWorker& worker,
                                       std::int64_t born,
                                       const char* source,
                                       TimePoint now) -> void {
  this->OnWorkerCrashed(worker, now);
  this->Detach(worker, now);
  const auto unanswered = std::count_if(
      worker.tasks.begin(), worker.tasks.end(), [](const auto& entry) {
        return entry.second->stage == RunStage::kStarting;
      });
  this->AddNote(Event::kWorkerRestarted,
                {{"worker", worker.report.id.Text()},
                 {"born", std::to_string(born)},
                 {"former_born", std::to_string(worker.born_unix_ms)},
                 {"fence", std::to_string(worker.fence)},
                 {"source", source},
                 {"silent_ms", MillisecondsText(now - worker.clock_at)},
                 {"assigned", std::to_string(worker.tasks.size())},
                 {"unanswered", std::to_string(unanswered)}});
  worker.born_unix_ms = born;
  worker.unanswered_polls = 0;
  worker.completions_seen = 0;
  worker.completions_stored = 0;
  worker.completions_acknowledged = 0;
  worker.lease_end = Milliseconds::zero();
  worker.pace = WorkerPace();  // The new incarnation may be on another machine.
  // Assignments that were not sent are for the capacity and the kind of the
  // earlier incarnation.
  std::vector<LiveTask*> unsent;
  for (auto& [name, task] : worker.tasks) {
    if (task->stage == RunStage::kStoring) {
      unsent.push_back(task);
    }
  }
  for (auto* task : unsent) {
    if (task->stage == RunStage::kStoring) {
      this->OnRunLost(*task, "worker-replaced");
    }
  }
  // An unanswered start could take effect in the new incarnation, even if
  // another copy of it was confirmed by the earlier one.
  for (auto& [name, task] : worker.tasks) {
    const bool may_start =
        task->stage == RunStage::kStarting ||
        (task->stage == RunStage::kRunning &&
         (task->is_start_uncertain || task->is_start_in_flight));
    if (may_start) {
      task->stage = RunStage::kStarting;
      this->RequestStop(*task);
      task->is_stop_answered = false;
      task->next_send = now;
    }
  }
}

auto Scheduler::Core::UpdateClock(LiveWorker& worker,
                                  Milliseconds clock,
                                  TimePoint now) -> void {
  worker.clock = clock;
  worker.clock_at = now;
}

auto Scheduler::Core::OnStartClock(LiveWorker& worker,
                                   Milliseconds clock,
                                   TimePoint sent,
                                   TimePoint now) -> void {
  const auto expected = worker.ClockAtLeast(sent);
  if (!worker.is_attached || clock >= expected - kClockMargin) {
    this->UpdateClock(worker, clock, now);
    return;
  }
  this->Detach(worker, now);
  this->AddNote(Event::kWorkerClockWentBack,
                {{"worker", worker.report.id.Text()},
                 {"clock_ms", std::to_string(clock.count())},
                 {"expected_ms", std::to_string(expected.count())},
                 {"fence", std::to_string(worker.fence)},
                 {"assigned", std::to_string(worker.tasks.size())}});
}

auto Scheduler::Core::ExtendLease(LiveWorker& worker, TimePoint now)
    -> Milliseconds {
  const auto until = worker.ClockAtMost(now) + this->options.lease;
  worker.lease_end = std::max(worker.lease_end, until);
  worker.lease_sent_at = now;
  return until;
}

auto Scheduler::Core::IsUsable(const LiveWorker& worker, TimePoint now) const
    -> bool {
  // An entry of an earlier incarnation may name another capacity or kind.
  const bool is_described = worker.report.born_unix_ms == 0 ||
                            worker.report.born_unix_ms == worker.born_unix_ms;
  return worker.is_listed && worker.is_attached && is_described &&
         !worker.IsSilent() && !worker.connection_lost_at &&
         !worker.has_orphaned_runs && !worker.report.is_draining &&
         now >= worker.quarantined_until &&
         worker.pace.kind != PaceClass::kStalling &&
         !this->unanswered_starts.MayRunOn(
             {worker.report.id, worker.born_unix_ms}) &&
         now - worker.clock_at < kUnresponsiveAfter;
}

auto Scheduler::Core::OnPollReply(const PollOrder& order,
                                  const PollReply& reply,
                                  TimePoint sent,
                                  TimePoint now) -> void {
  const auto found = this->workers.find(order.target.worker);
  if (found == this->workers.end()) {
    return;
  }
  auto& worker = found->second;
  if (order.target.fence < worker.fence) {
    return;
  }
  worker.is_poll_in_flight = false;
  this->unpolled_workers.insert(order.target.worker);
  if (reply.outcome == OrderOutcome::kFenced) {
    this->OnFenced(order.target);
    return;
  }
  if (reply.outcome == OrderOutcome::kNoAnswer) {
    this->OnPollUnanswered(worker, order, sent, now);
  }
  if (reply.outcome == OrderOutcome::kOtherIncarnation) {
    this->OnWorkerCrashed(worker, now);
    std::vector<LiveTask*> lost;
    for (auto& [name, task] : worker.tasks) {
      lost.push_back(task);
    }
    for (auto* task : lost) {
      if (task->stage != RunStage::kNone) {
        this->OnRunLost(*task, "worker-replaced");
      }
    }
    worker.is_attached = false;
  }
  if (reply.outcome != OrderOutcome::kDone) {
    worker.unanswered_polls++;
    const auto delay =
        std::min<Duration>(kPollDelay * worker.unanswered_polls, kMaxPollDelay);
    worker.next_poll = now + delay;
    return;
  }
  worker.unanswered_polls = 0;
  const auto born = reply.born_unix_ms.value_or(worker.report.born_unix_ms);
  if (worker.born_unix_ms != 0 && born != worker.born_unix_ms) {
    if (born < worker.born_unix_ms) {
      return;  // A reply of an earlier incarnation.
    }
    // The order was meant for the earlier incarnation. Until one with the next
    // fence is answered, others of its kind may be executed.
    this->OnNewIncarnation(worker, born, "poll", now);
    return;
  }
  worker.born_unix_ms = born;
  worker.answered_poll_sent_at = sent;
  this->UpdateClock(worker, reply.worker_clock, now);
  const bool has_ended_unseen = std::any_of(
      worker.tasks.begin(), worker.tasks.end(), [born](const auto& entry) {
        return entry.second->stage == RunStage::kUnknown &&
               entry.second->persistent.worker.born_unix_ms != born;
      });
  if (!worker.is_attached && has_ended_unseen) {
    this->OnWorkerCrashed(worker, now);
  }
  worker.connection_lost_at.reset();
  if (!worker.is_attached) {
    worker.is_attached = true;
    // Orders of previous leaders and to earlier incarnations may have led to
    // any lease. From now on the worker rejects them.
    worker.lease_end = std::max(worker.lease_end,
                                reply.worker_clock + this->options.max_lease);
    worker.lease_sent_at = now;
    this->AddNote(Event::kWorkerAttached,
                  {{"worker", worker.report.id.Text()},
                   {"born", std::to_string(born)},
                   {"fence", std::to_string(worker.fence)},
                   {"running", std::to_string(reply.running.size())},
                   {"ended", std::to_string(reply.ended.size())}});
  }
  worker.completions_acknowledged =
      std::max(worker.completions_acknowledged, order.acknowledged);
  this->ReconcileRuns(worker, reply, sent, now);
  worker.next_poll = now;
  this->needs_placement = true;
}

auto Scheduler::Core::ReconcileRuns(LiveWorker& worker,
                                    const PollReply& reply,
                                    TimePoint sent,
                                    TimePoint now) -> void {
  std::unordered_set<TaskId> listed;
  worker.has_orphaned_runs = false;
  for (const auto& end : reply.ended) {
    listed.insert(end.task);
    if (end.number <= worker.completions_seen) {
      continue;
    }
    worker.completions_seen = end.number;
    this->unstored_completions.insert(worker.report.id);
    auto* task = this->FindTask(worker.report.id, end.task, end.run);
    if (task != nullptr && task->stage != RunStage::kStoring) {
      if (end.how == EndKind::kDone) {
        this->UpdatePace(worker, *task, kFullPercent, now);
      }
      this->OnRunEnded(*task, end.how, end.checkpoint, worker, now);
    } else if (task == nullptr && end.how == EndKind::kDone) {
      this->OnLateCompletion(end.task, end.run);
    }
  }
  for (const auto& running : reply.running) {
    auto* task = this->FindTask(worker.report.id, running.task, running.run);
    if (task == nullptr) {
      // Orphaned run: its job has ended, or it is an older run.
      worker.has_orphaned_runs = true;
      this->orphaned_runs.push_back(
          {this->TargetOf(worker), running.task, running.run});
      continue;
    }
    listed.insert(running.task);
    if (task->stage == RunStage::kUnknown && task->IsSuspect()) {
      // A previous leader may have sent it just now.
      task->first_start_sent_at = sent;
    }
    if (task->stage == RunStage::kUnknown ||
        task->stage == RunStage::kStarting) {
      this->ConfirmStart(*task, now);
    }
    if (!running.checkpoint.empty() && !task->step->spec->is_gang) {
      task->persistent.checkpoint = running.checkpoint;
    }
    // The members of a gang work only once all are present.
    const bool is_working =
        !task->step->spec->is_gang ||
        (task->percent >= 0 && running.percent > task->percent);
    if (task->IsSuspect() && is_working && !task->IsUnprovenAt(sent)) {
      this->ClearSuspicion(*task, worker);
    }
    this->TrackProgress(*task, running.percent, now);
  }
  if (reply.may_omit_ends) {
    return;  // A run that is not listed may have ended, perhaps as done.
  }
  std::vector<LiveTask*> absent;
  for (auto& [name, task] : worker.tasks) {
    if (listed.contains(name)) {
      continue;
    }
    const bool is_gone =
        task->stage == RunStage::kUnknown ||
        (task->stage == RunStage::kRunning && task->confirmed_at <= sent) ||
        (task->stage == RunStage::kStarting && task->is_stop_answered &&
         task->stop_answered_at <= sent);
    if (is_gone) {
      absent.push_back(task);
    }
  }
  for (auto* task : absent) {
    if (task->stage != RunStage::kNone) {
      this->OnRunLost(*task, "not-on-worker");
    }
  }
}

auto Scheduler::Core::UpdatePace(LiveWorker& worker,
                                 const LiveTask& task,
                                 int percent,
                                 TimePoint now) -> void {
  const auto& spec = *task.step->spec;
  // A gang runs at the pace of its slowest member.
  if (task.stage != RunStage::kRunning || spec.is_gang ||
      spec.is_long_running || spec.is_best_effort) {
    return;
  }
  const bool is_first = task.percent < 0;
  if (is_first && !task.persistent.checkpoint.empty()) {
    return;  // The run resumed from an unknown point.
  }
  const auto since = is_first ? task.confirmed_at : task.percent_reported_at;
  const int gained = percent - std::max(0, task.percent);
  worker.pace.Add(Duration(spec.estimate) * gained / kFullPercent, now - since,
                  now);
}

auto Scheduler::Core::ClassifyWorkers(TimePoint now) -> void {
  if (now - this->paces_classified_at < kPaceClassificationInterval) {
    return;
  }
  this->paces_classified_at = now;
  std::map<ServiceName, std::vector<WorkerPace*>> paces;
  std::vector<PaceClass> before;
  for (auto& [id, worker] : this->workers) {
    paces[worker.report.service].push_back(&worker.pace);
    before.push_back(worker.pace.kind);
  }
  for (const auto& [service, list] : paces) {
    ClassifyPaces(list, now);
  }
  static constexpr const char* kNames[] = {"usual", "slow", "stalling"};
  auto former = before.begin();
  for (const auto& [id, worker] : this->workers) {
    if (worker.pace.kind != *former++) {
      this->AddNote(Event::kWorkerPace,
                    {{"worker", id.Text()},
                     {"pace", kNames[static_cast<int>(worker.pace.kind)]},
                     {"recent", std::to_string(worker.pace.recent.Pace())},
                     {"lasting", std::to_string(worker.pace.lasting.Pace())}});
    }
  }
}

auto Scheduler::Core::TrackProgress(LiveTask& task, int percent, TimePoint now)
    -> void {
  this->UpdatePace(this->GetOrAddWorker(task.persistent.worker.id), task,
                   percent, now);
  task.percent_reported_at = now;
  if (percent != task.percent) {
    task.percent = percent;
    task.percent_changed_at = now;
    return;
  }
  const auto& spec = *task.step->spec;
  if (now - task.percent_changed_at < NoProgressTimeout(spec) ||
      task.stop_requested || spec.is_long_running || spec.is_gang) {
    return;
  }
  auto& worker = this->GetOrAddWorker(task.persistent.worker.id);
  this->AddNote(Event::kWorkerQuarantined, {{"worker", worker.report.id.Text()},
                                            {"task", task.name.Text()},
                                            {"reason", "no-progress"}});
  worker.quarantine_duration =
      std::max<Duration>(worker.quarantine_duration, kInitialQuarantine);
  worker.quarantined_until = now + worker.quarantine_duration;
  this->RequestStop(task);
  task.next_send = now;
}

auto Scheduler::Core::RecordFailure(LiveWorker& worker,
                                    const JobId& job,
                                    TimePoint now) -> void {
  worker.failed_jobs.insert(job);
  if (worker.failed_jobs.size() < kFailuresBeforeQuarantine) {
    return;
  }
  worker.quarantine_duration = std::clamp<Duration>(
      worker.quarantine_duration * 2, kInitialQuarantine, kMaxQuarantine);
  worker.quarantined_until = now + worker.quarantine_duration;
  this->AddNote(Event::kWorkerQuarantined,
                {{"worker", worker.report.id.Text()},
                 {"reason", "failures"},
                 {"failed_jobs", std::to_string(worker.failed_jobs.size())}});
}

auto Scheduler::Core::LongestLeaseEnd(TimePoint sent) const -> TimePoint {
  return sent + this->options.max_lease +
         this->options.max_lease / kClockErrorDivisor + kLeaseMargin;
}

auto Scheduler::Core::ReleaseExpiredLeases(TimePoint now) -> void {
  if (now - this->leases_checked_at < kLeaseCheckInterval) {
    return;
  }
  this->leases_checked_at = now;
  for (auto entry = this->workers.begin(); entry != this->workers.end();) {
    auto& worker = entry->second;
    // The clock may be that of an incarnation that this leader does not know.
    const bool is_lapsed =
        worker.is_attached
            ? worker.ClockAtLeast(now) > worker.lease_end + kLeaseMargin ||
                  now > this->LongestLeaseEnd(worker.lease_sent_at)
            : now > worker.unattached_lease_end;
    if (is_lapsed && !worker.tasks.empty() && !IsAnswerDue(worker)) {
      // A worker that this leader never reached may have crashed before.
      if (worker.connection_lost_at || !worker.is_attached) {
        this->OnWorkerCrashed(worker, now);
      }
      std::vector<LiveTask*> lost;
      for (auto& [name, task] : worker.tasks) {
        const bool was_sent = task->stage == RunStage::kStarting ||
                              task->stage == RunStage::kRunning;
        const bool may_work =
            was_sent &&
            (task->is_start_uncertain || task->is_start_in_flight) &&
            now <= this->LongestLeaseEnd(task->last_start_in_flight_at);
        if (!may_work) {
          lost.push_back(task);
        }
      }
      for (auto* task : lost) {
        if (task->stage != RunStage::kNone) {
          this->OnRunLost(*task, "lease-lapsed");
        }
      }
    }
    const bool is_gone =
        !worker.is_listed && worker.tasks.empty() && !worker.is_poll_in_flight;
    entry = is_gone ? this->EraseWorker(entry) : std::next(entry);
  }
}

auto Scheduler::Core::SendPolls(TimePoint now,
                                bool may_renew,
                                Decisions& decisions) -> void {
  for (auto position = this->unpolled_workers.begin();
       position != this->unpolled_workers.end();) {
    const auto unpolled = position++;
    const auto found = this->workers.find(*unpolled);
    if (found == this->workers.end() || found->second.is_poll_in_flight) {
      this->unpolled_workers.erase(unpolled);
      continue;
    }
    auto& worker = found->second;
    if (worker.report.address.empty() || now < worker.next_poll) {
      continue;
    }
    const bool is_storing = worker.completions_seen > worker.completions_stored;
    if (is_storing && now < worker.poll_sent_at + kPollIntervalWhileStoring) {
      continue;
    }
    PollOrder order;
    order.target = this->TargetOf(worker);
    // Nothing is acknowledged twice: a poll may be executed late.
    const bool is_due =
        worker.completions_stored > worker.completions_acknowledged;
    order.acknowledged = is_due && !MayHaveUnseenCompletions(worker, now)
                             ? worker.completions_stored
                             : 0;
    // The worker's clock is unknown before its first answer.
    if (may_renew && worker.is_attached && !worker.IsSilent()) {
      order.lease_until = this->ExtendLease(worker, now);
    }
    const bool waits_for_stop =
        std::any_of(
            worker.tasks.begin(), worker.tasks.end(),
            [](const auto& entry) { return entry.second->stop_requested; }) ||
        worker.has_orphaned_runs;
    const bool is_quick = !worker.is_attached || is_storing || waits_for_stop ||
                          worker.IsSilent();
    order.wait = is_quick              ? Milliseconds::zero()
                 : worker.suspects > 0 ? kSuspectPollWait
                                       : kMaxPollWait;
    if (waits_for_stop) {
      worker.next_poll = now + kPollDelay;
    }
    worker.is_poll_in_flight = true;
    worker.poll_sent_at = now;
    decisions.polls.push_back(std::move(order));
  }
  for (auto& orphaned_run : std::exchange(this->orphaned_runs, {})) {
    decisions.stops.push_back(std::move(orphaned_run));
  }
}

}  // namespace shallotbank::cell
