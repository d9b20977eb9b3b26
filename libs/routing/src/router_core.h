#pragma once

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "minion_table.h"
#include "peer_rooms.h"
#include "request_record.h"
#include "routing/action.h"
#include "service_state.h"

namespace shallotbank::routing {

/// The implementation of `MinionRouter`.
class RouterCore {
 public:
  RouterCore(const RouterPolicy& policy, Metrics* metrics)
      : policy(policy),
        metrics(metrics),
        table(this->policy),
        peers(this->policy) {}
  // Members hold references to `policy`.
  RouterCore(const RouterCore&) = delete;
  auto operator=(const RouterCore&) -> RouterCore& = delete;

  auto UpdateMinions(const std::vector<Minion>& minions, TimePoint now)
      -> Actions;
  auto SetGroup(const MinionGroup& group, TimePoint now) -> Actions;
  auto RemoveGroup(const ResourceId& group, TimePoint now) -> Actions;
  auto UpdatePeer(const PeerCapacity& capacity, TimePoint now) -> Actions;
  auto RemovePeer(const ProcessId& peer) -> void;
  auto Submit(const Request& request, TimePoint now) -> Actions;
  auto Complete(AttemptId attempt, const Outcome& outcome, TimePoint now)
      -> Actions;
  auto Abandon(const RequestId& request) -> bool;
  auto Expire(TimePoint now) -> Actions;
  auto FreeCapacity(TimePoint now) -> std::vector<ServiceCapacity>;
  auto QueueSize(const ServiceName& service) const -> std::size_t;
  auto InUse(const MinionId& minion) const -> int;
  auto InProgress() const -> std::size_t;

 private:
  auto Service(const RequestRecord& request) -> ServiceState& {
    return *this->services[request.service];
  }
  auto TakeActions() -> Actions { return std::exchange(this->actions, {}); }
  auto AddActions(Actions&& more) -> void;
  auto Count(const std::string& name, std::string_view reason) -> void;

  // Dispatch, forwarding and queueing of requests; in router_dispatch.cc.
  auto Route(RequestRecord& request, TimePoint now) -> void;
  auto DispatchTo(RequestRecord& request,
                  MinionIndex minion,
                  bool probe,
                  TimePoint now) -> void;
  auto TryOverflow(RequestRecord& request, bool may_queue, TimePoint now)
      -> bool;
  auto Enqueue(RequestRecord& request) -> void;
  /// True if admission control refuses a request that needs `time` from `now`
  /// on.
  auto WouldMissDeadline(const RequestRecord& request,
                         Duration time,
                         TimePoint now) -> bool;
  auto EstimateQueuedDuration(const RequestRecord& request, TimePoint now)
      -> Duration;
  auto DispatchQueued(ServiceIndex service, TimePoint now) -> void;
  auto OverflowQueued(ServiceIndex service, TimePoint now) -> void;
  auto RefuseUnservable(ServiceIndex service, TimePoint now) -> void;
  auto UnavailableReason(ServiceIndex service) const -> RefusalReason;

  // Completion of attempts; in router_completion.cc.
  auto EndAttempt(AttemptRecord& attempt, const Outcome& outcome, TimePoint now)
      -> void;
  auto HoldSlot(AttemptRecord& attempt) -> void;
  auto ReleaseSlot(AttemptId id) -> void;
  auto RecordHealth(AttemptRecord& attempt,
                    const Outcome& outcome,
                    TimePoint now) -> void;
  auto FinishOrRetry(RequestRecord& request,
                     AttemptId attempt,
                     const Outcome& outcome,
                     TimePoint now) -> void;
  auto TryRetry(RequestRecord& request, const Outcome& outcome, TimePoint now)
      -> bool;
  auto FindRetryObstacle(const RequestRecord& request,
                         const Outcome& outcome,
                         TimePoint now) -> std::optional<NoRetryReason>;
  auto ExpireRequest(RequestRecord& request, TimePoint now) -> void;

  // Completion of requests; in router_completion.cc.
  auto DeliverAnswer(RequestRecord& request, AttemptId attempt) -> void;
  auto Reject(const RequestId& request, RefusalReason reason, Verdict verdict)
      -> void;
  auto RejectAndErase(RequestRecord& request, RefusalReason reason) -> void;
  auto Erase(RequestRecord& request) -> void;

  auto AddServiceStates() -> void;
  auto ProcessServices(TimePoint now) -> Actions;

  RouterPolicy policy;
  Metrics* metrics;
  MinionTable table;
  PeerCapacityTable peers;
  std::vector<std::unique_ptr<ServiceState>> services;
  std::unordered_map<RequestId, RequestRecord> requests;
  std::unordered_map<AttemptId, AttemptRecord> attempts;
  std::set<std::tuple<TimePoint, std::uint64_t, RequestRecord*>> deadlines;
  std::set<std::pair<TimePoint, AttemptId>> held_slots;
  std::size_t abandoned = 0;
  std::uint64_t next_sequence = 1;
  AttemptId next_attempt = 1;
  Actions actions;
};

}  // namespace shallotbank::routing
