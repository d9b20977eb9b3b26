#include <algorithm>
#include <vector>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// Progress is given in hundredths.
constexpr int kWhole = 100;
constexpr std::chrono::milliseconds kComparePacesEvery{500};
/// Longest wait that a worker takes in one look.
constexpr Milliseconds kLongestLook{2000};
/// A look while ends wait to be stored only renews the lease.
constexpr std::chrono::milliseconds kLookWhileStoring{1000};
/// Pause after a look without an answer; doubled up to kLongestLookPause.
constexpr std::chrono::milliseconds kLookPause{100};
constexpr std::chrono::milliseconds kLongestLookPause{1000};
/// Beyond the end of a lease, for the time that stopping takes.
constexpr Milliseconds kLeaseMargin{300};
/// A worker's clock may be 2% slow; a twentieth leaves room for its steps.
constexpr int kLeaseErrorDivisor = 20;
/// Runs of distinct jobs that failed in a row until a worker is avoided.
constexpr std::size_t kFailuresToAvoid = 2;
/// How long a worker that fails what it starts is avoided at first.
constexpr std::chrono::seconds kAvoidFirst{3};
constexpr std::chrono::seconds kAvoidLongest{60};
/// A run whose progress stands still for this time is moved. Looks come at
/// least every 2 s, so two of them have to agree.
constexpr std::chrono::milliseconds kStandstill{2500};
/// A worker without an answer for this time gets no new work.
constexpr std::chrono::milliseconds kSilent{3200};

}  // namespace

auto Scheduler::Core::GetWorker(const WorkerId& id) -> LiveWorker& {
  auto [found, is_new] = this->workers.try_emplace(id);
  if (is_new) {
    found->second.report.id = id;
    found->second.unattached_until = this->options.former_authority_end +
                                     this->options.lease +
                                     this->options.lease / kLeaseErrorDivisor;
  }
  return found->second;
}

auto Scheduler::Core::OnWorker(const WorkerReport& report, TimePoint now)
    -> void {
  auto& worker = this->GetWorker(report.id);
  const bool is_new_life =
      worker.born_unix_ms != 0 && report.born_unix_ms > worker.born_unix_ms;
  worker.is_listed = true;
  worker.report = report;
  if (is_new_life) {
    this->OnNewLife(worker, report.born_unix_ms, now);
  }
  worker.next_hold = std::min(worker.next_hold, now);
  this->is_placing_due = true;
}

auto Scheduler::Core::OnWorkerGone(const WorkerId& id, TimePoint) -> void {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) {
    return;
  }
  found->second.is_listed = false;
  if (found->second.tasks.empty()) {
    this->workers.erase(found);
  }
}

auto Scheduler::Core::OnNewLife(LiveWorker& worker,
                                std::int64_t born,
                                TimePoint now) -> void {
  worker.born_unix_ms = born;
  worker.is_attached = false;
  worker.ends_seen = 0;
  worker.ends_stored = 0;
  worker.ends_acknowledged = 0;
  worker.lease_end = Milliseconds::zero();
  worker.next_hold = now;
  worker.pace = WorkerPace();  // It may be another machine.
  worker.unattached_until =
      now + this->options.lease + this->options.lease / kLeaseErrorDivisor;
  // A start without an answer could take effect in the new life.
  for (auto& [name, task] : worker.tasks) {
    if (task->stage == RunStage::kStarting) {
      task->wants_stop = true;
      task->is_stop_answered = false;
      task->next_send = now;
    }
  }
}

auto Scheduler::Core::TakeClock(LiveWorker& worker,
                                Milliseconds clock,
                                TimePoint now) -> void {
  worker.clock = clock;
  worker.clock_at = now;
}

auto Scheduler::Core::LeaseUntil(LiveWorker& worker, TimePoint now)
    -> Milliseconds {
  if (worker.holds_unanswered > 0) {
    return worker.lease_end;  // A silent worker's lease is left to run out.
  }
  const auto until = worker.ClockAtMost(now) + this->options.lease;
  worker.lease_end = std::max(worker.lease_end, until);
  return until;
}

auto Scheduler::Core::IsUsable(const LiveWorker& worker, TimePoint now) const
    -> bool {
  return worker.is_listed && worker.is_attached && !worker.has_strays &&
         !worker.report.is_draining && now >= worker.avoid_until &&
         worker.pace.kind != PaceClass::kStalling &&
         now - worker.clock_at < kSilent;
}

