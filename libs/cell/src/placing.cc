#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// A job is late once it exceeds its objective, and very late once it exceeds
/// this multiple of its objective.
constexpr int kVeryLateFactor = 3;
constexpr int kOnTimeTier = 0;
constexpr int kOverRateTier = 1;
constexpr int kLateTier = 2;
constexpr int kVeryLateTier = 3;
/// Time from a decision until the caller can see its effect, in addition to the
/// run time.
constexpr std::chrono::milliseconds kStartOverhead{100};
/// Number of blocked gangs for which capacity is reserved at a time: one per so
/// many workers, and at least the minimum. More would leave too many workers
/// idle.
constexpr std::size_t kMinReservations = 4;
constexpr std::size_t kWorkersPerReservation = 64;
/// Minimum time between two placement passes, so that several events share one.
constexpr std::chrono::milliseconds kPlacementInterval{7};
constexpr std::chrono::milliseconds kIdlePlacementInterval{25};
/// Added to the interval for each waiting step: a pass takes some microseconds
/// of a full core per step, and a host has a quarter of a core.
constexpr std::chrono::microseconds kIntervalPerWaitingStep{40};
/// Tasks that one pass places. Callers decide how many wait, and the leader
/// renews its claim and answers them only between passes.
constexpr std::size_t kMaxPlacements = 500;
/// A pass ends after this many steps found neither free capacity nor a ticket;
/// the remaining steps are less urgent and would not do better.
constexpr std::size_t kMaxBlockedSteps = 100;
/// Attempts to place a blocked step in the time that a query about it takes.
constexpr int kAttemptsPerQuery = 16;
/// For the blocked step of the highest rank.
constexpr std::chrono::milliseconds kMaxFirstAttemptInterval{30};
/// The interval grows by its first value for each of so many blocked steps.
constexpr std::size_t kBlockedPerInterval = 16;
/// A step is logged once it has waited this long, and again after each
/// interval.
constexpr std::chrono::milliseconds kLogWaitingAfter{1000};
constexpr std::chrono::milliseconds kLogWaitingInterval{2000};
/// An objective below this multiple of the estimated time leaves no slack for a
/// worker that takes 1.3 times as long, after the wait for placement.
constexpr double kTightObjectiveStretch = 2.0;
/// Time for which a ticket must remain valid: storing the assignment and
/// starting the task.
constexpr std::chrono::milliseconds kTicketMargin{150};

/// A step whose advice takes longer, or that follows many blocked ones, is
/// worth fewer attempts to place it.
auto AttemptInterval(const QueuePolicy& queue, std::size_t blocked_before)
    -> Duration {
  if (!queue.advice) {
    return Duration::zero();
  }
  const auto interval = std::min<Duration>(
      queue.advice->base_cost / kAttemptsPerQuery, kMaxFirstAttemptInterval);
  return interval + interval * blocked_before / kBlockedPerInterval;
}

auto CountFits(const Resources& demand, const Resources& available)
    -> std::size_t {
  auto fits = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&fits](std::int64_t need, std::int64_t have) {
    if (need > 0) {
      fits = std::min(fits, std::max<std::int64_t>(0, have) / need);
    }
  };
  limit(demand.cores_milli, available.cores_milli);
  limit(demand.memory_mib, available.memory_mib);
  limit(demand.accelerators, available.accelerators);
  return static_cast<std::size_t>(fits);
}

}  // namespace

auto IsPreferredPace(const QueuePolicy& queue, const LiveWorker& worker)
    -> bool {
  const bool is_tight = queue.objective_stretch < kTightObjectiveStretch;
  return (worker.pace.kind == PaceClass::kUsual) == is_tight;
}

auto Scheduler::Core::Tier(const LiveJob& job,
                           const LiveOccurrence& occurrence,
                           Duration allowance,
                           TimePoint now) const -> int {
  // Jobs that would be late even if started now yield to jobs that can still
  // meet their objective.
  const auto earliest =
      now - job.accepted_at + occurrence.remaining_path + kStartOverhead;
  if (earliest > allowance * kVeryLateFactor) {
    return kVeryLateTier;
  }
  if (earliest > allowance) {
    return kLateTier;
  }
  return job.exceeds_rate ? kOverRateTier : kOnTimeTier;
}

