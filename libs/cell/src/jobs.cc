#include <algorithm>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// Jobs that an organisation may submit in a burst beyond its steady rate, in
/// seconds of that rate. A burst of one second is ordinary traffic.
constexpr double kRateBurstSeconds = 2;
constexpr std::int64_t kMilli = 1000;
/// An occurrence of a job begins only while those before it have fewer
/// unfinished tasks, which bounds what is stored of one job.
constexpr std::size_t kMaxTasksBeforeOccurrence = 10'000;

}  // namespace

auto CriticalPathTime(const std::vector<StepSpec>& steps,
                      const std::function<bool(std::size_t)>& is_done)
    -> Duration {
  if (steps.size() == 1) {
    return is_done(0) ? Duration() : Duration(steps[0].estimate);
  }
  std::vector<Duration> end_times(steps.size());
  Duration longest{};
  for (std::size_t i = 0; i < steps.size(); i++) {
    Duration start{};
    for (const auto before : steps[i].depends_on) {
      start = std::max(start, end_times[before]);
    }
    const Duration own = is_done(i) ? Duration() : Duration(steps[i].estimate);
    end_times[i] = start + own;
    longest = std::max(longest, end_times[i]);
  }
  return longest;
}

Scheduler::Core::Core(SchedulerOptions options, TimePoint now)
    : options(options), took_over_at(now) {}

auto Scheduler::Core::AddNote(
    Event event,
    std::vector<std::pair<std::string, std::string>> fields) -> void {
  this->notes.push_back({event, std::move(fields)});
}

auto Scheduler::Core::OnConfiguration(const CellConfiguration& configuration)
    -> void {
  this->configuration = configuration;
  this->needs_placement = true;
}

auto Scheduler::Core::QueueOf(const LiveJob& job) const -> const QueuePolicy* {
  const auto found = this->configuration.queues.find(job.spec.queue);
  return found == this->configuration.queues.end() ? nullptr : &found->second;
}

auto Scheduler::Core::TakeRateToken(const JobSpec& spec, TimePoint now)
    -> bool {
  const auto found = this->configuration.organisations.find(spec.organisation);
  if (found == this->configuration.organisations.end()) {
    return true;
  }
  auto& usage = this->organisation_usage[spec.organisation];
  const double burst = found->second.weight * kRateBurstSeconds;
  if (usage.refilled_at == TimePoint()) {
    usage.rate_tokens = burst;
  } else {
    const std::chrono::duration<double> passed =
        std::max(Duration::zero(), now - usage.refilled_at);
    usage.rate_tokens = std::min(
        burst, usage.rate_tokens + passed.count() * found->second.weight);
  }
  usage.refilled_at = now;
  if (usage.rate_tokens < 1) {
    return false;
  }
  usage.rate_tokens -= 1;
  return true;
}

auto Scheduler::Core::OnJob(JobSpec spec,
                            const JobProgress& progress,
                            TimePoint accepted_at,
                            TimePoint now) -> void {
  if (IsFinal(progress.state) || this->jobs.contains(spec.id)) {
    return;
  }
  auto owned = std::make_unique<LiveJob>();
  auto& job = *owned;
  job.spec = std::move(spec);
  job.state = progress.state;
  job.accepted_at = accepted_at;
  job.critical_path =
      CriticalPathTime(job.spec.steps, [](std::size_t) { return false; });
  job.next_occurrence = progress.next_occurrence;
  job.exceeds_rate = !this->TakeRateToken(job.spec, accepted_at);
  this->jobs.emplace(job.spec.id, std::move(owned));
  for (const auto& stored : progress.occurrences) {
    this->RestoreOccurrence(job, stored, now);
  }
  if (job.spec.occurrence_count == 0 && job.next_occurrence == 0) {
    this->UpdateReady(this->BeginOccurrence(job, 0));
    job.next_occurrence = 1;
  }
  if (job.next_occurrence < job.spec.occurrence_count) {
    this->recurring_jobs.insert(&job);
  }
  this->needs_placement = true;
}

auto Scheduler::Core::BeginOccurrence(LiveJob& job, std::size_t number)
    -> LiveOccurrence& {
  auto& occurrence = job.occurrences.emplace_back();
  occurrence.number = number;
  occurrence.unfinished_steps = job.spec.steps.size();
  for (std::size_t i = 0; i < job.spec.steps.size(); i++) {
    auto& step = occurrence.steps.emplace_back();
    step.job = &job;
    step.spec = &job.spec.steps[i];
    step.occurrence = number;
    step.number = i;
    step.name = job.spec.id.Text() + '.' + std::to_string(number) + '.' +
                std::to_string(i);
    step.unfinished = step.spec->task_count;
    step.waiting = step.spec->task_count;
    for (std::size_t index = 0; index < step.spec->task_count; index++) {
      auto& task = step.tasks.emplace_back();
      task.step = &step;
      task.index = index;
      task.name = TaskName(job.spec.id, number, i, index);
    }
  }
  return occurrence;
}

