#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::routing {

enum class MinionState { kLive, kLeaving };

/// A minion as the host list describes it.
struct Minion {
  MinionId id{};
  ServiceName service{};
  FailureDomain domain{};
  ResourceId group{};
  int slots = 0;        ///< Requests it works on at a time.
  int connections = 0;  ///< Connections it accepts; a request uses one.
  MinionState state = MinionState::kLive;
};

/// What a process that owns a minion group may do with it.
struct MinionGroup {
  ResourceId id{};
  /// Nothing is dispatched from this time on.
  TimePoint authority_until{};
  /// Until `reserved_until`, this many slots and connections of each minion
  /// stay free, because the previous owner may still use them.
  int reserved_slots = 0;
  int reserved_connections = 0;
  TimePoint reserved_until{};
};

}  // namespace shallotbank::routing