auto Scheduler::Core::RankStepsOf(LiveJob& job,
                                  TimePoint now,
                                  std::vector<RankedStep>& ranked) const
    -> void {
  const auto* queue = this->QueueOf(job);
  if (queue == nullptr) {
    return;
  }
  const auto allowance = std::chrono::duration_cast<Duration>(
                             job.critical_path * queue->objective_stretch) +
                         queue->objective_slack;
  for (auto& occurrence : job.occurrences) {
    const int tier = this->Tier(job, occurrence, allowance, now);
    for (auto& step : occurrence.steps) {
      if (step.IsWaiting()) {
        ranked.push_back(
            {tier, queue->priority, job.accepted_at + allowance, &step, queue});
      }
    }
  }
}

auto Scheduler::Core::RankSteps(TimePoint now) -> std::vector<RankedStep> {
  std::erase_if(this->waiting_jobs, [](const LiveJob* job) {
    return IsFinal(job->state) || !job->HasWaitingStep();
  });
  std::vector<RankedStep> ranked;
  for (auto* job : this->waiting_jobs) {
    this->RankStepsOf(*job, now, ranked);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedStep& a, const RankedStep& b) {
              return std::tie(a.tier, a.priority, a.objective, a.step->name) <
                     std::tie(b.tier, b.priority, b.objective, b.step->name);
            });
  return ranked;
}

