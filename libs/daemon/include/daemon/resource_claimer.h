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

/// Claims resources that nobody owns or whose owner is suspected, and releases
/// them on a planned stop. Runs on the core loop.
class ResourceClaimer {
 public:
  struct Events {
    /// `is_takeover`: the previous owner did not release the resource.
    std::function<void(const ResourceId&, Epoch, bool is_takeover)> gained;
    std::function<void(const ResourceId&)> lost;
    /// The resource is to be released: no new use of it from now on.
    std::function<void(const ResourceId&)> drain;
    /// Nothing that was begun with the resource is in progress.
    std::function<bool(const ResourceId&)> is_idle;
  };

  ResourceClaimer(ProcessId process,
                  rpc::Role role,
                  ownership::ClaimPlanner::Balance balance,
                  LogView& log,
                  PeerHub& peers,
                  Events events);

  /// The resources to be owned by some process of this role.
  auto SetResources(const std::vector<ResourceId>& wanted) -> void;
  auto Tick(TimePoint now) -> void;
  /// Releases everything owned as it becomes idle, and claims nothing more.
  auto ReleaseAll() -> void;
  auto Owned() const -> std::vector<rpc::OwnedResource>;
  /// Claims and releases whose outcome is not known yet.
  auto OpenAppends() const -> int { return this->open_appends; }

 private:
  struct Resource {
    Epoch own_epoch = 0;  ///< 0 unless this process owns it.
    Epoch superseded = 0;
    bool is_draining = false;
    bool is_release_sent = false;
  };

  auto Update(const ResourceId& id, Resource& resource) -> void;
  auto Processes() const -> std::vector<ownership::Process>;
  auto Claim(const ResourceId& id, Epoch supersedes) -> void;
  auto Drain(const ResourceId& id) -> void;
  auto ReleaseIfIdle(const ResourceId& id, Resource& resource) -> void;

  ProcessId process;
  rpc::Role role;
  LogView& log;
  PeerHub& peers;
  Events events;
  ownership::ClaimPlanner planner;
  std::vector<ResourceId> wanted;
  std::map<ResourceId, Resource> resources;
  TimePoint started_at;
  bool releasing = false;
  int open_appends = 0;
};

}  // namespace shallotbank::daemon
