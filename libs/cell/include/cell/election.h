#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::cell {

/// How often a leader renews its claim; two store round trips fit well within.
inline constexpr std::chrono::milliseconds kRenewInterval{400};
/// Other hosts claim after this time without a renewal. Longer than three
/// renewal intervals, so that one lost answer does not change the leader.
inline constexpr std::chrono::milliseconds kLeaderTimeout{1500};
/// Additional claim delay of a host that reaches few of the others.
inline constexpr std::chrono::milliseconds kHandicap{1500};
/// For how long after its last renewed claim a leader keeps renewing the leases
/// of workers, so that running tasks survive an outage of the store.
inline constexpr std::chrono::seconds kLeaseAuthority{8};

/// For how long after its last renewed claim a leader starts tasks. Another
/// host may lead after kLeaderTimeout, and a worker that has just started again
/// does not know its epoch yet; the rest covers renewals through a slow store.
inline constexpr std::chrono::milliseconds kStartAuthority{2500};

/// A record of the leadership topic.
struct LeaderRecord {
  enum class Kind { kClaim, kRenewal, kRelease };
  Kind kind = Kind::kClaim;
  std::string host;
  std::string process;  ///< Unique per start of the process on a host.
  Epoch epoch = 0;      ///< For a renewal or release: the epoch of its claim.
  /// For how long a leader before this one may still renew leases.
  std::chrono::milliseconds former_authority{};
};

auto EncodeLeaderRecord(const LeaderRecord& record) -> std::string;
auto DecodeLeaderRecord(const std::string& bytes)
    -> std::optional<LeaderRecord>;

/// A conditional append, which succeeds only if the topic ends at offset `at`.
struct LeaderAppend {
  Offset at = 0;
  LeaderRecord record;
};

/// Elects one host as leader through conditional appends to one topic. The
/// epoch of a claim is the offset after it, so epochs increase and are never 0.
/// Not thread-safe.
class Election {
 public:
  Election(std::string host, std::string process, Duration claim_delay);

  /// Handles a record of the topic; records arrive in the order of offsets.
  auto OnRecord(Offset offset, const LeaderRecord& record, TimePoint now)
      -> void;
  /// Handles a read that reached the end of the topic.
  auto OnReadToEnd(Offset end, TimePoint now) -> void;
  /// Handles the success at `offset` of the conditional append of `record`,
  /// which was sent at `sent`.
  auto OnAppended(Offset offset, const LeaderRecord& record, TimePoint sent)
      -> void;
  /// Handles an append that was refused or got no answer. The topic's actual
  /// end is learned from the next read.
  auto OnAppendFailed(TimePoint now) -> void;
  /// Handles a worker's report of an epoch higher than this host's.
  auto OnFenced() -> void;

  /// Returns the append that is due, if any. At most one is in flight at a
  /// time.
  auto NextAppend(TimePoint now) -> std::optional<LeaderAppend>;
  /// Gives up this host's claim at once and makes no further one. Until the
  /// release is stored, the next due append is the one that announces it.
  /// Returns whether this host was the leader.
  auto Retire(TimePoint now) -> bool;

  /// Releases this host's claim in favour of hosts with better connectivity.
  /// Unlike after `Retire`, this host claims again if no other host does.
  auto Yield(TimePoint now) -> void;
  /// Sets how long this host waits for other hosts to claim first. Hosts with a
  /// shorter path to the store use a shorter delay.
  auto SetClaimDelay(Duration delay) -> void { this->claim_delay = delay; }
  /// A handicapped host claims only if no other host does for a while. Unlike
  /// `Yield`, this does not release a claim that the host already has.
  auto SetHandicap(bool is_handicapped) -> void {
    this->is_handicapped = is_handicapped;
  }

  /// Sets whether the leader's process is known to have ended.
  auto SetLeaderGone(bool is_gone) -> void { this->is_leader_gone = is_gone; }

  auto IsLeader() const -> bool { return this->own_epoch != 0; }
  auto OwnEpoch() const -> Epoch { return this->own_epoch; }
  auto LeaderHost() const -> const std::string& { return this->leader; }
  auto LeaderProcess() const -> const std::string& {
    return this->leader_process;
  }
  /// When the leader last renewed its claim, as far as this host has read.
  auto LastRenewalSeen() const -> TimePoint { return this->last_renewal_seen; }
  /// Returns whether this host may still renew the leases of workers.
  auto HasLeaseAuthority(TimePoint now) const -> bool;
  /// Returns whether this host may still start tasks.
  auto HasStartAuthority(TimePoint now) const -> bool;
  /// Returns until when a leader before this host's claim may still renew
  /// leases. `has_ended` tells whether a host's process is known to have ended.
  auto PreviousAuthorityEnd(
      const std::function<bool(const std::string& host,
                               const std::string& process)>& has_ended,
      TimePoint now) const -> TimePoint;

 private:
  auto FormerAuthority(TimePoint now) const -> std::chrono::milliseconds;
  auto ApplyRecord(const LeaderRecord& record, Epoch epoch) -> void;

  const std::string host;
  const std::string process;
  Duration claim_delay;
  Offset end = 0;
  bool is_caught_up = false;
  bool is_append_in_flight = false;
  bool is_retired = false;
  bool is_handicapped = false;
  bool is_leader_gone = false;
  TimePoint yielded_at;
  /// Epoch of the released claim until the release is stored.
  Epoch releasing_epoch = 0;
  Epoch own_epoch = 0;
  std::string leader;
  std::string leader_process;
  Epoch leader_epoch = 0;
  /// When the last record of each other process that may have authority was
  /// read, by host and process.
  std::map<std::pair<std::string, std::string>, TimePoint> former_leaders;
  /// Until when others may have authority that only the records of their
  /// successors tell of, since this process started to read after them.
  TimePoint unread_authority_end;
  TimePoint last_renewal_seen;  ///< Of the leader, as of a recent read.
  TimePoint renewed_at;         ///< When the last successful append was sent.
  TimePoint next_append;
  TimePoint last_read;
};

}  // namespace shallotbank::cell
