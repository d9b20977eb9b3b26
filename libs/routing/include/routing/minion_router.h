#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/metrics.h"
#include "routing/action.h"
#include "routing/minion.h"
#include "routing/peer_room.h"
#include "routing/request.h"
#include "routing/router_policy.h"

namespace shallotbank::routing {

class RouterCore;

/// Makes the routing decisions of one entry process: dispatches a request to a
/// minion, queues it, forwards it to a peer or refuses it. Not thread-safe.
/// `now` must not decrease from call to call.
class MinionRouter {
 public:
  /// `metrics` may be null; otherwise it must outlive the router.
  explicit MinionRouter(const RouterPolicy& policy, Metrics* metrics = nullptr);
  ~MinionRouter();
  MinionRouter(MinionRouter&&) noexcept;
  auto operator=(MinionRouter&&) noexcept -> MinionRouter&;

  /// Replaces the list of known minions. A minion that is absent or leaving
  /// receives no new requests; its running requests remain counted.
  auto UpdateMinions(const std::vector<Minion>& minions, TimePoint now)
      -> Actions;

  /// Adds a minion group, or updates its authority and its reserved slots.
  auto SetGroup(const MinionGroup& group, TimePoint now) -> Actions;
  auto RemoveGroup(const ResourceId& group, TimePoint now) -> Actions;

  /// Stores the latest free capacity of a peer. Queued requests may overflow to
  /// it at once.
  auto UpdatePeer(const PeerCapacity& capacity, TimePoint now) -> Actions;
  auto RemovePeer(const ProcessId& peer) -> void;

  /// Accepts a request. Returns one `Dispatch`, `Overflow`, `Queue` or `Refuse`
  /// for it, and a `Refuse` for a request that it displaced from the queue.
  auto Submit(const Request& request, TimePoint now) -> Actions;

  /// Reports the outcome of an attempt. A second report for an attempt whose
  /// outcome was unknown frees its slot; the response is dropped and counted in
  /// `routing_late_answers_total`.
  auto Complete(AttemptId attempt, const Outcome& outcome, TimePoint now)
      -> Actions;

  /// The caller no longer waits for the request: no `Answer` or `Refuse`
  /// follows. Returns false if the request is not in progress.
  auto Abandon(const RequestId& request) -> bool;

  /// Refuses requests past their deadline, frees the slots of attempts whose
  /// outcome is still unknown after the maximum deadline, ejects minions and
  /// dispatches queued requests. To be called about every 10 ms.
  auto Expire(TimePoint now) -> Actions;

  /// Free capacity that peers may use, by service.
  auto FreeCapacity(TimePoint now) -> std::vector<ServiceCapacity>;

  /// Requests queued for a minion of `service`.
  auto QueueSize(const ServiceName& service) const -> std::size_t;
  /// Slots in use at `minion`, including those of attempts with an unknown
  /// outcome.
  auto InUse(const MinionId& minion) const -> int;
  /// Requests that have not been answered or refused, without abandoned ones.
  auto InProgress() const -> std::size_t;

 private:
  std::unique_ptr<RouterCore> core;
};

}  // namespace shallotbank::routing
