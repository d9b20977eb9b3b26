#include "membership/peer_table.h"

#include <algorithm>

namespace shallotbank::membership {
namespace {

auto SharesAddress(const PeerInfo& left, const PeerInfo& right) -> bool {
  return std::any_of(left.addresses.begin(), left.addresses.end(),
                     [&](const std::string& address) {
                       return std::find(right.addresses.begin(),
                                        right.addresses.end(),
                                        address) != right.addresses.end();
                     });
}

}  // namespace

auto PeerTable::FindMutable(const ProcessId& peer) -> Peer* {
  const auto found = this->peers.find(peer.Text());
  return found == this->peers.end() ? nullptr : &found->second;
}

auto PeerTable::Find(const ProcessId& peer) const -> const Peer* {
  const auto found = this->peers.find(peer.Text());
  return found == this->peers.end() ? nullptr : &found->second;
}

auto PeerTable::Peers() const -> std::vector<const Peer*> {
  std::vector<const Peer*> list;
  for (const auto& [id, peer] : this->peers) {
    list.push_back(&peer);
  }
  return list;
}

auto PeerTable::ReplaceAtAddress(const PeerInfo& info) -> bool {
  for (const auto& [id, peer] : this->peers) {
    if (peer.info.id != info.id && SharesAddress(peer.info, info) &&
        peer.info.incarnation > info.incarnation) {
      return false;
    }
  }
  for (auto& [id, peer] : this->peers) {
    if (peer.info.id != info.id && SharesAddress(peer.info, info) &&
        peer.info.incarnation < info.incarnation) {
      peer.departed = true;
    }
  }
  return true;
}

auto PeerTable::UpsertPeer(const PeerInfo& info, TimePoint now) -> Peer* {
  if (info.id == this->self) {
    return nullptr;
  }
  auto* known = this->FindMutable(info.id);
  if (known != nullptr) {
    if (info.incarnation < known->info.incarnation ||
        (info.incarnation == known->info.incarnation && known->departed)) {
      return nullptr;
    }
    if (info.incarnation == known->info.incarnation) {
      known->info = info;
      return known;
    }
  }
  if (!this->ReplaceAtAddress(info)) {
    return nullptr;
  }
  auto& peer = this->peers[info.id.Text()];
  peer = Peer{.info = info, .last_heard = now};
  return &peer;
}

auto PeerTable::AddPeer(const PeerInfo& info, TimePoint now) -> void {
  this->UpsertPeer(info, now);
}

auto PeerTable::ApplyHeartbeat(const Heartbeat& heartbeat,
                               TimePoint as_of,
                               TimePoint now) -> Peer* {
  auto* peer = this->UpsertPeer(heartbeat.from, now);
  if (peer == nullptr) {
    return nullptr;
  }
  peer->has_sent_heartbeat = true;
  peer->last_heard = std::max(peer->last_heard, now);
  peer->unanswered_since.reset();
  this->ClearReportedSuspicion(*peer, now);
  // Of two reordered heartbeats, the one sent later has the higher head.
  if (heartbeat.head >= peer->head) {
    peer->head = heartbeat.head;
    peer->epochs = heartbeat.epochs;
  }
  for (const auto& observation : heartbeat.observations) {
    this->ApplyObservation(observation, as_of, now);
  }
  return peer;
}

auto PeerTable::Receive(const Heartbeat& heartbeat, TimePoint now) -> bool {
  return this->ApplyHeartbeat(heartbeat, now, now) != nullptr;
}

auto PeerTable::ReceiveAnswer(const Heartbeat& heartbeat,
                              TimePoint sent,
                              TimePoint now) -> bool {
  auto* peer = this->ApplyHeartbeat(heartbeat, sent, now);
  if (peer == nullptr) {
    return false;
  }
  // The peer created the answer at `sent` or later.
  if (heartbeat.log_age < this->policy.isolated_view_age) {
    const auto read = sent - heartbeat.log_age;
    peer->last_log_read = std::max(peer->last_log_read.value_or(read), read);
  }
  if (peer->connection_unanswered_since &&
      *peer->connection_unanswered_since <= sent) {
    const bool more = peer->last_sent && *peer->last_sent > sent;
    peer->connection_unanswered_since = more ? peer->last_sent : std::nullopt;
  }
  return true;
}

auto PeerTable::ClearReportedSuspicion(Peer& peer, TimePoint now) -> void {
  if (peer.is_reported_suspected) {
    peer.is_reported_suspected = false;
    peer.recovered_at = now;
  }
}

auto PeerTable::ApplyObservation(const PeerObservation& observation,
                                 TimePoint as_of,
                                 TimePoint now) -> void {
  auto* peer = this->FindMutable(observation.peer);
  if (peer == nullptr || peer->info.incarnation != observation.incarnation) {
    return;
  }
  const auto heard_at = as_of - observation.age;
  if (heard_at < std::max(peer->last_heard, peer->last_heard_by_others)) {
    return;
  }
  if (observation.suspected) {
    peer->is_reported_suspected = true;
    return;
  }
  peer->last_heard_by_others = heard_at;
  this->ClearReportedSuspicion(*peer, now);
}

auto PeerTable::RecordHeartbeatSent(const ProcessId& id, TimePoint now)
    -> void {
  auto* peer = this->FindMutable(id);
  if (peer == nullptr) {
    return;
  }
  peer->last_sent = now;
  peer->connection_unanswered_since =
      peer->connection_unanswered_since.value_or(now);
  peer->unanswered_since = peer->unanswered_since.value_or(now);
}

auto PeerTable::DueHeartbeats(TimePoint now) const -> std::vector<ProcessId> {
  auto due = this->WatchedPeers(now);
  std::erase_if(due, [&](const ProcessId& id) {
    const auto& last = this->Find(id)->last_sent;
    return last && now - *last < this->policy.heartbeat_interval;
  });
  return due;
}

auto PeerTable::UnresponsiveConnections(TimePoint now) const
    -> std::vector<ProcessId> {
  std::vector<ProcessId> unresponsive;
  for (const auto& [id, peer] : this->peers) {
    if (!peer.departed && peer.connection_unanswered_since &&
        now - *peer.connection_unanswered_since >=
            this->policy.suspicion_timeout) {
      unresponsive.push_back(peer.info.id);
    }
  }
  return unresponsive;
}

auto PeerTable::ConnectionReplaced(const ProcessId& id) -> void {
  if (auto* peer = this->FindMutable(id)) {
    peer->connection_unanswered_since.reset();
  }
}

auto PeerTable::MarkDeparted(const ProcessId& id) -> void {
  if (auto* peer = this->FindMutable(id)) {
    peer->departed = true;
  }
}

auto PeerTable::MarkHostDeparted(const std::string& host) -> void {
  for (auto& [id, peer] : this->peers) {
    if (peer.info.host == host) {
      peer.departed = true;
    }
  }
}

auto PeerTable::WasHeardRecently(const Peer& peer, TimePoint now) const
    -> bool {
  return now - std::max(peer.last_heard, peer.last_heard_by_others) <
         this->policy.suspicion_timeout;
}

auto PeerTable::StateOf(const Peer& peer, TimePoint now) const -> PeerState {
  if (peer.departed) {
    return PeerState::kDeparted;
  }
  if (this->WasHeardRecently(peer, now)) {
    return PeerState::kAlive;
  }
  // On a ring, most peers send nothing to this process. A missing heartbeat
  // matters only if this process or another one watches the peer.
  const bool unanswered =
      peer.unanswered_since &&
      now - *peer.unanswered_since >= this->policy.suspicion_timeout;
  return this->UsesRing() && !unanswered && !peer.is_reported_suspected
             ? PeerState::kAlive
             : PeerState::kSuspected;
}

auto PeerTable::State(const ProcessId& id, TimePoint now) const
    -> std::optional<PeerState> {
  const auto* peer = this->Find(id);
  return peer == nullptr ? std::nullopt
                         : std::optional(this->StateOf(*peer, now));
}

auto PeerTable::Count(PeerState state, TimePoint now) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        return this->StateOf(entry.second, now) == state;
      }));
}

