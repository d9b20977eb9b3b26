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

/// Waiting time after which a gang counts as starving and may reserve workers.
inline constexpr std::chrono::seconds kStarvationThreshold{30};
/// Lifetime of a reservation. A gang whose reservation has expired may reserve
/// again after `kStarvationThreshold`; the delay doubles with each further
/// expiry, up to 10 minutes, so that other gangs get a turn.
inline constexpr std::chrono::seconds kReservationLifetime{60};

/// Tasks to preempt on one worker so that an urgent task fits there.
struct PreemptionPlan {
  WorkerId worker;
  std::vector<TaskId> tasks;
};

struct Reservation {
  JobId job;
  TimePoint expires;
  std::vector<WorkerId> workers;
};

/// Selects the worker for a task and commits the decision to the index in the
/// same step. A refusal changes nothing but the reservation.
///
/// Packing is best fit: among the workers with enough free capacity, the one
/// with the least is chosen, that is, the fewest free accelerators, then the
/// smallest sum of free cores and memory, where a core counts as 4,000 MiB;
/// ties go to the worker that was added first. A task of a service goes to the
/// failure domain with the fewest tasks of its job, then to such a rack, then
/// to such a worker; ties are broken by best fit.
class Placer {
 public:
  /// `index` must outlive the placer.
  explicit Placer(WorkerIndex& index);

  /// Places one task: spread if it belongs to a service, otherwise packed.
  auto Place(const TaskRequest& request, TimePoint now) -> Decision<WorkerId>;

  /// Places one task on a quarantined worker to test whether the worker has
  /// recovered.
  auto PlaceProbe(const WorkerId& worker,
                  const TaskRequest& request,
                  TimePoint now) -> Decision<WorkerId>;

  /// Places all tasks of the gang or none of them. If no reservation is active,
  /// a gang that does not fit and has waited for `kStarvationThreshold`
  /// reserves workers on which it will fit once the batch work there has ended.
  /// Other work gets no capacity there until the gang is placed or the
  /// reservation expires, except for urgent tasks.
  auto PlaceGang(const GangRequest& gang, TimePoint now)
      -> Decision<std::vector<Placement>>;

  /// Checks whether the task can be placed now. Returns the reason for a
  /// refusal, or nothing if the task fits. Changes nothing but an expired
  /// reservation.
  auto CheckPlacement(const TaskRequest& request, TimePoint now)
      -> std::optional<PlacementRefusal>;
  /// Checks whether the gang could be placed if all workers that are not
  /// leaving were live and empty. Returns the reason if it certainly could not;
  /// an empty result does not guarantee that it could.
  auto CheckFeasibility(const GangRequest& gang) const
      -> std::optional<PlacementRefusal>;

  /// Selects the tasks to preempt on one worker so that the urgent task fits:
  /// the fewest tasks, then the least lost work (cores times run time).
  /// Examines at most the 64 workers with the smallest shortfall. The result is
  /// optimal among these workers if one or two tasks suffice, otherwise it is
  /// found greedily. Nothing is stopped or reserved.
  auto PlanPreemption(const TaskRequest& request, TimePoint now)
      -> Decision<PreemptionPlan>;

  /// The active reservation, if any.
  auto CurrentReservation(TimePoint now) -> std::optional<Reservation>;
  /// Cancels the reservation of the job, for example when the job is cancelled.
  auto CancelReservation(const JobId& job) -> void;

 private:
  IndexState* state;
};

}  // namespace shallotbank::placement