auto Scheduler::Core::RestoreOccurrence(LiveJob& job,
                                        const OccurrenceProgress& stored,
                                        TimePoint now) -> void {
  auto& occurrence = this->BeginOccurrence(job, stored.number);
  occurrence.segment_size = stored.segment_size;
  const auto steps = std::min(occurrence.steps.size(), stored.steps.size());
  for (std::size_t i = 0; i < steps; i++) {
    auto& step = occurrence.steps[i];
    const auto tasks = std::min(step.tasks.size(), stored.steps[i].size());
    for (std::size_t index = 0; index < tasks; index++) {
      auto& task = step.tasks[index];
      task.persistent = stored.steps[i][index];
      if (task.persistent.phase == TaskPhase::kWaiting) {
        continue;
      }
      step.waiting--;
      if (task.persistent.phase == TaskPhase::kDone) {
        step.unfinished--;
        continue;
      }
      auto& worker = this->GetOrAddWorker(task.persistent.worker.id);
      worker.tasks.emplace(task.name, &task);
      worker.suspects += task.IsSuspect() ? 1 : 0;
      this->AddUsage(task, worker);
      job.placed_tasks++;
      this->unanswered_starts.Add(task.persistent.worker,
                                  {task.name, task.persistent.run}, now);
      task.stage = RunStage::kUnknown;
      task.next_send = now;
    }
    this->AbandonPartialGang(step);
    if (step.unfinished == 0) {
      occurrence.unfinished_steps--;
    }
  }
  if (occurrence.segment_size > 0) {
    std::size_t task_count = 0;
    for (const auto& step : occurrence.steps) {
      task_count += step.tasks.size();
    }
    // Empty ones are written again, or removed at the end of the job.
    occurrence.stored_segments.resize(
        (task_count + occurrence.segment_size - 1) / occurrence.segment_size);
  }
  this->UpdateReady(occurrence);
}

auto Scheduler::Core::AbandonPartialGang(LiveStep& step) -> void {
  if (!step.spec->is_gang || step.waiting == 0) {
    return;
  }
  const auto member = std::find_if(
      step.tasks.begin(), step.tasks.end(),
      [](const auto& task) { return task.stage != RunStage::kNone; });
  if (member != step.tasks.end()) {
    this->AbandonGang(step, member->persistent.run);
  }
}

auto Scheduler::Core::UpdateReady(LiveOccurrence& occurrence) -> void {
  for (auto& step : occurrence.steps) {
    step.is_ready =
        std::all_of(step.spec->depends_on.begin(), step.spec->depends_on.end(),
                    [&occurrence](std::size_t before) {
                      return occurrence.steps[before].unfinished == 0;
                    });
  }
  if (!occurrence.steps.empty()) {
    auto& job = *occurrence.steps.front().job;
    this->waiting_jobs.insert(&job);
    occurrence.remaining_path =
        CriticalPathTime(job.spec.steps, [&occurrence](std::size_t step) {
          return occurrence.steps[step].unfinished == 0;
        });
  }
}

auto Scheduler::Core::BeginDueOccurrences(
    std::chrono::system_clock::time_point wall) -> void {
  std::erase_if(this->recurring_jobs, [](const LiveJob* job) {
    return IsFinal(job->state) ||
           job->next_occurrence >= job->spec.occurrence_count;
  });
  for (auto* job : this->recurring_jobs) {
    const auto is_due = [job, wall] {
      return job->next_occurrence < job->spec.occurrence_count &&
             wall >= job->spec.first_due +
                         job->spec.interval * job->next_occurrence;
    };
    auto stored_tasks = is_due() ? job->CountStoredTasks() : 0;
    while (is_due() && stored_tasks < kMaxTasksBeforeOccurrence) {
      auto& occurrence = this->BeginOccurrence(*job, job->next_occurrence);
      this->UpdateReady(occurrence);
      for (const auto& step : occurrence.steps) {
        stored_tasks += step.tasks.size();
      }
      job->next_occurrence++;
      this->MarkDirty(*job);
      this->needs_placement = true;
    }
  }
}