auto Scheduler::Core::OnHoldReply(const HoldOrder& order,
                                  const HoldReply& reply,
                                  TimePoint sent,
                                  TimePoint now) -> void {
  const auto found = this->workers.find(order.target.worker);
  if (found == this->workers.end()) {
    return;
  }
  auto& worker = found->second;
  worker.is_hold_open = false;
  if (reply.outcome == OrderOutcome::kFenced) {
    this->is_fenced = true;
    return;
  }
  if (reply.outcome == OrderOutcome::kOtherLife) {
    std::vector<LiveTask*> lost;
    for (auto& [name, task] : worker.tasks) {
      lost.push_back(task);
    }
    for (auto* task : lost) {
      if (task->stage != RunStage::kNone) {
        this->RunLost(*task, "worker-replaced");
      }
    }
    worker.is_attached = false;
  }
  if (reply.outcome != OrderOutcome::kDone) {
    worker.holds_unanswered++;
    const auto pause = std::min<Duration>(kLookPause * worker.holds_unanswered,
                                          kLongestLookPause);
    worker.next_hold = now + pause;
    return;
  }
  worker.holds_unanswered = 0;
  const auto born = reply.born_unix_ms.value_or(worker.report.born_unix_ms);
  if (worker.born_unix_ms != 0 && born != worker.born_unix_ms) {
    if (born < worker.born_unix_ms) {
      return;  // The answer of an earlier life.
    }
    this->OnNewLife(worker, born, now);
    this->TakeClock(worker, reply.worker_clock, now);
    if (order.acknowledged > 0) {
      return;  // Counts of the former life were sent; look again without.
    }
  }
  worker.born_unix_ms = born;
  this->TakeClock(worker, reply.worker_clock, now);
  if (!worker.is_attached) {
    worker.is_attached = true;
    // A former leader, or we in a former life, may have given any lease.
    worker.lease_end =
        std::max(worker.lease_end, reply.worker_clock + this->options.lease);
    this->AddNote(Event::kWorkerAttached,
                  {{"worker", worker.report.id.Text()},
                   {"running", std::to_string(reply.running.size())},
                   {"ended", std::to_string(reply.ended.size())}});
  }
  worker.ends_acknowledged =
      std::max(worker.ends_acknowledged, order.acknowledged);
  this->Resolve(worker, reply, sent, now);
  worker.next_hold = now;
  this->is_placing_due = true;
}

auto Scheduler::Core::Resolve(LiveWorker& worker,
                              const HoldReply& reply,
                              TimePoint sent,
                              TimePoint now) -> void {
  std::unordered_set<TaskId> listed;
  worker.has_strays = false;
  for (const auto& end : reply.ended) {
    listed.insert(end.task);
    if (end.number <= worker.ends_seen) {
      continue;
    }
    worker.ends_seen = end.number;
    auto* task = this->FindTask(worker.report.id, end.task, end.run);
    if (task != nullptr && task->stage != RunStage::kStoring) {
      if (end.how == EndKind::kDone) {
        this->MeasurePace(worker, *task, kWhole, now);
      }
      this->RunEnded(*task, end.how, end.checkpoint, worker, now);
    }
  }
  for (const auto& running : reply.running) {
    auto* task = this->FindTask(worker.report.id, running.task, running.run);
    if (task == nullptr) {
      // Nothing that we know of: a job that has ended, or an older run.
      worker.has_strays = true;
      this->strays.push_back(
          {{worker.report.id, worker.report.address, this->options.fence},
           running.task,
           running.run});
      continue;
    }
    listed.insert(running.task);
    if (task->stage == RunStage::kUnknown ||
        task->stage == RunStage::kStarting) {
      this->ConfirmStart(*task, now);
    }
    if (!running.checkpoint.empty() && !task->step->spec->is_gang) {
      task->kept.checkpoint = running.checkpoint;
    }
    this->WatchProgress(*task, running.percent, now);
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
      this->RunLost(*task, "not-on-worker");
    }
  }
}

auto Scheduler::Core::MeasurePace(LiveWorker& worker,
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
  if (is_first && !task.kept.checkpoint.empty()) {
    return;  // It resumed from an unknown point.
  }
  const auto since = is_first ? task.confirmed_at : task.percent_at;
  const int gained = percent - std::max(0, task.percent);
  worker.pace.Add(Duration(spec.estimate) * gained / kWhole, now - since, now);
}

