#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "placement/decision.h"
#include "placement/task.h"
#include "placement/why_not.h"
#include "placement/worker_index.h"

namespace shallotbank::placement {

/// How long a gang waits before it may reserve workers.
inline constexpr std::chrono::seconds kStarvedAfter{30};
/// How long a reservation lasts. The gang whose reservation expired may
/// reserve again after `kStarvedAfter`, and after twice the time with each
/// further expiry, up to 10 minutes, so that other gangs get a turn.
inline constexpr std::chrono::seconds kReservationLifetime{60};

/// Tasks to stop on one worker so that an urgent task fits there.
struct StopAdvice {
  WorkerId worker;
  std::vector<TaskId> tasks;
};

struct Reservation {
  JobId job;
  TimePoint expires;
  std::vector<WorkerId> workers;
};

/// Decides on which worker a task goes, and commits the decision to the index
/// in the same step. A refusal changes nothing but the reservation.
///
/// Among the workers with room, a packed task goes to the one with the least
/// room left: fewest free accelerators, then the smallest sum of free cores
/// and memory, where a core counts as 4,000 MiB; then the one added first. A
/// task of a service goes to the failure domain with the fewest tasks of its
/// job, then the rack, then the worker; then as a packed task.
class Placer {
 public:
  /// `index` must outlive the placer.
  explicit Placer(WorkerIndex& index);

  /// Places one task: spread if it belongs to a service, else packed.
  auto Place(const TaskRequest& request, TimePoint now) -> Decision<WorkerId>;

  /// Places one task on a quarantined worker, to see whether it works again.
  auto PlaceProbe(const WorkerId& worker,
                  const TaskRequest& request,
                  TimePoint now) -> Decision<WorkerId>;

  /// Places all tasks of the gang or none. A gang that has waited for
  /// `kStarvedAfter` and finds no room gets the reservation, if it is free:
  /// workers on which it will fit once batch work there has ended; others get
  /// nothing there until the gang is placed or the reservation expires.
  auto PlaceGang(const GangRequest& gang, TimePoint now)
      -> Decision<std::vector<Placement>>;

  /// Why the task cannot be placed now; empty if it can. Changes nothing but
  /// an expired reservation.
  auto WhyNotNow(const TaskRequest& request, TimePoint now)
      -> std::optional<WhyNot>;
  /// Why the gang could not be placed even if all workers that are not
  /// leaving were live and empty; empty if nothing speaks against it.
  auto WhyNever(const GangRequest& gang) const -> std::optional<WhyNot>;

  /// Which tasks to stop on one worker so that the urgent task fits: the
  /// fewest, then the least work lost (cores times run time). Exact for one or
  /// two tasks among the workers looked at; looks closely at no more than 64
  /// workers, those that lack least. Nothing is stopped or held.
  auto AdviseStops(const TaskRequest& request, TimePoint now)
      -> Decision<StopAdvice>;

  /// The reservation in force, if any.
  auto CurrentReservation(TimePoint now) -> std::optional<Reservation>;
  /// Gives up the reservation of the job, for example when it is cancelled.
  auto CancelReservation(const JobId& job) -> void;

 private:
  IndexState* state;
};

}  // namespace shallotbank::placement
