#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/verdict.h"
#include "minion_record.h"
#include "routing/reasons.h"
#include "routing/request.h"

namespace shallotbank::routing {

enum class RequestState { kQueued, kRunning, kSentToPeer };

/// A request in progress.
struct RequestRecord {
  Request request{};
  std::uint64_t sequence = 0;  ///< Order of arrival.
  ServiceIndex service = 0;
  RequestState state = RequestState::kQueued;
  AttemptId attempt = 0;  ///< The current attempt, if any.
  int attempts = 0;       ///< Attempts at minions.
  std::vector<MinionIndex> tried{};
  std::optional<RetryReason> retry{};
  bool overflowed = false;
  bool abandoned = false;
  /// The highest verdict of all attempts.
  Verdict verdict = Verdict::kNotRun;
};

/// An attempt at a minion or peer whose outcome is not known yet.
struct AttemptRecord {
  AttemptId id = 0;
  /// Null once the request was answered, refused or retried.
  RequestRecord* request = nullptr;
  std::optional<MinionIndex> minion{};  ///< Empty for an attempt at a peer.
  ProcessId peer{};
  ServiceIndex service = 0;
  TeamId team{};
  TimePoint sent{};
  bool probe = false;
  bool health_recorded = false;  ///< Recorded in `MinionHealth`.
};

}  // namespace shallotbank::routing
