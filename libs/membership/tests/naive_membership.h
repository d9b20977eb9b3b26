#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "membership/authority.h"
#include "membership/peer_table.h"

namespace shallotbank::membership {

/// Keeps every confirmation and recomputes the end of authority from all of
/// them.
struct NaiveAuthority {
  struct Answer {
    int witness = 0;
    TimePoint sent;
    TimePoint received;
  };

  auto Reached(std::optional<TimePoint> sent_from) const -> std::size_t {
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

  auto Until() const -> TimePoint {
    const auto majority = static_cast<std::size_t>(this->witnesses) / 2 + 1;
    auto best = TimePoint::min();
    for (const auto& answer : this->answers) {
      if (this->Reached(answer.sent) >= majority) {
        best = std::max(best, answer.sent + kAuthority);
      }
    }
    if (this->has_predecessor && this->Reached(std::nullopt) < majority) {
      return TimePoint::min();
    }
    for (const auto sent : this->log_reads) {
      best = std::max(best, sent + kAuthority);
    }
    return this->superseded ? TimePoint::min() : best;
  }

  int witnesses = 0;
  bool has_predecessor = false;
  bool superseded = false;
  std::vector<Answer> answers{};
  std::vector<TimePoint> log_reads{};
};

/// Keeps every heartbeat and recomputes the state of a peer from all of them,
/// for tables small enough to watch everybody.
struct NaivePeers {
  struct Word {
    int peer = 0;
    std::uint64_t incarnation = 0;
    TimePoint heard;
  };

  auto State(int peer, TimePoint now) const -> std::optional<PeerState> {
    std::uint64_t newest = 0;
    for (const auto& word : this->words) {
      newest = std::max(newest, word.peer == peer ? word.incarnation : 0);
    }
    if (newest == 0) {
      return std::nullopt;
    }
    if (this->left.contains(peer) && this->left.at(peer) >= newest) {
      return PeerState::kDeparted;
    }
    const bool recent = std::any_of(
        this->words.begin(), this->words.end(), [&](const Word& word) {
          return word.peer == peer && word.incarnation == newest &&
                 now - word.heard < std::chrono::seconds(1);
        });
    return recent ? PeerState::kAlive : PeerState::kSuspected;
  }

  std::vector<Word> words;            // Reports of others included.
  std::map<int, std::uint64_t> left;  // Newest incarnation that departed.
};

}  // namespace shallotbank::membership
