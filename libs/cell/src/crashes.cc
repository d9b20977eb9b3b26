#include <algorithm>
#include <vector>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// A task is given up once so many workers have crashed right after they had
/// started it, if it was the only recent start on the last of them. A crash
/// that is only possibly its fault counts half.
constexpr int kCrashesOfCause = 2;
/// A task is given up after so many crashes even if other starts were as
/// recent. Suspects are kept apart and are cleared once they are seen to work,
/// so a task that is not the cause does not get there.
constexpr int kMaxCrashes = 4;
/// The same if none of the crashes is certain: every time the leader was lost,
/// or the start was not answered.
constexpr int kMaxPossibleCrashes = 5;
/// A leader in office for this time is likely to see how a run goes on.
constexpr std::chrono::seconds kSettledTerm{3};
/// Up to two batches are in flight when a leader assigns a run, and some more
/// are stored while it does not poll the worker. A run that it assigned to the
/// worker longer before the latest one there had begun and worked: else the
/// leader would have noticed the crash and assigned nothing there afterwards.
constexpr std::uint64_t kUnnoticedBatches = 8;
/// An answer that is missing after less than the time that the worker may wait
/// and this much is not late: the connection was lost or refused.
constexpr std::chrono::milliseconds kMinAnswerTime{300};
/// A poll that fails within this time was refused, rather than cut off later.
constexpr std::chrono::milliseconds kRefusalTime{100};
/// Workers that are kept free for suspects at a time: one of so many.
constexpr std::size_t kWorkersPerHold = 4;

/// What is known of a run whose worker crashed.
auto EvidenceName(const LiveTask& task, bool is_dated) -> const char* {
  if (task.stage == RunStage::kUnknown) {
    return "previous-leader";
  }
  if (task.stage != RunStage::kRunning) {
    return "unconfirmed";
  }
  return is_dated ? "confirmed" : "undated";
}

}  // namespace

auto LiveTask::IsUnprovenAt(TimePoint time) const -> bool {
  if (this->first_start_sent_at == TimePoint()) {
    return false;
  }
  if (this->stage == RunStage::kStarting) {
    return this->is_start_uncertain || this->is_start_in_flight;
  }
  return this->stage == RunStage::kRunning &&
         time - this->confirmed_at < kProofTime;
}

auto Scheduler::Core::OnPollUnanswered(LiveWorker& worker,
                                       const PollOrder& order,
                                       TimePoint sent,
                                       TimePoint now) -> void {
  if (worker.connection_lost_at || now - sent >= order.wait + kMinAnswerTime) {
    return;
  }
  worker.connection_lost_at = now;
  // A poll that is refused at once may come some time after the crash.
  worker.alive_until = now - sent < kRefusalTime ? worker.clock_at : now;
}

auto Scheduler::Core::FindSuspects(const LiveWorker& worker, TimePoint now)
    -> std::vector<LiveTask*> {
  // Without the time of the crash, everything since the last answer and
  // shortly before it may be the cause.
  const auto ended_at = worker.connection_lost_at.value_or(now);
  const auto alive_until =
      worker.connection_lost_at ? worker.alive_until : worker.clock_at;
  AssignmentTime latest;
  for (const auto& [name, task] : worker.tasks) {
    latest = std::max(latest, task->persistent.assigned_at);
  }
  std::vector<LiveTask*> suspects;
  for (const auto& [name, task] : worker.tasks) {
    const auto& assigned_at = task->persistent.assigned_at;
    const bool is_among_latest =
        assigned_at.epoch == latest.epoch &&
        (latest.term - assigned_at.term < kProofTime ||
         latest.batch - assigned_at.batch <= kUnnoticedBatches);
    const bool may_be_cause = task->stage == RunStage::kUnknown
                                  ? is_among_latest
                                  : task->IsUnprovenAt(alive_until) &&
                                        task->first_start_sent_at <= ended_at;
    const bool is_counted =
        task->persistent.crashed_run == task->persistent.run;
    if (may_be_cause && !is_counted) {
      suspects.push_back(task);
    }
  }
  return suspects;
}

