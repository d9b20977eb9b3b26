#pragma once

#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "cell/peer_directory.h"
#include "cell/standby_role.h"
#include "runtime.h"

namespace shallotbank::cell {

/// Decides whether this host reads the topics that a leader needs, as a
/// standby, or digests of them that standbys keep.
class StandbyPolicy {
 public:
  StandbyPolicy(Runtime& runtime, const PeerDirectory& peers);

  /// Called every few milliseconds. `peers_read_at` is when the announcements
  /// of hosts were last read.
  auto Tick(TimePoint peers_read_at, TimePoint now) -> void;
  /// Sets the endpoint of the leader, which has enough to do and is asked only
  /// if no other standby can be. Empty if it is unknown.
  auto SetLeader(std::string endpoint) -> void {
    this->leader = std::move(endpoint);
  }

  auto IsStandby() const -> bool { return this->role.IsStandby(); }
  /// Endpoint of the standby whose digests an observer reads; empty if none can
  /// be reached.
  auto DigestSource(TimePoint now) -> const std::string&;
  /// Handles a standby that answered but serves no digest, as one that has just
  /// started or that runs an earlier release.
  auto OnDigestRefused(const std::string& endpoint, TimePoint now) -> void;

 private:
  auto ChooseSource(TimePoint now) -> void;

  Runtime& runtime;
  const PeerDirectory& peers;
  StandbyRole role;
  std::string leader;
  std::string source;
  TimePoint next_update;
  std::map<std::string, TimePoint> refused_until;  ///< By endpoint.
};

}  // namespace shallotbank::cell
