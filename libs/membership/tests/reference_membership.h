#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "membership/authority.h"
#include "membership/peer_table.h"

namespace shallotbank::membership {

/// Reference implementation that recomputes the end of authority from all
/// confirmations so far.
struct ReferenceAuthority {
  struct Answer {
    int witness = 0;
    TimePoint sent;
    TimePoint received;
  };

  auto ReachedCount(std::optional<TimePoint> sent_from) const -> std::size_t {
    std::size_t count = 0;
    for (int witness = 0; witness < this->witnesses; ++witness) {
      count += std::any_of(this->answers.begin(), this->answers.end(),
                           [&](const Answer& answer) {
                             return answer.witness == witness &&
                                    (!sent_from || answer.sent >= *sent_from);
                           })
                   ? 1
                   : 0;
    }
    return count;
  }

  auto ValidUntil() const -> TimePoint {
    const auto majority = static_cast<std::size_t>(this->witnesses) / 2 + 1;
    auto best = TimePoint::min();
    for (const auto& answer : this->answers) {
      if (this->ReachedCount(answer.sent) >= majority) {
        best = std::max(best, answer.sent + kAuthorityDuration);
      }
    }
    if (this->has_previous_owner &&
        this->ReachedCount(std::nullopt) < majority) {
      return TimePoint::min();
    }
    for (const auto sent : this->log_reads) {
      best = std::max(best, sent + kAuthorityDuration);
    }
    return this->superseded ? TimePoint::min() : best;
  }

  int witnesses = 0;
  bool has_previous_owner = false;
  bool superseded = false;
  std::vector<Answer> answers{};
  std::vector<TimePoint> log_reads{};
};

/// Reference implementation that recomputes the state of a peer from all
/// heartbeats so far, for tables small enough to watch every peer.
struct ReferencePeers {
  struct Contact {
    int peer = 0;
    std::uint64_t incarnation = 0;
    TimePoint heard_at;
  };

  auto State(int peer, TimePoint now) const -> std::optional<PeerState> {
    std::uint64_t newest = 0;
    for (const auto& contact : this->contacts) {
      newest = std::max(newest, contact.peer == peer ? contact.incarnation : 0);
    }
    if (newest == 0) {
      return std::nullopt;
    }
    if (this->departed_incarnations.contains(peer) &&
        this->departed_incarnations.at(peer) >= newest) {
      return PeerState::kDeparted;
    }
    const bool recent = std::any_of(
        this->contacts.begin(), this->contacts.end(),
        [&](const Contact& contact) {
          return contact.peer == peer && contact.incarnation == newest &&
                 now - contact.heard_at < std::chrono::seconds(1);
        });
    return recent ? PeerState::kAlive : PeerState::kSuspected;
  }

  std::vector<Contact> contacts;  // Includes reports of other peers.
  // Latest incarnation that departed.
  std::map<int, std::uint64_t> departed_incarnations;
};

}  // namespace shallotbank::membership