auto Scheduler::Core::OnWorkerCrashed(LiveWorker& worker, TimePoint now)
    -> void {
  const auto suspects = FindSuspects(worker, now);
  const bool is_dated = worker.connection_lost_at.has_value();
  const bool is_conclusive =
      is_dated &&
      std::all_of(suspects.begin(), suspects.end(), [&](const LiveTask* task) {
        return task->stage != RunStage::kUnknown &&
               task->step->job == suspects.front()->step->job;
      });
  for (auto* task : suspects) {
    auto& progress = task->persistent;
    const bool is_certain = is_dated && task->stage == RunStage::kRunning;
    (is_certain ? progress.crashes : progress.possible_crashes)++;
    progress.crashed_run = progress.run;
    this->MarkDirty(*task->step->job);
    this->AddNote(
        Event::kTaskSuspected,
        {{"task", task->name.Text()},
         {"run", std::to_string(progress.run)},
         {"worker", worker.report.id.Text()},
         {"evidence", EvidenceName(*task, is_dated)},
         {"crashes", std::to_string(progress.crashes)},
         {"possible_crashes", std::to_string(progress.possible_crashes)},
         {"suspects", std::to_string(suspects.size())}});
  }
  worker.CountSuspects();
  for (const auto* task : suspects) {
    const auto& progress = task->persistent;
    const bool is_cause = is_conclusive && task->stage == RunStage::kRunning &&
                          task->CrashScore() >= 2 * kCrashesOfCause;
    const int crashes = progress.crashes + progress.possible_crashes;
    const int most = progress.crashes > 0 ? kMaxCrashes : kMaxPossibleCrashes;
    if (is_cause || crashes >= most) {
      this->FinishJob(*task->step->job, JobState::kFailed,
                      "task " + task->name.Text() + " crashed " +
                          std::to_string(crashes) + " workers");
    }
  }
}

auto Scheduler::Core::ClearSuspicion(LiveTask& task, LiveWorker& worker)
    -> void {
  worker.suspects -= task.IsSuspect() ? 1 : 0;
  task.persistent.crashes = 0;
  task.persistent.possible_crashes = 0;
  // The next leader would count on.
  this->MarkDirty(*task.step->job);
}

auto Scheduler::Core::AwaitsSettledLeader(const LiveTask& task,
                                          TimePoint now) const -> bool {
  const auto& progress = task.persistent;
  return progress.crashes + progress.possible_crashes >=
             kMaxPossibleCrashes - 1 &&
         now - this->took_over_at < kSettledTerm;
}

auto Scheduler::Core::HasUnprovenRun(const LiveWorker& worker, TimePoint now)
    -> bool {
  return std::any_of(
      worker.tasks.begin(), worker.tasks.end(), [now](const auto& entry) {
        return entry.second->IsNotBegun() || entry.second->IsUnprovenAt(now);
      });
}

auto Scheduler::Core::MayStartBeside(const LiveWorker& worker,
                                     bool is_suspect,
                                     TimePoint now) -> bool {
  if (is_suspect) {
    return !HasUnprovenRun(worker, now);
  }
  if (now < worker.held_until) {
    return false;
  }
  return worker.suspects == 0 ||
         std::none_of(worker.tasks.begin(), worker.tasks.end(),
                      [now](const auto& entry) {
                        const auto& task = *entry.second;
                        return task.IsSuspect() &&
                               (task.IsNotBegun() || task.IsUnprovenAt(now));
                      });
}

auto Scheduler::Core::HoldWorkerFor(LiveTask& suspect,
                                    const std::vector<LiveWorker*>& workers,
                                    TimePoint now) -> bool {
  if (now < suspect.hold_until) {
    return true;
  }
  const auto held = static_cast<std::size_t>(std::count_if(
      this->workers.begin(), this->workers.end(),
      [now](const auto& entry) { return now < entry.second.held_until; }));
  LiveWorker* best = nullptr;
  for (auto* worker : workers) {
    const bool may_hold =
        now >= worker->held_until &&
        suspect.step->spec->demand.FitsIn(worker->FreeResources());
    if (may_hold &&
        (best == nullptr || worker->tasks.size() < best->tasks.size())) {
      best = worker;
    }
  }
  if (best == nullptr || held >= this->workers.size() / kWorkersPerHold + 1) {
    return false;
  }
  // Long enough for the runs there to be proven and the next passes.
  best->held_until = now + kProofTime + kProofTime / 2;
  suspect.hold_until = best->held_until;
  return true;
}

}  // namespace shallotbank::cell