auto PeerTable::UsesRing() const -> bool {
  const auto present =
      std::count_if(this->peers.begin(), this->peers.end(),
                    [](const auto& entry) { return !entry.second.departed; });
  return static_cast<std::size_t>(present) > this->policy.watch_all_limit;
}

auto PeerTable::WatchedPeers(TimePoint now) const -> std::vector<ProcessId> {
  const auto wanted =
      this->UsesRing() ? this->policy.ring_successors : this->peers.size();
  std::vector<ProcessId> watched;
  std::size_t alive = 0;
  auto next = this->peers.upper_bound(this->self.Text());
  for (std::size_t k = 0; k < this->peers.size() && alive < wanted; ++k) {
    if (next == this->peers.end()) {
      next = this->peers.begin();
    }
    const auto& peer = next->second;
    ++next;
    const auto state = this->StateOf(peer, now);
    if (state == PeerState::kDeparted) {
      continue;
    }
    watched.push_back(peer.info.id);
    alive += state == PeerState::kAlive ? 1 : 0;
  }
  return watched;
}

auto PeerTable::Observations(TimePoint now) const
    -> std::vector<PeerObservation> {
  const auto watched = this->WatchedPeers(now);
  std::vector<PeerObservation> observations;
  for (const auto& [id, peer] : this->peers) {
    const auto state = this->StateOf(peer, now);
    if (state == PeerState::kDeparted) {
      continue;
    }
    const bool suspected = state == PeerState::kSuspected;
    const bool recovered =
        peer.recovered_at &&
        now - *peer.recovered_at < this->policy.recovery_report_time;
    const bool direct =
        peer.has_sent_heartbeat &&
        now - peer.last_heard < this->policy.suspicion_timeout &&
        std::find(watched.begin(), watched.end(), peer.info.id) !=
            watched.end();
    if (suspected || recovered || direct) {
      const auto heard_at =
          std::max(peer.last_heard, peer.last_heard_by_others);
      observations.push_back(
          PeerObservation{.peer = peer.info.id,
                          .incarnation = peer.info.incarnation,
                          .age = now - (direct ? peer.last_heard : heard_at),
                          .suspected = suspected});
    }
  }
  return observations;
}

