#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "daemon/log_view.h"
#include "daemon/peer_hub.h"
#include "ownership/claim_planner.h"

namespace shallotbank::daemon {

/// Claims resources that have no owner or whose owner is suspected. Releases
/// owned resources to rebalance them and on a graceful shutdown. Runs on the
/// core loop.
class ResourceClaimer {
 public:
  struct Events {
    /// This process now owns the resource. `is_takeover`: the previous owner
    /// did not release it.
    std::function<void(const ResourceId&, Epoch, bool is_takeover)> gained;
    /// This process no longer owns the resource.
    std::function<void(const ResourceId&)> lost;
    /// The resource is about to be released: no new work with it may start.
    std::function<void(const ResourceId&)> drain;
    /// Whether no work with the resource is in progress.
    std::function<bool(const ResourceId&)> is_idle;
  };

  ResourceClaimer(ProcessId process,
                  rpc::Role role,
                  ownership::ClaimPlanner::Balance balance,
                  LogView& log,
                  PeerHub& peers,
                  Events events);

  /// Sets the resources of which each is to be owned by some process of this
  /// role.
  auto SetResources(const std::vector<ResourceId>& claimable) -> void;
  /// Follows ownership changes in the log, and claims and releases resources.
  auto Tick(TimePoint now) -> void;
  /// Releases each owned resource once it is idle, and claims no more.
  auto ReleaseAll() -> void;
  auto Owned() const -> std::vector<rpc::OwnedResource>;
  /// The number of claims and releases whose outcome is not known yet.
  auto InFlightAppends() const -> int { return this->in_flight_appends; }

 private:
  struct Resource {
    Epoch owned_epoch = 0;  ///< 0 unless this process owns it.
    Epoch superseded_epoch = 0;
    bool is_draining = false;
    bool is_release_sent = false;
  };

  auto Update(const ResourceId& id, Resource& resource) -> void;
  auto CandidateOwners() const -> std::vector<ownership::Process>;
  auto Claim(const ResourceId& id, Epoch supersedes) -> void;
  auto Drain(const ResourceId& id) -> void;
  auto ReleaseIfIdle(const ResourceId& id, Resource& resource) -> void;

  ProcessId process;
  rpc::Role role;
  LogView& log;
  PeerHub& peers;
  Events events;
  ownership::ClaimPlanner planner;
  std::vector<ResourceId> claimable;
  std::map<ResourceId, Resource> resources;
  TimePoint started_at;
  bool is_releasing_all = false;
  int in_flight_appends = 0;
};

}  // namespace shallotbank::daemon
