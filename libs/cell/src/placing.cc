#include <algorithm>
#include <limits>
#include <tuple>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// A job counts as late beyond its objective, and as hopeless beyond this many
/// times its objective.
constexpr int kHopelessFactor = 3;
constexpr int kInTimeTier = 0;
constexpr int kBeyondShareTier = 1;
constexpr int kLateTier = 2;
constexpr int kHopelessTier = 3;
/// From a decision until the caller can see its effect, besides the work.
constexpr std::chrono::milliseconds kStartOverhead{100};
/// Blocked gangs for which room is kept free at a time. More would leave too
/// many workers idle.
constexpr std::size_t kMaxReservations = 4;
/// Least time between two passes: several events share one.
constexpr std::chrono::milliseconds kPlacingPause{7};
constexpr std::chrono::milliseconds kIdlePlacingPause{25};
/// Added for each waiting step: a pass takes some microseconds of a whole core
/// for each, and a host has a quarter of one.
constexpr std::chrono::microseconds kPauseForBacklog{40};
/// A pass ends after this many steps found neither room nor ticket; those
/// behind them are less urgent and would fare no better.
constexpr std::size_t kMaxBlockedSteps = 100;
/// A step that waits longer is named in the log, and named again so often.
constexpr std::chrono::milliseconds kNoteWaitingAfter{1000};
constexpr std::chrono::milliseconds kNoteWaitingEvery{2000};
/// An objective below this many times the work leaves no time for a worker that
/// takes 1.3 times as long, beside the wait for a place.
constexpr double kTightStretch = 2.0;
/// A ticket must stay valid for the time of storing and starting.
constexpr std::chrono::milliseconds kTicketMargin{150};

auto CountFits(const Resources& demand, const Resources& room) -> std::size_t {
  auto fits = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&fits](std::int64_t need, std::int64_t have) {
    if (need > 0) {
      fits = std::min(fits, std::max<std::int64_t>(0, have) / need);
    }
  };
  limit(demand.cores_milli, room.cores_milli);
  limit(demand.memory_mib, room.memory_mib);
  limit(demand.accelerators, room.accelerators);
  return static_cast<std::size_t>(fits);
}

}  // namespace

auto HasRightPace(const QueuePolicy& queue, const LiveWorker& worker) -> bool {
  const bool is_tight = queue.objective_stretch < kTightStretch;
  return (worker.pace.kind == PaceClass::kUsual) == is_tight;
}

auto Scheduler::Core::Tier(const LiveJob& job,
                           const LiveOccurrence& occurrence,
                           Duration allowance,
                           TimePoint now) const -> int {
  const auto left =
      LongestChain(job.spec.steps, [&occurrence](std::size_t step) {
        return occurrence.steps[step].undone == 0;
      });
  // What cannot be in time even if it starts now makes way for what can.
  const auto earliest = now - job.accepted_at + left + kStartOverhead;
  if (earliest > allowance * kHopelessFactor) {
    return kHopelessTier;
  }
  if (earliest > allowance) {
    return kLateTier;
  }
  return job.is_beyond_share ? kBeyondShareTier : kInTimeTier;
}

auto Scheduler::Core::Rank(TimePoint now) -> std::vector<RankedStep> {
  std::vector<RankedStep> ranked;
  for (auto& [id, job] : this->jobs) {
    const auto* queue = this->QueueOf(*job);
    if (IsFinal(job->state) || queue == nullptr) {
      continue;
    }
    const auto allowance = std::chrono::duration_cast<Duration>(
                               job->chain * queue->objective_stretch) +
                           queue->objective_slack;
    for (auto& occurrence : job->occurrences) {
      const int tier = this->Tier(*job, occurrence, allowance, now);
      for (auto& step : occurrence.steps) {
        if (step.is_ready && step.waiting > 0) {
          ranked.push_back({tier, queue->priority, job->accepted_at + allowance,
                            &step, queue});
        }
      }
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedStep& a, const RankedStep& b) {
              return std::tie(a.tier, a.priority, a.objective, a.step->name) <
                     std::tie(b.tier, b.priority, b.objective, b.step->name);
            });
  return ranked;
}

auto Scheduler::Core::SuitsStep(const LiveStep& step,
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

auto Scheduler::Core::TasksOn(const LiveStep& step,
                              const LiveWorker& worker) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      step.tasks.begin(), step.tasks.end(), [&worker](const LiveTask& task) {
        return task.stage != RunStage::kNone &&
               task.kept.worker.id == worker.report.id;
      }));
}

