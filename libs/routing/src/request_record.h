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

enum class RequestState { kQueued, kRunning, kAtPeer };

/// A request in progress.
struct RequestRecord {
  Request request{};
  std::uint64_t sequence = 0;  ///< Order of arrival.
  ServiceIndex service = 0;
  RequestState state = RequestState::kQueued;
  AttemptId attempt = 0;  ///< The current one, if any.
  int attempts = 0;       ///< At minions.
  std::vector<MinionIndex> tried{};
  std::optional<RetryReason> retry{};
  bool overflowed = false;
  bool abandoned = false;
  /// The most that any attempt may have done.
  Verdict verdict = Verdict::kNotRun;
};

/// One sending to a minion or peer whose end is not known yet.
struct AttemptRecord {
  AttemptId id = 0;
  /// Null once the caller has an answer or refusal, or a retry replaced it.
  RequestRecord* request = nullptr;
  std::optional<MinionIndex> minion{};  ///< Empty if it was sent to a peer.
  ProcessId peer{};
  ServiceIndex service = 0;
  TeamId team{};
  TimePoint sent{};
  bool probe = false;
  bool observed = false;  ///< Counted in the health of the minion.
};

}  // namespace shallotbank::routing
