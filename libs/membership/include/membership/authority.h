#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/membership_policy.h"

namespace shallotbank::membership {

/// Id of a witness: a worker for a shard, an entry process for a minion group.
using WitnessId = StrongId<struct WitnessTag>;

/// Tracks until when a process may act as the owner of one resource at one
/// epoch. The log decides who owns the resource; a witness only confirms that
/// it has seen no higher epoch. Not thread-safe.
class Authority {
 public:
  /// `witnesses` lists every witness that a previous owner may know; for a
  /// minion group also the process itself, which confirms its own epoch.
  /// `has_previous_owner` is true if another process may still act at an
  /// earlier epoch, because the claim superseded one that had not been
  /// released.
  Authority(Epoch epoch,
            const std::vector<WitnessId>& witnesses,
            bool has_previous_owner);

  /// Changes the set of witnesses. Majorities of the old and the new set
  /// intersect only if one witness is added or removed at a time. A removed
  /// witness that was not reached still counts as unreached.
  auto AddWitness(const WitnessId& witness) -> void;
  auto RemoveWitness(const WitnessId& witness) -> void;

  /// Records that a log read sent at `sent` returned `in_force` as the epoch in
  /// force.
  auto ConfirmByLog(Epoch in_force, TimePoint sent) -> void;
  /// Records that the witness answered a message sent at `sent` with the
  /// highest epoch that it has seen; the answer arrived at `now`.
  auto ConfirmByWitness(const WitnessId& witness,
                        Epoch highest,
                        TimePoint sent,
                        TimePoint now) -> void;

  /// True once a higher epoch was seen, which ends this authority for good.
  auto IsSuperseded() const -> bool { return this->superseded; }
  /// True once a majority of witnesses has answered at this epoch.
  auto HasMajority() const -> bool { return this->majority_at.has_value(); }
  auto UnreachedCount() const -> std::size_t;

  /// The process may act before this time; `TimePoint::min()` if it may not act
  /// at all.
  auto ValidUntil() const -> TimePoint;
  /// True if the process may act as owner, except on work that the previous
  /// owner may have given to an unreached witness.
  auto MayAct(TimePoint now) const -> bool;
  /// True if it may also start work that an unreached witness may have been
  /// given. Tasks already running there are governed by their leases.
  auto MayStartContested(TimePoint now) const -> bool;
  /// The time from which `MayStartContested` holds if the authority is renewed
  /// until then; empty while no majority is reached.
  auto ContestedFrom() const -> std::optional<TimePoint>;

 private:
  auto Majority() const -> std::size_t;
  auto ReachedCount() const -> std::size_t;
  auto MajorityConfirmedAt() const -> std::optional<TimePoint>;

  Epoch epoch;
  bool has_previous_owner;
  bool superseded = false;
  std::optional<TimePoint> log_confirmed_at;
  /// Send time of the latest confirmation of each witness.
  std::unordered_map<WitnessId, std::optional<TimePoint>> witnesses;
  std::unordered_set<WitnessId> removed_unreached;
  std::optional<TimePoint> majority_at;
};

}  // namespace shallotbank::membership