auto Scheduler::Core::Slots(const LiveStep& step,
                            const LiveWorker& worker,
                            Resources room) const -> std::size_t {
  auto slots = CountFits(step.spec->demand, room);
  if (step.spec->max_per_worker > 0) {
    const auto taken = this->TasksOn(step, worker);
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
  const auto share = this->shares.find(job.spec.organisation);
  const auto used =
      share == this->shares.end() ? Resources{} : share->second.used;
  const auto after = used + demand;
  const auto& limit = policy->second.limit;
  const auto fits = [](std::int64_t amount, std::int64_t most) {
    return most == 0 || amount <= most;
  };
  return fits(after.cores_milli, limit.cores_milli) &&
         fits(after.memory_mib, limit.memory_mib) &&
         fits(after.accelerators, limit.accelerators);
}

auto Scheduler::Core::Candidates(const RankedStep& ranked, TimePoint now)
    -> std::vector<LiveWorker*> {
  std::vector<LiveWorker*> found;
  const auto& step = *ranked.step;
  const auto add = [&](LiveWorker& worker) {
    if (this->SuitsStep(step, *ranked.queue, worker, now)) {
      found.push_back(&worker);
    }
  };
  if (!ranked.queue->advice) {
    for (auto& [id, worker] : this->workers) {
      add(worker);
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

auto Scheduler::Core::PlaceSingles(const RankedStep& ranked,
                                   const std::vector<LiveWorker*>& workers,
                                   TimePoint now) -> WaitReason {
  auto& step = *ranked.step;
  const auto& demand = step.spec->demand;
  for (auto& task : step.tasks) {
    if (task.stage != RunStage::kNone ||
        task.kept.phase != TaskPhase::kWaiting) {
      continue;
    }
    if (!this->FitsLimit(*step.job, demand)) {
      return WaitReason::kLimit;
    }
    LiveWorker* best = nullptr;
    auto best_rank = std::tuple<bool, bool, bool, std::int64_t>();
    for (auto* worker : workers) {
      if (this->Slots(step, *worker, this->RoomLeft(*worker)) == 0) {
        continue;
      }
      const bool has_failed =
          std::find(task.failed_on.begin(), task.failed_on.end(),
                    worker->report.id) != task.failed_on.end();
      const bool is_far = !step.spec->data_rack.IsEmpty() &&
                          step.spec->data_rack != worker->report.rack;
      const auto left = worker->Room().cores_milli - demand.cores_milli;
      const auto rank = std::tuple(has_failed, is_far,
                                   !HasRightPace(*ranked.queue, *worker), left);
      if (best == nullptr || rank < best_rank) {
        best = worker;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      return workers.empty() ? WaitReason::kNoAdvice : WaitReason::kNoRoom;
    }
    this->Assign(task, *best, now);
  }
  return WaitReason::kNone;
}

auto Scheduler::Core::PlaceGang(const RankedStep& ranked,
                                std::vector<LiveWorker*> workers,
                                TimePoint now) -> WaitReason {
  auto& step = *ranked.step;
  if (!step.IsWhollyFree()) {
    return WaitReason::kFormerRun;
  }
  if (!this->FitsLimit(*step.job,
                       Times(step.spec->demand,
                             static_cast<std::int64_t>(step.tasks.size())))) {
    return WaitReason::kLimit;
  }
  std::map<LiveWorker*, std::size_t> slots;
  std::map<RackId, std::size_t> by_rack;
  std::size_t total = 0;
  for (auto* worker : workers) {
    const auto here = this->Slots(step, *worker, this->RoomLeft(*worker));
    slots[worker] = here;
    by_rack[worker->report.rack] += here;
    total += here;
  }
  if (total < step.tasks.size()) {
    return workers.empty() ? WaitReason::kNoAdvice : WaitReason::kNoRoom;
  }
  const auto rack_rank = [&](const LiveWorker* worker) {
    const auto& rack = worker->report.rack;
    const bool is_whole =
        !step.spec->is_single_rack || by_rack[rack] >= step.tasks.size();
    const bool is_near =
        step.spec->data_rack.IsEmpty() || step.spec->data_rack == rack;
    const bool is_slow = worker->pace.kind != PaceClass::kUsual;
    return std::tuple(!is_whole, !is_near, is_slow);
  };
  std::sort(workers.begin(), workers.end(), [&](LiveWorker* a, LiveWorker* b) {
    const auto rack_a =
        step.spec->is_single_rack ? a->report.rack.Text() : std::string();
    const auto rack_b =
        step.spec->is_single_rack ? b->report.rack.Text() : std::string();
    return std::tuple(rack_rank(a), rack_a, a->Room().cores_milli,
                      a->report.id) < std::tuple(rack_rank(b), rack_b,
                                                 b->Room().cores_milli,
                                                 b->report.id);
  });
  int run = 0;
  for (const auto& member : step.tasks) {
    run = std::max(run, member.kept.run);
  }
  auto worker = workers.begin();
  for (auto& member : step.tasks) {
    while (slots[*worker] == 0) {
      ++worker;
    }
    slots[*worker]--;
    member.kept.run = run;  // All members of a gang run carry one number.
    this->Assign(member, **worker, now);
  }
  return WaitReason::kNone;
}

auto Scheduler::Core::PlaceStep(const RankedStep& ranked, TimePoint now)
    -> WaitReason {
  if (now < ranked.step->not_before) {
    return WaitReason::kPause;
  }
  const auto workers = this->Candidates(ranked, now);
  return ranked.step->spec->is_gang ? this->PlaceGang(ranked, workers, now)
                                    : this->PlaceSingles(ranked, workers, now);
}

auto Scheduler::Core::NoteWaiting(LiveStep& step,
                                  WaitReason reason,
                                  TimePoint now) -> void {
  const auto age = now - step.job->accepted_at;
  if (age < kNoteWaitingAfter ||
      now - step.waits_noted_at < kNoteWaitingEvery) {
    return;
  }
  step.waits_noted_at = now;
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
       {"asked", std::to_string(step.advice.asked.size())},
       {"tickets", std::to_string(step.advice.tickets.size())}});
}

auto Scheduler::Core::RoomLeft(const LiveWorker& worker) const -> Resources {
  const auto held = this->held.find(&worker);
  return held == this->held.end() ? worker.Room()
                                  : worker.Room() - held->second;
}

auto Scheduler::Core::KnownWorkers(const RankedStep& ranked, TimePoint now)
    -> std::vector<KnownWorker> {
  const auto& step = *ranked.step;
  std::vector<KnownWorker> known;
  for (auto& [id, worker] : this->workers) {
    const bool may_run =
        !ranked.queue->advice || step.advice.tickets.contains(id);
    if (may_run && this->SuitsStep(step, *ranked.queue, worker, now)) {
      known.push_back(
          {this->Slots(step, worker, this->RoomLeft(worker)), &worker});
    }
  }
  std::sort(known.begin(), known.end(),
            [](const KnownWorker& a, const KnownWorker& b) {
              return std::tuple(a.slots, a.worker->Room().cores_milli) >
                     std::tuple(b.slots, b.worker->Room().cores_milli);
            });
  return known;
}

auto Scheduler::Core::HoldRoom(const RankedStep& ranked, TimePoint now)
    -> bool {
  const auto& step = *ranked.step;
  const auto known = this->KnownWorkers(ranked, now);
  std::size_t total = 0;
  for (const auto& one : known) {
    total += one.slots;
  }
  const auto wanted = step.tasks.size();
  if (total >= wanted) {
    // There is room; only tickets are missing.
    auto left = wanted;
    for (const auto& one : known) {
      const auto taken = std::min(left, one.slots);
      this->held[one.worker] +=
          Times(step.spec->demand, static_cast<std::int64_t>(taken));
      left -= taken;
    }
    return true;
  }
  // Keep what gets free on as few workers as can hold the whole gang.
  std::size_t gathered = 0;
  for (const auto& one : known) {
    if (gathered >= wanted) {
      break;
    }
    gathered += this->Slots(step, *one.worker, one.worker->report.capacity);
    auto& held = this->held[one.worker];
    held = Max(held, one.worker->Room());
  }
  return false;
}

auto Scheduler::Core::IsPassDue(TimePoint now) const -> bool {
  // Tickets and pauses run out without an event, so a pass is due at times.
  const Duration pause =
      this->is_placing_due ? kPlacingPause : kIdlePlacingPause;
  const Duration for_backlog = kPauseForBacklog * this->last_backlog;
  return now - this->placed_at >= pause + for_backlog;
}

auto Scheduler::Core::Place(TimePoint now, Decisions& decisions) -> void {
  if (!this->IsPassDue(now)) {
    return;
  }
  this->placed_at = now;
  this->is_placing_due = false;
  this->held.clear();
  const auto ranked = this->Rank(now);
  this->last_backlog = static_cast<int>(ranked.size());
  std::size_t gangs_held = 0;
  std::size_t blocked = 0;
  for (const auto& one : ranked) {
    const auto reason = this->PlaceStep(one, now);
    if (reason == WaitReason::kNone) {
      continue;
    }
    this->NoteWaiting(*one.step, reason, now);
    if (reason != WaitReason::kNoRoom && reason != WaitReason::kNoAdvice) {
      continue;
    }
    this->AskAdvice(one, now, decisions);
    const bool may_hold = one.tier < kHopelessTier &&
                          gangs_held < kMaxReservations &&
                          one.step->spec->is_gang;
    if (may_hold && this->HoldRoom(one, now)) {
      continue;
    }
    gangs_held += may_hold ? 1 : 0;
    blocked++;
    if (blocked >= kMaxBlockedSteps) {
      break;
    }
  }
}

}  // namespace shallotbank::cell