auto Scheduler::Core::IsEligible(const LiveStep& step,
                                 const QueuePolicy& queue,
                                 const LiveWorker& worker,
                                 TimePoint now) const -> bool {
  if (!this->IsUsable(worker, now) || worker.report.service != queue.service) {
    return false;
  }
  const auto& label = step.spec->required_label;
  const auto& labels = worker.report.labels;
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

auto Scheduler::Core::CountSlots(const LiveStep& step,
                                 const LiveWorker& worker,
                                 Resources available) const -> std::size_t {
  auto slots = CountFits(step.spec->demand, available);
  if (step.spec->max_per_worker > 0) {
    const auto assigned = step.assigned_on.find(worker.report.id);
    const auto taken =
        assigned == step.assigned_on.end() ? 0 : assigned->second;
    const auto most = step.spec->max_per_worker;
    slots = std::min(slots, most > taken ? most - taken : 0);
  }
  return slots;
}

auto Scheduler::Core::FitsLimit(const LiveJob& job,
                                const Resources& demand) const -> bool {
  const auto policy =
      this->configuration.organisations.find(job.spec.organisation);
  if (policy == this->configuration.organisations.end()) {
    return true;
  }
  const auto usage = this->organisation_usage.find(job.spec.organisation);
  const auto used = usage == this->organisation_usage.end()
                        ? Resources{}
                        : usage->second.used;
  const auto after = used + demand;
  const auto& limit = policy->second.limit;
  const auto fits = [](std::int64_t amount, std::int64_t most) {
    return most == 0 || amount <= most;
  };
  return fits(after.cores_milli, limit.cores_milli) &&
         fits(after.memory_mib, limit.memory_mib) &&
         fits(after.accelerators, limit.accelerators);
}

auto Scheduler::Core::EligibleWorkers(const RankedStep& ranked, TimePoint now)
    -> std::vector<LiveWorker*> {
  std::vector<LiveWorker*> found;
  const auto& step = *ranked.step;
  const auto add = [&](LiveWorker& worker) {
    this->worker_visits++;
    if (this->IsEligible(step, *ranked.queue, worker, now)) {
      found.push_back(&worker);
    }
  };
  if (!ranked.queue->advice) {
    for (const auto& entry :
         this->free_cores.WorkersOf(ranked.queue->service)) {
      add(*entry.worker);
    }
    return found;
  }
  for (const auto& [id, ticket] : step.advice.tickets) {
    const auto worker = this->workers.find(id);
    if (worker != this->workers.end() && ticket.expires > now + kTicketMargin &&
        ticket.born_unix_ms == worker->second.born_unix_ms) {
      add(worker->second);
    }
  }
  return found;
}

auto Scheduler::Core::RankFor(const RankedStep& ranked,
                              const LiveTask& task,
                              const LiveWorker& worker) -> WorkerRank {
  const auto& spec = *ranked.step->spec;
  const bool has_failed =
      std::find(task.failed_workers.begin(), task.failed_workers.end(),
                worker.report.id) != task.failed_workers.end();
  const bool is_off_data_rack =
      !spec.data_rack.IsEmpty() && spec.data_rack != worker.report.rack;
  // A suspect takes as few other runs with it as possible.
  return {task.IsSuspect() ? worker.tasks.size() : 0, has_failed,
          is_off_data_rack, !IsPreferredPace(*ranked.queue, worker),
          worker.FreeResources().cores_milli - spec.demand.cores_milli};
}

auto Scheduler::Core::MayTake(const LiveWorker& worker,
                              const LiveTask& task,
                              TimePoint now) const -> bool {
  return MayStartBeside(worker, task.IsSuspect(), now) &&
         this->CountSlots(*task.step, worker,
                          this->UnreservedResources(worker)) > 0;
}

auto Scheduler::Core::BestWorkerFor(const RankedStep& ranked,
                                    const LiveTask& task,
                                    const std::vector<LiveWorker*>& workers,
                                    TimePoint now) const -> LiveWorker* {
  LiveWorker* best = nullptr;
  WorkerRank best_rank;
  for (auto* worker : workers) {
    if (!this->MayTake(*worker, task, now)) {
      continue;
    }
    const auto rank = RankFor(ranked, task, *worker);
    if (best == nullptr || rank < best_rank) {
      best = worker;
      best_rank = rank;
    }
  }
  return best;
}

auto Scheduler::Core::NextWorkerFor(const RankedStep& ranked,
                                    const LiveTask& task,
                                    const std::vector<LiveWorker*>& workers,
                                    std::optional<WorkerHeap>& heap,
                                    TimePoint now) const -> LiveWorker* {
  const auto is_worse = [](const auto& a, const auto& b) {
    return a.first > b.first;
  };
  if (!heap) {
    heap.emplace();
    for (std::size_t i = 0; i < workers.size(); i++) {
      if (this->MayTake(*workers[i], task, now)) {
        heap->push_back({{RankFor(ranked, task, *workers[i]), i}, workers[i]});
      }
    }
    std::make_heap(heap->begin(), heap->end(), is_worse);
  }
  // The best worker stays the best one while it is filled.
  while (!heap->empty() && !this->MayTake(*heap->front().second, task, now)) {
    std::pop_heap(heap->begin(), heap->end(), is_worse);
    heap->pop_back();
  }
  return heap->empty() ? nullptr : heap->front().second;
}

auto Scheduler::Core::PlaceSingles(const RankedStep& ranked,
                                   const std::vector<LiveWorker*>& workers,
                                   TimePoint now) -> WaitReason {
  auto& step = *ranked.step;
  const auto blocked =
      workers.empty() ? WaitReason::kNoAdvice : WaitReason::kNoRoom;
  std::optional<WorkerHeap> heap;
  bool is_suspect_blocked = false;
  // No worker suits a suspect that did not suit the one before it.
  bool may_place_suspect = true;
  bool may_hold_worker = true;
  for (auto i = step.first_waiting; i < step.tasks.size(); i++) {
    auto& task = step.tasks[i];
    if (!task.IsWaiting()) {
      step.first_waiting += i == step.first_waiting ? 1 : 0;
      continue;
    }
    if (this->placements_left == 0) {
      return WaitReason::kNone;  // The next pass continues.
    }
    if (!this->FitsLimit(*step.job, step.spec->demand)) {
      return WaitReason::kLimit;
    }
    if (this->AwaitsSettledLeader(task, now)) {
      is_suspect_blocked = true;
      continue;
    }
    LiveWorker* best = nullptr;
    if (!task.HasHistory()) {
      best = this->NextWorkerFor(ranked, task, workers, heap, now);
    } else if (!task.IsSuspect() || may_place_suspect) {
      best = this->BestWorkerFor(ranked, task, workers, now);
    }
    if (best == nullptr && !task.IsSuspect()) {
      return blocked;
    }
    if (best == nullptr) {
      may_place_suspect = false;
      may_hold_worker =
          may_hold_worker && this->HoldWorkerFor(task, workers, now);
      is_suspect_blocked = true;
      continue;
    }
    this->Assign(task, *best, now);
    this->placements_left--;
  }
  return is_suspect_blocked ? blocked : WaitReason::kNone;
}

auto Scheduler::Core::PlaceGang(const RankedStep& ranked,
                                std::vector<LiveWorker*> workers,
                                TimePoint now) -> WaitReason {
  auto& step = *ranked.step;
  if (step.assigned > 0) {
    return WaitReason::kFormerRun;
  }
  if (std::any_of(step.tasks.begin(), step.tasks.end(),
                  [&](const LiveTask& task) {
                    return this->AwaitsSettledLeader(task, now);
                  })) {
    return WaitReason::kPause;
  }
  if (!this->FitsLimit(*step.job,
                       Times(step.spec->demand,
                             static_cast<std::int64_t>(step.tasks.size())))) {
    return WaitReason::kLimit;
  }
  const auto suspect =
      std::find_if(step.tasks.begin(), step.tasks.end(),
                   [](const LiveTask& task) { return task.IsSuspect(); });
  const bool has_suspect = suspect != step.tasks.end();
  const auto all_workers = workers;
  std::erase_if(workers, [&](const LiveWorker* worker) {
    return !MayStartBeside(*worker, false, now) &&
           !(has_suspect && MayStartBeside(*worker, true, now));
  });
  std::map<LiveWorker*, std::size_t> slots;
  std::map<RackId, std::size_t> by_rack;
  std::size_t total = 0;
  for (auto* worker : workers) {
    const auto here =
        this->CountSlots(step, *worker, this->UnreservedResources(*worker));
    slots[worker] = here;
    by_rack[worker->report.rack] += here;
    total += here;
  }
  const auto block = [&] {
    if (has_suspect) {
      this->HoldWorkerFor(*suspect, all_workers, now);
    }
    return all_workers.empty() ? WaitReason::kNoAdvice : WaitReason::kNoRoom;
  };
  if (total < step.tasks.size()) {
    return block();
  }
  const auto rack_rank = [&](const LiveWorker* worker) {
    const auto& rack = worker->report.rack;
    const bool fits_gang =
        !step.spec->is_single_rack || by_rack[rack] >= step.tasks.size();
    const bool is_near =
        step.spec->data_rack.IsEmpty() || step.spec->data_rack == rack;
    const bool is_slow = worker->pace.kind != PaceClass::kUsual;
    return std::tuple(!fits_gang, !is_near, is_slow);
  };
  std::sort(workers.begin(), workers.end(), [&](LiveWorker* a, LiveWorker* b) {
    const auto rack_a =
        step.spec->is_single_rack ? a->report.rack.Text() : std::string();
    const auto rack_b =
        step.spec->is_single_rack ? b->report.rack.Text() : std::string();
    return std::tuple(rack_rank(a), rack_a, a->FreeResources().cores_milli,
                      a->report.id) < std::tuple(rack_rank(b), rack_b,
                                                 b->FreeResources().cores_milli,
                                                 b->report.id);
  });
  const auto chosen = ChooseGangWorkers(step, workers, std::move(slots), now);
  if (chosen.empty()) {
    return block();
  }
  int run = 0;
  for (const auto& member : step.tasks) {
    run = std::max(run, member.persistent.run);
  }
  for (const auto& [member, worker] : chosen) {
    // All members of a gang run have the same run number.
    member->persistent.run = run;
    this->Assign(*member, *worker, now);
  }
  this->placements_left -= std::min(this->placements_left, chosen.size());
  return WaitReason::kNone;
}

auto Scheduler::Core::ChooseGangWorkers(
    LiveStep& step,
    const std::vector<LiveWorker*>& workers,
    std::map<LiveWorker*, std::size_t> slots,
    TimePoint now) -> std::vector<std::pair<LiveTask*, LiveWorker*>> {
  std::vector<std::pair<LiveTask*, LiveWorker*>> chosen;
  std::set<LiveWorker*> with_suspects;
  // Suspects go first, as fewer workers suit them.
  for (const bool is_suspect : {true, false}) {
    auto worker = workers.begin();
    for (auto& member : step.tasks) {
      if (member.IsSuspect() != is_suspect) {
        continue;
      }
      // Other members do not obscure which job causes a crash.
      const auto is_suitable = [&](LiveWorker* candidate) {
        return slots[candidate] > 0 &&
               (with_suspects.contains(candidate) ||
                MayStartBeside(*candidate, is_suspect, now));
      };
      worker = std::find_if(worker, workers.end(), is_suitable);
      if (worker == workers.end()) {
        return {};
      }
      slots[*worker]--;
      if (is_suspect) {
        with_suspects.insert(*worker);
      }
      chosen.emplace_back(&member, *worker);
    }
  }
  return chosen;
}

auto Scheduler::Core::PlaceStep(const RankedStep& ranked, TimePoint now)
    -> WaitReason {
  if (now < ranked.step->not_before) {
    return WaitReason::kPause;
  }
  if (!this->FitsLimit(*ranked.step->job, ranked.step->spec->demand)) {
    return WaitReason::kLimit;
  }
  const auto workers = this->EligibleWorkers(ranked, now);
  return ranked.step->spec->is_gang ? this->PlaceGang(ranked, workers, now)
                                    : this->PlaceSingles(ranked, workers, now);
}

auto Scheduler::Core::LogWaiting(LiveStep& step,
                                 WaitReason reason,
                                 TimePoint now) -> void {
  const auto age = now - step.job->accepted_at;
  if (age < kLogWaitingAfter ||
      now - step.wait_logged_at < kLogWaitingInterval) {
    return;
  }
  step.wait_logged_at = now;
  static constexpr const char* kNames[] = {"none",    "limit",      "no-advice",
                                           "no-room", "former-run", "pause"};
  this->AddNote(
      Event::kStepWaits,
      {{"step", step.name},
       {"reason", kNames[static_cast<int>(reason)]},
       {"organisation", step.job->spec.organisation.Text()},
       {"waiting", std::to_string(step.waiting)},
       {"job_age_ms",
        std::to_string(
            std::chrono::floor<std::chrono::milliseconds>(age).count())},
       {"asked", std::to_string(step.advice.queried.size())},
       {"tickets", std::to_string(step.advice.tickets.size())}});
}

auto Scheduler::Core::UnreservedResources(const LiveWorker& worker) const
    -> Resources {
  const auto reserved = this->reserved.find(&worker);
  return reserved == this->reserved.end()
             ? worker.FreeResources()
             : worker.FreeResources() - reserved->second;
}

auto Scheduler::Core::PermittedWorkers(const RankedStep& ranked, TimePoint now)
    -> std::vector<PermittedWorker> {
  const auto& step = *ranked.step;
  std::vector<PermittedWorker> permitted;
  if (ranked.queue->advice && step.advice.tickets.empty()) {
    return permitted;
  }
  const auto add = [&](LiveWorker& worker) {
    this->worker_visits++;
    if (this->IsEligible(step, *ranked.queue, worker, now)) {
      permitted.push_back(
          {this->CountSlots(step, worker, this->UnreservedResources(worker)),
           &worker});
    }
  };
  if (!ranked.queue->advice) {
    for (const auto& entry :
         this->free_cores.WorkersOf(ranked.queue->service)) {
      add(*entry.worker);
    }
  }
  for (const auto& [id, ticket] : step.advice.tickets) {
    const auto worker = this->workers.find(id);
    if (ranked.queue->advice && worker != this->workers.end()) {
      add(worker->second);
    }
  }
  std::sort(permitted.begin(), permitted.end(),
            [](const PermittedWorker& a, const PermittedWorker& b) {
              const auto free_cores = [](const PermittedWorker& worker) {
                return worker.worker->FreeResources().cores_milli;
              };
              return std::tuple(a.slots, free_cores(a), b.worker->report.id) >
                     std::tuple(b.slots, free_cores(b), a.worker->report.id);
            });
  return permitted;
}

auto Scheduler::Core::PlanReservation(const RankedStep& ranked, TimePoint now)
    -> GangReservation {
  const auto& step = *ranked.step;
  const auto permitted = this->PermittedWorkers(ranked, now);
  std::size_t total = 0;
  for (const auto& candidate : permitted) {
    total += candidate.slots;
  }
  GangReservation plan;
  const auto gang_size = step.tasks.size();
  if (total >= gang_size) {
    // Enough capacity is free; only tickets are missing.
    plan.is_complete = true;
    auto remaining = gang_size;
    for (const auto& candidate : permitted) {
      const auto taken = std::min(remaining, candidate.slots);
      if (taken == 0) {
        break;
      }
      plan.shares.push_back(
          {candidate.worker->report.id,
           Times(step.spec->demand, static_cast<std::int64_t>(taken))});
      remaining -= taken;
    }
    return plan;
  }
  // Reserve the capacity that becomes free on as few workers as can run the
  // whole gang.
  std::size_t reserved_slots = 0;
  for (const auto& candidate : permitted) {
    if (reserved_slots >= gang_size) {
      break;
    }
    reserved_slots += this->CountSlots(step, *candidate.worker,
                                       candidate.worker->report.capacity);
    plan.shares.push_back({candidate.worker->report.id, {}});
  }
  return plan;
}

auto Scheduler::Core::ApplyReservation(const GangReservation& plan) -> void {
  for (const auto& share : plan.shares) {
    const auto worker = this->workers.find(share.worker);
    if (worker == this->workers.end()) {
      continue;
    }
    auto& reserved = this->reserved[&worker->second];
    if (plan.is_complete) {
      reserved += share.amount;
    } else {
      reserved = Max(reserved, worker->second.FreeResources());
    }
  }
}

auto Scheduler::Core::IsPlacementDue(TimePoint now) const -> bool {
  // Tickets and delays expire without an event, so passes also run
  // periodically.
  const Duration interval =
      this->needs_placement ? kPlacementInterval : kIdlePlacementInterval;
  const Duration backlog_interval =
      kIntervalPerWaitingStep * this->last_waiting_steps;
  return now - this->last_placement_at >= interval + backlog_interval;
}

auto Scheduler::Core::PlaceWaitingSteps(TimePoint now, Decisions& decisions)
    -> void {
  if (!this->IsPlacementDue(now)) {
    return;
  }
  this->last_placement_at = now;
  this->needs_placement = false;
  this->reserved.clear();
  const auto ranked = this->RankSteps(now);
  this->last_waiting_steps = static_cast<int>(ranked.size());
  const auto max_reservations =
      std::max(kMinReservations, this->workers.size() / kWorkersPerReservation);
  std::size_t reserved_gangs = 0;
  std::size_t blocked = 0;
  this->placements_left = kMaxPlacements;
  for (const auto& ranked_step : ranked) {
    if (this->placements_left == 0) {
      this->needs_placement = true;
      break;
    }
    auto& step = *ranked_step.step;
    const bool is_attempt = now >= step.next_attempt;
    if (is_attempt) {
      const auto reason = this->PlaceStep(ranked_step, now);
      if (reason == WaitReason::kNone) {
        continue;
      }
      this->LogWaiting(step, reason, now);
      if (reason != WaitReason::kNoRoom && reason != WaitReason::kNoAdvice) {
        continue;
      }
      this->QueryAdvice(ranked_step, now, decisions);
      step.next_attempt = now + AttemptInterval(*ranked_step.queue, blocked);
    }
    const bool may_reserve = ranked_step.tier < kVeryLateTier &&
                             reserved_gangs < max_reservations &&
                             step.spec->is_gang;
    if (may_reserve) {
      if (is_attempt || !step.reservation) {
        step.reservation = this->PlanReservation(ranked_step, now);
      }
      this->ApplyReservation(*step.reservation);
      if (step.reservation->is_complete) {
        continue;
      }
      reserved_gangs++;
    } else {
      step.reservation.reset();
    }
    blocked++;
    if (blocked >= kMaxBlockedSteps) {
      break;
    }
  }
}

}  // namespace shallotbank::cell
