#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::cell {

/// A leader renews its claim this often; two store round trips fit well within.
inline constexpr std::chrono::milliseconds kRenewInterval{400};
/// Without a renewal for this time the others claim. Above three renewals, so
/// that one lost answer does not change the leader.
inline constexpr std::chrono::milliseconds kLeaderSilence{1500};
/// A host that can reach few others leaves them this much longer to claim.
inline constexpr std::chrono::milliseconds kHandicap{1500};
/// A leader keeps renewing the leases of workers for this time after its last
/// renewed claim, so that running work outlives an outage of the store.
inline constexpr std::chrono::seconds kLeaseAuthority{8};

/// One record of the leadership topic.
struct LeaderRecord {
  enum class Kind { kClaim, kRenewal, kRelease };
  Kind kind = Kind::kClaim;
  std::string host;
  std::string process;  ///< Differs between two starts on one host.
  Epoch epoch = 0;  ///< Of a renewal or release: the claim that it belongs to.
};

auto EncodeLeaderRecord(const LeaderRecord& record) -> std::string;
auto DecodeLeaderRecord(const std::string& bytes)
    -> std::optional<LeaderRecord>;

/// A conditional append: it succeeds only if the topic ends at `at`.
struct LeaderAppend {
  Offset at = 0;
  LeaderRecord record;
};

/// Elects one host through conditional appends to one topic. The epoch of a
/// claim is the offset behind it, so epochs rise and are never 0. Not safe for
/// use by several threads.
class Election {
 public:
  Election(std::string host, std::string process, Duration claim_delay);

  /// A record of the topic, in the order of offsets.
  auto OnRecord(Offset offset, const LeaderRecord& record, TimePoint now)
      -> void;
  /// A read of the topic that reached its end.
  auto OnReadToEnd(Offset end, TimePoint now) -> void;
  /// The conditional append of `record`, sent at `sent`, took effect at
  /// `offset`.
  auto OnAppended(Offset offset, const LeaderRecord& record, TimePoint sent)
      -> void;
  /// The append was refused or got no answer; `end` if the topic is known to
  /// end elsewhere.
  auto OnAppendFailed(TimePoint now) -> void;
  /// A worker has seen a higher epoch than ours.
  auto OnFenced() -> void;

  /// The append that is due, if any; at most one is open at a time.
  auto Next(TimePoint now) -> std::optional<LeaderAppend>;
  /// Ends our claim at once and claims no more. `Next` then gives the record
  /// that tells the others, until it is stored. Returns whether we led.
  auto Retire(TimePoint now) -> bool;

  /// Ends our claim in favour of the others, who are better placed.
  auto Yield(TimePoint now) -> void;
  /// How long this host leaves others to claim first: the better placed a host
  /// is, the shorter.
  auto SetClaimDelay(Duration delay) -> void { this->claim_delay = delay; }
  /// A handicapped host claims only if no other does for a while.
  auto SetHandicap(bool is_handicapped) -> void {
    this->is_handicapped = is_handicapped;
  }

  /// Whether the leader's process is known to have ended.
  auto SetLeaderGone(bool is_gone) -> void { this->is_leader_gone = is_gone; }

  auto IsLeader() const -> bool { return this->own_epoch != 0; }
  auto OwnEpoch() const -> Epoch { return this->own_epoch; }
  auto LeaderHost() const -> const std::string& { return this->leader; }
  auto LeaderProcess() const -> const std::string& {
    return this->leader_process;
  }
  /// When the leader last renewed its claim, as far as this host has read.
  auto LastSign() const -> TimePoint { return this->last_sign; }
  /// Whether leases of workers may still be renewed.
  auto HasLeaseAuthority(TimePoint now) const -> bool;
  /// Until when the leader before this host's claim may still renew leases.
  /// `process_of` tells which process a host last announced, or nothing.
  auto FormerAuthorityEnd(
      const std::function<std::string(const std::string&)>& process_of,
      TimePoint now) const -> TimePoint;

 private:
  auto Follow(const LeaderRecord& record, Epoch epoch) -> void;

  const std::string host;
  const std::string process;
  Duration claim_delay;
  Offset end = 0;
  bool is_caught_up = false;
  bool is_open = false;
  bool is_retired = false;
  bool is_handicapped = false;
  bool is_leader_gone = false;
  TimePoint yielded_at;
  Epoch releasing = 0;  ///< Our former claim, while the others do not know.
  Epoch own_epoch = 0;
  std::string leader;
  std::string leader_process;
  Epoch leader_epoch = 0;
  std::string former;  ///< Host of the latest claim that is not our own.
  std::string former_process;
  bool is_former_released = true;
  TimePoint former_sign;
  TimePoint last_sign;   ///< Of the leader, as seen in a fresh read.
  TimePoint renewed_at;  ///< When our last effective append was sent.
  TimePoint next_append;
  TimePoint last_read;
};

}  // namespace shallotbank::cell
