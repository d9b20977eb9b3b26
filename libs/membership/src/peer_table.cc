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

auto PeerTable::Accept(const PeerInfo& info, TimePoint now) -> Peer* {
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

auto PeerTable::Learn(const PeerInfo& info, TimePoint now) -> void {
  this->Accept(info, now);
}

auto PeerTable::Take(const Heartbeat& heartbeat, TimePoint asked, TimePoint now)
    -> Peer* {
  auto* peer = this->Accept(heartbeat.from, now);
  if (peer == nullptr) {
    return nullptr;
  }
  peer->heard = true;
  peer->last_heard = std::max(peer->last_heard, now);
  peer->unanswered_since.reset();
  this->EndSilence(*peer, now);
  // Of two heartbeats that overtook each other, the later has the higher head.
  if (heartbeat.head >= peer->head) {
    peer->head = heartbeat.head;
    peer->epochs = heartbeat.epochs;
  }
  for (const auto& hearing : heartbeat.hearings) {
    this->TakeHearing(hearing, asked, now);
  }
  return peer;
}

auto PeerTable::Receive(const Heartbeat& heartbeat, TimePoint now) -> bool {
  return this->Take(heartbeat, now, now) != nullptr;
}

auto PeerTable::ReceiveAnswer(const Heartbeat& heartbeat,
                              TimePoint sent,
                              TimePoint now) -> bool {
  auto* peer = this->Take(heartbeat, sent, now);
  if (peer == nullptr) {
    return false;
  }
  // The peer wrote the answer at `sent` or later.
  if (heartbeat.log_age < this->policy.isolated_view) {
    const auto read = sent - heartbeat.log_age;
    peer->last_log_read = std::max(peer->last_log_read.value_or(read), read);
  }
  if (peer->waiting_since && *peer->waiting_since <= sent) {
    const bool more = peer->last_sent && *peer->last_sent > sent;
    peer->waiting_since = more ? peer->last_sent : std::nullopt;
  }
  return true;
}

auto PeerTable::EndSilence(Peer& peer, TimePoint now) -> void {
  if (peer.silence_reported) {
    peer.silence_reported = false;
    peer.recovered_at = now;
  }
}

auto PeerTable::TakeHearing(const Hearing& hearing,
                            TimePoint asked,
                            TimePoint now) -> void {
  auto* peer = this->FindMutable(hearing.peer);
  if (peer == nullptr || peer->info.incarnation != hearing.incarnation) {
    return;
  }
  const auto heard = asked - hearing.age;
  if (heard < std::max(peer->last_heard, peer->last_reported)) {
    return;
  }
  if (hearing.suspected) {
    peer->silence_reported = true;
    return;
  }
  peer->last_reported = heard;
  this->EndSilence(*peer, now);
}

auto PeerTable::Sent(const ProcessId& id, TimePoint now) -> void {
  auto* peer = this->FindMutable(id);
  if (peer == nullptr) {
    return;
  }
  peer->last_sent = now;
  peer->waiting_since = peer->waiting_since.value_or(now);
  peer->unanswered_since = peer->unanswered_since.value_or(now);
}

auto PeerTable::DueHeartbeats(TimePoint now) const -> std::vector<ProcessId> {
  auto due = this->Watched(now);
  std::erase_if(due, [&](const ProcessId& id) {
    const auto& last = this->Find(id)->last_sent;
    return last && now - *last < this->policy.heartbeat_interval;
  });
  return due;
}

auto PeerTable::SilentConnections(TimePoint now) const
    -> std::vector<ProcessId> {
  std::vector<ProcessId> silent;
  for (const auto& [id, peer] : this->peers) {
    if (!peer.departed && peer.waiting_since &&
        now - *peer.waiting_since >= this->policy.silence) {
      silent.push_back(peer.info.id);
    }
  }
  return silent;
}

auto PeerTable::ConnectionReplaced(const ProcessId& id) -> void {
  if (auto* peer = this->FindMutable(id)) {
    peer->waiting_since.reset();
  }
}

auto PeerTable::Leave(const ProcessId& id) -> void {
  if (auto* peer = this->FindMutable(id)) {
    peer->departed = true;
  }
}

auto PeerTable::LeaveHost(const std::string& host) -> void {
  for (auto& [id, peer] : this->peers) {
    if (peer.info.host == host) {
      peer.departed = true;
    }
  }
}

auto PeerTable::IsRecent(const Peer& peer, TimePoint now) const -> bool {
  return now - std::max(peer.last_heard, peer.last_reported) <
         this->policy.silence;
}

auto PeerTable::StateOf(const Peer& peer, TimePoint now) const -> PeerState {
  if (peer.departed) {
    return PeerState::kDeparted;
  }
  if (this->IsRecent(peer, now)) {
    return PeerState::kAlive;
  }
  // On a ring, silence means nothing unless this process or another asks.
  const bool unanswered = peer.unanswered_since &&
                          now - *peer.unanswered_since >= this->policy.silence;
  return this->IsRing() && !unanswered && !peer.silence_reported
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

auto PeerTable::IsRing() const -> bool {
  const auto present =
      std::count_if(this->peers.begin(), this->peers.end(),
                    [](const auto& entry) { return !entry.second.departed; });
  return static_cast<std::size_t>(present) > this->policy.watch_all;
}

auto PeerTable::Watched(TimePoint now) const -> std::vector<ProcessId> {
  const auto wanted =
      this->IsRing() ? this->policy.successors : this->peers.size();
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

auto PeerTable::Hearings(TimePoint now) const -> std::vector<Hearing> {
  const auto watched = this->Watched(now);
  std::vector<Hearing> hearings;
  for (const auto& [id, peer] : this->peers) {
    const auto state = this->StateOf(peer, now);
    if (state == PeerState::kDeparted) {
      continue;
    }
    const bool suspected = state == PeerState::kSuspected;
    const bool recovered = peer.recovered_at && now - *peer.recovered_at <
                                                    this->policy.tell_recovery;
    const bool direct =
        peer.heard && now - peer.last_heard < this->policy.silence &&
        std::find(watched.begin(), watched.end(), peer.info.id) !=
            watched.end();
    if (suspected || recovered || direct) {
      const auto heard = std::max(peer.last_heard, peer.last_reported);
      hearings.push_back(
          Hearing{.peer = peer.info.id,
                  .incarnation = peer.info.incarnation,
                  .age = now - (direct ? peer.last_heard : heard),
                  .suspected = suspected});
    }
  }
  return hearings;
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
  if (this->LogAge(now) < this->policy.fresh_view) {
    return Freshness{.kind = FreshnessKind::kFresh};
  }
  const Peer* furthest = nullptr;
  bool fresh_through_peer = false;
  std::size_t answering = 0;
  std::size_t silent = 0;
  for (const auto& [id, peer] : this->peers) {
    if (peer.departed) {
      continue;
    }
    if (!peer.heard || now - peer.last_heard >= this->policy.silence) {
      silent++;
      continue;
    }
    answering++;
    if (peer.head > this->head &&
        (furthest == nullptr || peer.head > furthest->head)) {
      furthest = &peer;
    }
    fresh_through_peer |= peer.last_log_read &&
                          now - *peer.last_log_read < this->policy.fresh_view;
  }
  if (furthest != nullptr) {
    return Freshness{.kind = FreshnessKind::kReadFromPeer,
                     .peer = furthest->info.id};
  }
  if (fresh_through_peer) {
    return Freshness{.kind = FreshnessKind::kFresh};
  }
  if (answering == 0) {
    return Freshness{.kind = this->LogAge(now) < this->policy.isolated_view
                                 ? FreshnessKind::kFresh
                                 : FreshnessKind::kIsolated};
  }
  return Freshness{.kind = silent == 0 ? FreshnessKind::kLogDownForAll
                                       : FreshnessKind::kLogDownForReachable};
}

}  // namespace shallotbank::membership
