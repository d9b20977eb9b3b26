#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::routing {

enum class MinionState { kLive, kLeaving };

/// A backend server (minion) as described by the host list.
struct Minion {
  MinionId id{};
  ServiceName service{};
  FailureDomain domain{};
  ResourceId group{};
  int slots = 0;        ///< Requests that it processes concurrently.
  int connections = 0;  ///< Connections that it accepts; each request uses one.
  MinionState state = MinionState::kLive;
};

/// The authority of this process over a minion group that it owns.
struct MinionGroup {
  ResourceId id{};
  /// No request is dispatched to the group from this time on.
  TimePoint authority_until{};
  /// Until `reserved_until`, this many slots and connections of each minion are
  /// left free, because requests of the previous owner may still occupy them.
  int reserved_slots = 0;
  int reserved_connections = 0;
  TimePoint reserved_until{};
};

}  // namespace shallotbank::routing
