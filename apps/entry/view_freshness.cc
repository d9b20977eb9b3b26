#include "view_freshness.h"

#include <algorithm>

namespace shallotbank::entry {

auto JudgeView(Duration own_age,
               Offset own_head,
               const std::vector<PeerView>& peers) -> ViewJudgement {
  if (own_age <= kFreshAge) {
    return {true, "recent", std::nullopt};
  }
  bool has_live_peer = false;
  const PeerView* best_reader = nullptr;
  for (const auto& peer : peers) {
    if (peer.silence > kLivePeer) {
      continue;
    }
    has_live_peer = true;
    const bool can_read = peer.silence + peer.log_age <= kFreshAge;
    if (can_read && (best_reader == nullptr || peer.head > best_reader->head)) {
      best_reader = &peer;
    }
  }
  if (best_reader != nullptr) {
    if (best_reader->head <= own_head) {
      return {true, "peer-confirms", std::nullopt};
    }
    return {false, "stale", best_reader->address};
  }
  if (has_live_peer) {
    return {true, "log-down", std::nullopt};
  }
  return {own_age <= kIsolatedAge, "isolated", std::nullopt};
}

}  // namespace shallotbank::entry