auto Scheduler::Core::ComparePaces(TimePoint now) -> void {
  if (now - this->paces_compared_at < kComparePacesEvery) {
    return;
  }
  this->paces_compared_at = now;
  std::map<ServiceName, std::vector<WorkerPace*>> paces;
  std::map<WorkerId, PaceClass> before;
  for (auto& [id, worker] : this->workers) {
    paces[worker.report.service].push_back(&worker.pace);
    before[id] = worker.pace.kind;
  }
  for (const auto& [service, list] : paces) {
    ClassifyPaces(list, now);
  }
  static constexpr const char* kNames[] = {"usual", "slow", "stalling"};
  for (const auto& [id, worker] : this->workers) {
    if (worker.pace.kind != before[id]) {
      this->AddNote(Event::kWorkerPace,
                    {{"worker", id.Text()},
                     {"pace", kNames[static_cast<int>(worker.pace.kind)]},
                     {"recent", std::to_string(worker.pace.recent.Pace())},
                     {"lasting", std::to_string(worker.pace.lasting.Pace())}});
    }
  }
}

auto Scheduler::Core::WatchProgress(LiveTask& task, int percent, TimePoint now)
    -> void {
  this->MeasurePace(this->GetWorker(task.kept.worker.id), task, percent, now);
  task.percent_at = now;
  if (percent != task.percent) {
    task.percent = percent;
    task.percent_since = now;
    return;
  }
  const auto& spec = *task.step->spec;
  if (now - task.percent_since < kStandstill || task.wants_stop ||
      spec.is_long_running || spec.is_gang) {
    return;
  }
  auto& worker = this->GetWorker(task.kept.worker.id);
  this->AddNote(Event::kWorkerQuarantined, {{"worker", worker.report.id.Text()},
                                            {"task", task.name.Text()},
                                            {"reason", "no-progress"}});
  worker.avoid_for = std::max<Duration>(worker.avoid_for, kAvoidFirst);
  worker.avoid_until = now + worker.avoid_for;
  task.wants_stop = true;
  task.next_send = now;
}

auto Scheduler::Core::NoteFailure(LiveWorker& worker,
                                  const JobId& job,
                                  TimePoint now) -> void {
  worker.failed_jobs.insert(job);
  if (worker.failed_jobs.size() < kFailuresToAvoid) {
    return;
  }
  worker.avoid_for =
      std::clamp<Duration>(worker.avoid_for * 2, kAvoidFirst, kAvoidLongest);
  worker.avoid_until = now + worker.avoid_for;
  this->AddNote(Event::kWorkerQuarantined,
                {{"worker", worker.report.id.Text()},
                 {"reason", "failures"},
                 {"failed_jobs", std::to_string(worker.failed_jobs.size())}});
}

auto Scheduler::Core::ReleaseLapsed(TimePoint now) -> void {
  for (auto entry = this->workers.begin(); entry != this->workers.end();) {
    auto& worker = entry->second;
    const bool is_lapsed =
        worker.is_attached
            ? worker.ClockAtLeast(now) > worker.lease_end + kLeaseMargin
            : now > worker.unattached_until;
    if (is_lapsed && !worker.tasks.empty()) {
      std::vector<LiveTask*> lost;
      for (auto& [name, task] : worker.tasks) {
        lost.push_back(task);
      }
      for (auto* task : lost) {
        if (task->stage != RunStage::kNone) {
          this->RunLost(*task, "lease-lapsed");
        }
      }
    }
    const bool is_gone =
        !worker.is_listed && worker.tasks.empty() && !worker.is_hold_open;
    entry = is_gone ? this->workers.erase(entry) : std::next(entry);
  }
}

auto Scheduler::Core::SendHolds(TimePoint now,
                                bool may_renew,
                                Decisions& decisions) -> void {
  for (auto& [id, worker] : this->workers) {
    if (worker.is_hold_open || worker.report.address.empty() ||
        now < worker.next_hold) {
      continue;
    }
    const bool is_storing = worker.ends_seen > worker.ends_stored;
    if (is_storing && now < worker.hold_sent + kLookWhileStoring) {
      continue;
    }
    HoldOrder order;
    order.target = {id, worker.report.address, this->options.fence};
    order.acknowledged = worker.ends_stored;
    // The worker's clock is not known before its first answer.
    if (may_renew && worker.is_attached && worker.holds_unanswered == 0) {
      order.lease_until = this->LeaseUntil(worker, now);
    }
    const bool waits_for_stop =
        std::any_of(
            worker.tasks.begin(), worker.tasks.end(),
            [](const auto& entry) { return entry.second->wants_stop; }) ||
        worker.has_strays;
    const bool is_quick = !worker.is_attached || is_storing || waits_for_stop;
    order.wait = is_quick ? Milliseconds::zero() : kLongestLook;
    if (waits_for_stop) {
      worker.next_hold = now + kLookPause;
    }
    worker.is_hold_open = true;
    worker.hold_sent = now;
    decisions.holds.push_back(std::move(order));
  }
  for (auto& stray : std::exchange(this->strays, {})) {
    decisions.stops.push_back(std::move(stray));
  }
}

}  // namespace shallotbank::cell
