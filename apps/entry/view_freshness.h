#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::entry {

/// What a peer said of its view of the log.
struct PeerView {
  std::string address;
  Offset head = 0;
  Duration silence{};  ///< Since its last word.
  Duration log_age{};  ///< Of its last good read, when it spoke.
};

/// Whether keys may be checked against the own view of the log.
struct ViewJudgement {
  bool is_fresh = false;
  /// "recent", "peer-confirms", "log-down", "stale" or "isolated".
  const char* reason = "stale";
  /// The peer to read missing records from.
  std::optional<std::string> read_from;
};

/// A withdrawal of a key is an append, so a view may be used if it was read
/// recently, if a peer that can read the log has the same head, or if no live
/// peer can read the log either.
auto JudgeView(Duration own_age,
               Offset own_head,
               const std::vector<PeerView>& peers) -> ViewJudgement;

/// A view that was read this recently is fresh.
inline constexpr std::chrono::seconds kFreshAge{2};
/// A process that reaches neither the log nor a peer serves for this long.
inline constexpr std::chrono::seconds kIsolatedAge{3};
/// A peer that has been silent for longer says nothing about the present.
inline constexpr std::chrono::seconds kLivePeer{1};

}  // namespace shallotbank::entry
