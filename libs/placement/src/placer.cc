#include "placement/placer.h"

#include <string_view>

#include <boost/unordered/unordered_flat_set.hpp>

#include "gang_plan.h"
#include "index_state.h"
#include "need.h"
#include "search.h"

namespace shallotbank::placement {
namespace {

auto ExpireReservation(IndexState& state, TimePoint now) -> void {
  if (state.Reservation() && state.Reservation()->expires <= now) {
    state.reservation_backoff.RecordExpiry(state.Reservation()->job,
                                           state.Reservation()->expires);
    state.EndReservation();
  }
}

auto ValidateRequest(const IndexState& state, const TaskRequest& request)
    -> std::optional<PlacementRefusal> {
  if (!IsValidAmount(request.need) || request.task.IsEmpty()) {
    return PlacementRefusal::kInvalidNeed;
  }
  if (state.FindTask(request.task) != nullptr) {
    return PlacementRefusal::kAlreadyPlaced;
  }
  return std::nullopt;
}

auto ValidateRequest(const IndexState& state, const GangRequest& gang)
    -> std::optional<PlacementRefusal> {
  boost::unordered_flat_set<std::string_view> named(gang.tasks.size());
  for (const auto& task : gang.tasks) {
    if (!IsValidAmount(task.need) || task.task.IsEmpty()) {
      return PlacementRefusal::kInvalidNeed;
    }
    if (state.FindTask(task.task) != nullptr ||
        !named.insert(task.task.Text()).second) {
      return PlacementRefusal::kAlreadyPlaced;
    }
  }
  if (gang.tasks.empty()) {
    return PlacementRefusal::kInvalidNeed;
  }
  return std::nullopt;
}

auto FindWorkerFor(const IndexState& state, const TaskRequest& request)
    -> Decision<Slot> {
  const auto excluded = FindSlots(state, request.excluded);
  auto slot = request.task_class == TaskClass::kService
                  ? FindSpread(state, request.need, request.job, excluded)
                  : FindPacked(state, request.need, excluded);
  if (slot == kNoSlot && request.is_urgent) {
    slot = FindReserved(state, request.need, excluded);
  }
  if (slot == kNoSlot) {
    return ExplainRefusal(state, request.need, excluded);
  }
  return slot;
}

auto Commit(IndexState& state,
            Slot slot,
            const TaskRequest& request,
            TimePoint now) -> WorkerId {
  state.AddTask(slot, {.task = request.task,
                       .job = request.job,
                       .declared = request.need,
                       .task_class = request.task_class,
                       .is_preemptible = request.is_preemptible,
                       .started = now});
  return state.At(slot).id;
}

/// Reserves workers for the gang if it is starving, no reservation is active
/// and its backoff has elapsed.
auto TryReserve(IndexState& state,
                const GangRequest& gang,
                std::span<const NeedGroup> groups,
                TimePoint now) -> void {
  const bool is_starved = now >= gang.waiting_since + kStarvationThreshold;
  if (state.Reservation() || !is_starved ||
      !state.reservation_backoff.MayReserve(gang.job, now)) {
    return;
  }
  auto chosen = SelectReservation(state, groups);
  if (chosen.empty()) {
    state.reservation_backoff.RecordFailedSearch(gang.job, now);
    return;
  }
  state.StartReservation({.job = gang.job,
                          .expires = now + kReservationLifetime,
                          .workers = std::move(chosen)});
}

auto ExplainGangRefusal(const IndexState& state,
                        std::span<const NeedGroup> groups,
                        bool is_holder) -> PlacementRefusal {
  if (const auto never = ExplainInfeasible(state, groups)) {
    return *never;
  }
  for (const auto& group : groups) {
    const auto reason = ExplainRefusal(state, group.need, {});
    const bool is_own_reservation =
        is_holder && reason == PlacementRefusal::kHeldForReservation;
    if (reason != PlacementRefusal::kNoRoomNow && !is_own_reservation) {
      return reason;
    }
  }
  return PlacementRefusal::kNoRoomNow;
}

}  // namespace

Placer::Placer(WorkerIndex& index) : state(index.state.get()) {}

auto Placer::Place(const TaskRequest& request, TimePoint now)
    -> Decision<WorkerId> {
  ExpireReservation(*this->state, now);
  if (const auto invalid = ValidateRequest(*this->state, request)) {
    return *invalid;
  }
  const auto slot = FindWorkerFor(*this->state, request);
  if (!slot) {
    return slot.Reason();
  }
  return Commit(*this->state, slot.Value(), request, now);
}

auto Placer::PlaceProbe(const WorkerId& worker,
                        const TaskRequest& request,
                        TimePoint now) -> Decision<WorkerId> {
  if (const auto invalid = ValidateRequest(*this->state, request)) {
    return *invalid;
  }
  const auto slot = this->state->FindWorker(worker);
  if (slot == kNoSlot) {
    return PlacementRefusal::kUnknownWorker;
  }
  const auto& record = this->state->At(slot);
  if (record.State() != WorkerState::kQuarantined) {
    return PlacementRefusal::kNotProbeable;
  }
  if (!request.need.FitsIn(record.FreeCapacity()) ||
      !record.FreeCapacity().IsNonNegative()) {
    return PlacementRefusal::kNoRoomNow;
  }
  return Commit(*this->state, slot, request, now);
}

auto Placer::PlaceGang(const GangRequest& gang, TimePoint now)
    -> Decision<std::vector<Placement>> {
  auto& state = *this->state;
  ExpireReservation(state, now);
  if (const auto invalid = ValidateRequest(state, gang)) {
    return *invalid;
  }
  const auto groups = GroupByNeed(gang.tasks);
  const bool is_holder =
      state.Reservation() && state.Reservation()->job == gang.job;
  if (is_holder) {
    state.SetReserved(state.Reservation()->workers, false);
  }
  const auto slots = AllocateGang(state, groups);
  if (!slots) {
    const auto reason = ExplainGangRefusal(state, groups, is_holder);
    if (is_holder) {
      state.SetReserved(state.Reservation()->workers, true);
    } else if (!IsPermanent(reason)) {
      TryReserve(state, gang, groups, now);
    }
    return reason;
  }
  if (is_holder) {
    state.EndReservation();
  }
  state.reservation_backoff.Forget(gang.job);
  std::vector<Placement> placements;
  placements.reserve(gang.tasks.size());
  for (std::size_t i = 0; i < gang.tasks.size(); ++i) {
    const auto slot = (*slots)[i];
    const auto& task = gang.tasks[i];
    state.AddAllocatedTask(slot, {.task = task.task,
                                  .job = gang.job,
                                  .declared = task.need,
                                  .task_class = TaskClass::kGang,
                                  .is_preemptible = false,
                                  .started = now});
    placements.push_back({task.task, state.At(slot).id});
  }
  return placements;
}

auto Placer::CheckPlacement(const TaskRequest& request, TimePoint now)
    -> std::optional<PlacementRefusal> {
  ExpireReservation(*this->state, now);
  if (const auto invalid = ValidateRequest(*this->state, request)) {
    return invalid;
  }
  const auto slot = FindWorkerFor(*this->state, request);
  if (!slot) {
    return slot.Reason();
  }
  return std::nullopt;
}

auto Placer::CheckFeasibility(const GangRequest& gang) const
    -> std::optional<PlacementRefusal> {
  if (const auto invalid = ValidateRequest(*this->state, gang)) {
    return invalid;
  }
  return ExplainInfeasible(*this->state, GroupByNeed(gang.tasks));
}

auto Placer::CurrentReservation(TimePoint now) -> std::optional<Reservation> {
  ExpireReservation(*this->state, now);
  if (!this->state->Reservation()) {
    return std::nullopt;
  }
  const auto& active = *this->state->Reservation();
  Reservation reservation{active.job, active.expires, {}};
  for (const auto slot : active.workers) {
    reservation.workers.push_back(this->state->At(slot).id);
  }
  return reservation;
}

auto Placer::CancelReservation(const JobId& job) -> void {
  this->state->reservation_backoff.Forget(job);
  if (this->state->Reservation() && this->state->Reservation()->job == job) {
    this->state->EndReservation();
  }
}

}  // namespace shallotbank::placement
