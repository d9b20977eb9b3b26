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

/// Moving averages of the outcomes at a minion, and its ejection state.
struct MinionHealth {
  double latency = 0;  ///< Seconds; 0 before the first sample.
  /// Fraction of requests without a successful response.
  double failure_rate = 0;
  double truncation_rate = 0;
  int samples = 0;
  TimePoint last_sample{};

  bool ejected = false;
  /// Number of ejections and failed probes; each doubles the probe delay.
  int backoff_steps = 0;
  TimePoint restored_at{};
  TimePoint next_probe_at{};
  bool probe_running = false;
  int successful_probes = 0;
};

struct MinionRecord {
  Minion minion{};
  bool listed = false;
  int in_use = 0;
  MinionHealth health{};

  // What `MinionTable` has counted for this minion in its `DomainPool`.
  ServiceIndex service = 0;
  std::size_t domain = 0;
  bool authorised = false;
  bool usable = false;
  int capacity = 0;
  int counted_in_use = 0;
  // Position in `available` plus one; 0 if absent.
  std::size_t available_position = 0;
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
  std::vector<MinionIndex> live_minions{};  ///< Listed and not leaving.
  std::vector<MinionIndex> ejected{};
  int running = 0;  ///< Slots in use at all minions.
  /// Seconds; used as the latency of a minion without recent samples.
  double typical_latency = 0;

  auto UsableCount() const -> int;
  auto Capacity() const -> int;
  auto FreeSlots() const -> int;
  auto HasFreeSlot() const -> bool;
};

}  // namespace shallotbank::routing
