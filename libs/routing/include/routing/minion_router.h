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

/// Decides for one entry process which minion gets a request, which request
/// waits, and which is passed to a peer or refused. Not safe for use by several
/// threads. `now` must not run backwards.
class MinionRouter {
 public:
  /// `metrics` may be null; it must outlive the router.
  explicit MinionRouter(const RouterPolicy& policy, Metrics* metrics = nullptr);
  ~MinionRouter();
  MinionRouter(MinionRouter&&) noexcept;
  auto operator=(MinionRouter&&) noexcept -> MinionRouter&;

  /// Replaces the list of known minions. A minion that is absent or leaving
  /// gets nothing new; what it works on stays counted.
  auto UpdateMinions(const std::vector<Minion>& minions, TimePoint now)
      -> Actions;

  /// Adds a minion group, or renews its authority and reserve.
  auto SetGroup(const MinionGroup& group, TimePoint now) -> Actions;
  auto RemoveGroup(const ResourceId& group, TimePoint now) -> Actions;

  /// Takes the latest room of a peer. Waiting requests may overflow to it.
  auto UpdatePeer(const PeerRoom& room, TimePoint now) -> Actions;
  auto RemovePeer(const ProcessId& peer) -> void;

  /// Takes in a request: one `Dispatch`, `Overflow`, `Queue` or `Refuse` for
  /// it, and a `Refuse` for a request that it displaced from the queue.
  auto Submit(const Request& request, TimePoint now) -> Actions;

  /// Reports the end of an attempt. A second report for an attempt whose
  /// outcome was unknown frees its slot; the answer is dropped and counted in
  /// `routing_late_answers_total`.
  auto Complete(AttemptId attempt, const Outcome& outcome, TimePoint now)
      -> Actions;

  /// The caller is gone: no `Answer` or `Refuse` follows. False if the request
  /// is not in progress.
  auto Abandon(const RequestId& request) -> bool;

  /// Refuses what has passed its deadline, frees the slots of unknown outcomes
  /// past the longest deadline, ejects minions, dispatches what waits. Call it
  /// every 10 ms or so.
  auto Expire(TimePoint now) -> Actions;

  /// Room for requests of peers, by service.
  auto FreeRoom(TimePoint now) -> std::vector<ServiceRoom>;

  /// Requests that wait for a minion of `service`.
  auto QueueSize(const ServiceName& service) const -> std::size_t;
  /// Requests counted at `minion`, unknown outcomes included.
  auto InUse(const MinionId& minion) const -> int;
  /// Requests without an answer or refusal; abandoned ones are not included.
  auto InProgress() const -> std::size_t;

 private:
  std::unique_ptr<RouterCore> core;
};

}  // namespace shallotbank::routing
