#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "routing/minion.h"

namespace shallotbank::routing {

/// Dense index of a minion in a `MinionTable`.
using MinionIndex = std::uint32_t;
/// Dense index of a service in a `MinionTable`.
using ServiceIndex = std::size_t;

/// Moving averages of how a minion does, and the state of its ejection.
struct MinionHealth {
  double latency = 0;  ///< Seconds; 0 before the first sample.
  double failure = 0;  ///< Fraction of requests without a good answer.
  double truncation = 0;
  int samples = 0;
  TimePoint last_sample{};

  bool ejected = false;
  int ejections = 0;  ///< In a row, and bad probes; sets the time of the next.
  TimePoint restored_at{};
  TimePoint probe_at{};
  bool probe_running = false;
  int probe_passes = 0;
};

struct MinionRecord {
  Minion minion{};
  bool present = false;
  int in_use = 0;
  MinionHealth health{};

  // What `MinionTable` counts for this minion in the pool of its domain.
  ServiceIndex service = 0;
  std::size_t domain = 0;
  bool authorised = false;
  bool usable = false;
  int capacity = 0;
  int counted_in_use = 0;
  std::size_t available_at = 0;  // Position plus one in `available`.
};

/// The usable minions of one service in one failure domain.
struct DomainPool {
  FailureDomain domain{};
  std::vector<MinionIndex> available{};  ///< Those with a free slot.
  int usable = 0;
  int capacity = 0;
  int in_use = 0;
};

struct ServicePool {
  ServiceName name{};
  std::vector<DomainPool> domains{};
  std::vector<MinionIndex> members{};  ///< Present, live minions.
  std::vector<MinionIndex> ejected{};
  int running = 0;  ///< Slots in use at all minions of the service.
  /// Seconds; stands in for the latency of a minion without recent samples.
  double typical_latency = 0;

  auto Usable() const -> int;
  auto Capacity() const -> int;
  auto FreeSlots() const -> int;
  auto HasAvailable() const -> bool;
};

}  // namespace shallotbank::routing
