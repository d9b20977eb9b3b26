#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/heartbeat.h"
#include "membership/membership_policy.h"
#include "membership/view_freshness.h"

namespace shallotbank::membership {

enum class PeerState {
  kAlive,      ///< Heard of within the silence limit.
  kSuspected,  ///< No word for longer; this may be wrong.
  kDeparted,   ///< The host list or the process itself says that it left.
};

/// What is known of one peer.
struct Peer {
  PeerInfo info{};
  Offset head = 0;
  std::vector<ClaimedEpoch> epochs{};
  TimePoint last_heard{};     ///< Its latest heartbeat that arrived here.
  TimePoint last_reported{};  ///< The latest hearing by another peer.
  /// Not before this did it send its last good log read. Only answers tell,
  /// because an unasked heartbeat may have been delayed for any time.
  std::optional<TimePoint> last_log_read{};
  bool heard = false;             ///< Any heartbeat of it arrived here.
  bool silence_reported = false;  ///< A peer that watches it hears nothing.
  std::optional<TimePoint> recovered_at{};  ///< End of `silence_reported`.
  bool departed = false;
  std::optional<TimePoint> waiting_since{};  ///< Oldest unanswered heartbeat.
  /// The same, but only word from the peer ends it, not a new connection.
  std::optional<TimePoint> unanswered_since{};
  std::optional<TimePoint> last_sent{};
};

/// The peers of one process: who is alive, how far they have read the log, and
/// whom to watch. Not safe for use by several threads.
class PeerTable {
 public:
  explicit PeerTable(ProcessId self, const MembershipPolicy& policy = {})
      : self(std::move(self)), policy(policy) {}

  /// Adds a process that the settings or the host list name. It counts as
  /// alive until the silence limit has passed. A later incarnation replaces an
  /// earlier one.
  auto Learn(const PeerInfo& info, TimePoint now) -> void;

  /// Takes in a heartbeat from a peer. False, without effect, if it comes from
  /// an old incarnation or a departed process.
  auto Receive(const Heartbeat& heartbeat, TimePoint now) -> bool;
  /// Takes in the answer to the heartbeat that was sent at `sent`.
  auto ReceiveAnswer(const Heartbeat& heartbeat, TimePoint sent, TimePoint now)
      -> bool;

  /// A heartbeat to `peer` leaves now.
  auto Sent(const ProcessId& peer, TimePoint now) -> void;
  /// Watched peers whose next heartbeat is due.
  auto DueHeartbeats(TimePoint now) const -> std::vector<ProcessId>;
  /// Peers that have left a heartbeat unanswered for the silence limit: their
  /// connections need replacing. `ConnectionReplaced` starts the time anew.
  auto SilentConnections(TimePoint now) const -> std::vector<ProcessId>;
  auto ConnectionReplaced(const ProcessId& peer) -> void;

  /// The process says that it stops, or the host list says that the host left.
  auto Leave(const ProcessId& peer) -> void;
  auto LeaveHost(const std::string& host) -> void;

  /// Empty for an unknown process.
  auto State(const ProcessId& peer, TimePoint now) const
      -> std::optional<PeerState>;
  auto Find(const ProcessId& peer) const -> const Peer*;
  /// Peers in the order of their ids, departed ones included.
  auto Peers() const -> std::vector<const Peer*>;
  auto Count(PeerState state, TimePoint now) const -> std::size_t;

  /// The peers that this process exchanges heartbeats with: all if there are
  /// few, else its live successors on the ring and the suspected ones between.
  auto Watched(TimePoint now) const -> std::vector<ProcessId>;
  /// The hearings that belong into a heartbeat: watched peers, suspected ones
  /// and those that were suspected until recently.
  auto Hearings(TimePoint now) const -> std::vector<Hearing>;

  /// A log read of this process, sent at `sent`, succeeded up to `head`.
  auto LogRead(TimePoint sent, Offset head) -> void;
  /// Records read from a peer brought the view of this process up to `head`.
  auto CaughtUp(Offset head) -> void;
  auto LogAge(TimePoint now) const -> Duration;
  auto Head() const -> Offset { return this->head; }
  /// Whether the local view of the log counts as fresh.
  auto ViewFreshness(TimePoint now) const -> Freshness;

 private:
  using ById = std::map<std::string, Peer>;

  auto FindMutable(const ProcessId& peer) -> Peer*;
  /// The entry for `info`, new or replaced if need be; null if `info` is old.
  auto Accept(const PeerInfo& info, TimePoint now) -> Peer*;
  /// Marks earlier processes at the same address as departed; false if there
  /// is a later one.
  auto ReplaceAtAddress(const PeerInfo& info) -> bool;
  auto Take(const Heartbeat& heartbeat, TimePoint asked, TimePoint now)
      -> Peer*;
  auto EndSilence(Peer& peer, TimePoint now) -> void;
  auto TakeHearing(const Hearing& hearing, TimePoint asked, TimePoint now)
      -> void;
  auto IsRecent(const Peer& peer, TimePoint now) const -> bool;
  auto StateOf(const Peer& peer, TimePoint now) const -> PeerState;
  auto IsRing() const -> bool;

  ProcessId self;
  MembershipPolicy policy;
  ById peers;
  std::optional<TimePoint> last_log_read;
  Offset head = 0;
};

}  // namespace shallotbank::membership