auto PeerTable::LogRead(TimePoint sent, Offset read_to) -> void {
  this->last_log_read = std::max(this->last_log_read.value_or(sent), sent);
  this->CaughtUp(read_to);
}

auto PeerTable::CaughtUp(Offset read_to) -> void {
  this->head = std::max(this->head, read_to);
}

auto PeerTable::LogAge(TimePoint now) const -> Duration {
  return this->last_log_read ? now - *this->last_log_read : Duration::max();
}

auto PeerTable::ViewFreshness(TimePoint now) const -> Freshness {
  if (this->LogAge(now) < this->policy.fresh_view_age) {
    return Freshness{.kind = FreshnessKind::kFresh};
  }
  const Peer* furthest = nullptr;
  bool fresh_through_peer = false;
  std::size_t answering = 0;
  std::size_t unresponsive = 0;
  for (const auto& [id, peer] : this->peers) {
    if (peer.departed) {
      continue;
    }
    if (!peer.has_sent_heartbeat ||
        now - peer.last_heard >= this->policy.suspicion_timeout) {
      unresponsive++;
      continue;
    }
    answering++;
    if (peer.head > this->head &&
        (furthest == nullptr || peer.head > furthest->head)) {
      furthest = &peer;
    }
    fresh_through_peer |= peer.last_log_read && now - *peer.last_log_read <
                                                    this->policy.fresh_view_age;
  }
  if (furthest != nullptr) {
    return Freshness{.kind = FreshnessKind::kReadFromPeer,
                     .peer = furthest->info.id};
  }
  if (fresh_through_peer) {
    return Freshness{.kind = FreshnessKind::kFresh};
  }
  if (answering == 0) {
    return Freshness{.kind = this->LogAge(now) < this->policy.isolated_view_age
                                 ? FreshnessKind::kFresh
                                 : FreshnessKind::kIsolated};
  }
  return Freshness{.kind = unresponsive == 0
                               ? FreshnessKind::kLogDownForAll
                               : FreshnessKind::kLogDownForReachable};
}

}  // namespace shallotbank::membership