auto Scheduler::Core::ForgetOccurrences(LiveJob& job) -> void {
  std::erase_if(job.occurrences, [&job](const LiveOccurrence& occurrence) {
    return job.IsOver(occurrence) && occurrence.stored_segments.empty() &&
           std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](const auto& step) { return step.assigned == 0; });
  });
}

auto Scheduler::Core::OnStepDone(LiveStep& step) -> void {
  auto& job = *step.job;
  auto* occurrence = job.FindOccurrence(step.occurrence);
  occurrence->unfinished_steps--;
  this->UpdateReady(*occurrence);
  this->needs_placement = true;
  const bool is_last = job.next_occurrence >=
                       std::max<std::size_t>(1, job.spec.occurrence_count);
  const bool is_done = std::all_of(
      job.occurrences.begin(), job.occurrences.end(),
      [](const auto& candidate) { return candidate.unfinished_steps == 0; });
  if (is_last && is_done) {
    this->FinishJob(job, JobState::kCompleted, "");
  }
}

auto Scheduler::Core::FinishJob(LiveJob& job,
                                JobState state,
                                const std::string& reason) -> void {
  if (IsFinal(job.state)) {
    return;
  }
  job.state = state;
  this->MarkDirty(job);
  this->ended_jobs.push_back(job.spec.id);
  static constexpr const char* kNames[] = {"queued", "running", "completed",
                                           "failed", "cancelled"};
  this->AddNote(Event::kJobFinished,
                {{"job", job.spec.id.Text()},
                 {"state", kNames[static_cast<int>(state)]},
                 {"queue", job.spec.queue.Text()},
                 {"reason", reason}});
  for (auto& occurrence : job.occurrences) {
    for (auto& step : occurrence.steps) {
      for (auto& task : step.tasks) {
        this->AbandonRun(task);
      }
    }
  }
}

auto Scheduler::Core::OnCancel(const JobId& id, TimePoint) -> void {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end() || IsFinal(found->second->state)) {
    return;
  }
  this->FinishJob(*found->second, JobState::kCancelled, "cancelled");
}

auto Scheduler::Core::MarkDirty(LiveJob& job) -> void {
  if (!job.is_dirty) {
    job.is_dirty = true;
    this->dirty_jobs.push_back(&job);
  }
}

auto Scheduler::Core::DropEndedJobs() -> void {
  std::erase_if(this->ended_jobs, [this](const JobId& id) {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
      return true;
    }
    const auto& job = *found->second;
    const bool is_stored =
        !job.is_dirty &&
        std::none_of(this->pending_batches.begin(), this->pending_batches.end(),
                     [&id](const auto& entry) {
                       const auto& jobs = entry.second.jobs;
                       return std::find(jobs.begin(), jobs.end(), id) !=
                              jobs.end();
                     });
    if (!is_stored || job.placed_tasks > 0) {
      return false;
    }
    this->recurring_jobs.erase(found->second.get());
    this->waiting_jobs.erase(found->second.get());
    this->jobs.erase(found);
    return true;
  });
}

auto Scheduler::Core::Decide(TimePoint now,
                             std::chrono::system_clock::time_point wall,
                             Authority authority) -> Decisions {
  Decisions decisions;
  this->BeginDueOccurrences(wall);
  this->ReleaseExpiredLeases(now);
  this->ClassifyWorkers(now);
  if (authority.may_start) {
    this->PlaceWaitingSteps(now, decisions);
  }
  this->StopUnansweredStarts(now, decisions);
  this->SendDueOrders(now, authority.may_start, decisions);
  this->SendPolls(now, authority.may_renew, decisions);
  decisions.batch = this->BuildBatch();
  this->DropEndedJobs();
  decisions.notes = std::exchange(this->notes, {});
  return decisions;
}

auto Scheduler::Core::Count() const -> Counts {
  Counts counts;
  counts.jobs = this->jobs.size();
  for (const auto& [id, job] : this->jobs) {
    counts.assigned_tasks += job->placed_tasks;
    for (const auto& occurrence : job->occurrences) {
      for (const auto& step : occurrence.steps) {
        counts.waiting_tasks += step.is_ready ? step.waiting : 0;
      }
    }
  }
  for (const auto& [id, worker] : this->workers) {
    counts.workers += worker.is_listed ? 1 : 0;
    if (worker.is_attached) {
      counts.attached_workers++;
      counts.cores_capacity += worker.report.capacity.cores_milli / kMilli;
      counts.cores_used += worker.used.cores_milli / kMilli;
    }
  }
  counts.advice_queries = this->queries.size();
  counts.worker_visits = this->worker_visits;
  return counts;
}

}  // namespace shallotbank::cell
