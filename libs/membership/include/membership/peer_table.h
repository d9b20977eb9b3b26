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
  kAlive,      ///< Heard from within the suspicion timeout.
  kSuspected,  ///< Not heard from for longer; the suspicion may be wrong.
  kDeparted,   ///< Left, according to the host list or the process itself.
};

/// What is known about one peer.
struct Peer {
  PeerInfo info{};
  Offset head = 0;
  std::vector<ClaimedEpoch> epochs{};
  TimePoint last_heard{};  ///< When its latest heartbeat arrived here.
  TimePoint last_heard_by_others{};  ///< When another peer last heard from it.
  /// Lower bound of the send time of its last successful log read. Taken from
  /// answers only, because any other heartbeat may have been delayed for any
  /// time.
  std::optional<TimePoint> last_log_read{};
  bool has_sent_heartbeat = false;     ///< A heartbeat from it has arrived.
  bool is_reported_suspected = false;  ///< A peer that watches it suspects it.
  std::optional<TimePoint> recovered_at{};  ///< End of `is_reported_suspected`.
  bool departed = false;
  /// Oldest unanswered heartbeat on the current connection.
  std::optional<TimePoint> connection_unanswered_since{};
  /// The same, but ended only by a heartbeat or answer from the peer, not by a
  /// new connection.
  std::optional<TimePoint> unanswered_since{};
  std::optional<TimePoint> last_sent{};
};

/// Tracks the peers of one process: which are alive, how far they have read the
/// log, and which to watch. Not thread-safe.
class PeerTable {
 public:
  explicit PeerTable(ProcessId self, const MembershipPolicy& policy = {})
      : self(std::move(self)), policy(policy) {}

  /// Adds a process named by the settings or the host list. It counts as alive
  /// until the suspicion timeout has elapsed. A later incarnation replaces an
  /// earlier one.
  auto AddPeer(const PeerInfo& info, TimePoint now) -> void;

  /// Processes a heartbeat from a peer. Returns false, with no effect, if it
  /// comes from an old incarnation or a departed process.
  auto Receive(const Heartbeat& heartbeat, TimePoint now) -> bool;
  /// Processes the answer to the heartbeat that was sent at `sent`.
  auto ReceiveAnswer(const Heartbeat& heartbeat, TimePoint sent, TimePoint now)
      -> bool;

  /// Records that a heartbeat to `peer` is sent now.
  auto RecordHeartbeatSent(const ProcessId& peer, TimePoint now) -> void;
  /// Returns the watched peers whose next heartbeat is due.
  auto DueHeartbeats(TimePoint now) const -> std::vector<ProcessId>;
  /// Returns the peers whose connections need replacing, because a heartbeat
  /// was unanswered for the suspicion timeout. `ConnectionReplaced` restarts
  /// the timeout.
  auto UnresponsiveConnections(TimePoint now) const -> std::vector<ProcessId>;
  auto ConnectionReplaced(const ProcessId& peer) -> void;

  /// Marks a process that has announced its stop, or the processes of a host
  /// that the host list has removed, as departed.
  auto MarkDeparted(const ProcessId& peer) -> void;
  auto MarkHostDeparted(const std::string& host) -> void;

  /// Empty for an unknown process.
  auto State(const ProcessId& peer, TimePoint now) const
      -> std::optional<PeerState>;
  auto Find(const ProcessId& peer) const -> const Peer*;
  /// Returns the peers in the order of their ids, including departed ones.
  auto Peers() const -> std::vector<const Peer*>;
  auto Count(PeerState state, TimePoint now) const -> std::size_t;

  /// Returns the peers that this process sends heartbeats to: all if there are
  /// few, otherwise its live successors on the ring and any suspected peers
  /// between them.
  auto WatchedPeers(TimePoint now) const -> std::vector<ProcessId>;
  /// Returns the observations to include in a heartbeat: of watched peers, of
  /// suspected ones and of those that were suspected until recently.
  auto Observations(TimePoint now) const -> std::vector<PeerObservation>;

  /// Records that a log read of this process, sent at `sent`, succeeded up to
  /// `head`.
  auto LogRead(TimePoint sent, Offset head) -> void;
  /// Notes that the view of this process has reached `head` through records
  /// read from a peer.
  auto CaughtUp(Offset head) -> void;
  auto LogAge(TimePoint now) const -> Duration;
  auto Head() const -> Offset { return this->head; }
  /// Returns whether the local view of the log counts as fresh.
  auto ViewFreshness(TimePoint now) const -> Freshness;

 private:
  using ById = std::map<std::string, Peer>;

  auto FindMutable(const ProcessId& peer) -> Peer*;
  /// Returns the entry for `info`, added or replaced as needed; null if `info`
  /// is outdated.
  auto UpsertPeer(const PeerInfo& info, TimePoint now) -> Peer*;
  /// Marks earlier processes at the same address as departed. Returns false if
  /// there is a later one.
  auto ReplaceAtAddress(const PeerInfo& info) -> bool;
  auto ApplyHeartbeat(const Heartbeat& heartbeat,
                      TimePoint as_of,
                      TimePoint now) -> Peer*;
  auto ClearReportedSuspicion(Peer& peer, TimePoint now) -> void;
  auto ApplyObservation(const PeerObservation& observation,
                        TimePoint as_of,
                        TimePoint now) -> void;
  auto WasHeardRecently(const Peer& peer, TimePoint now) const -> bool;
  auto StateOf(const Peer& peer, TimePoint now) const -> PeerState;
  auto UsesRing() const -> bool;

  ProcessId self;
  MembershipPolicy policy;
  ById peers;
  std::optional<TimePoint> last_log_read;
  Offset head = 0;
};

}  // namespace shallotbank::membership
