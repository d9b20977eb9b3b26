#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/verdict.h"
#include "routing/reasons.h"
#include "routing/request.h"

namespace shallotbank::routing {

/// Send the request to the minion and report the outcome with `Complete`.
struct Dispatch {
  RequestId request{};
  AttemptId attempt = 0;
  MinionId minion{};
  int attempt_number = 1;  ///< 1 for the first attempt.
  std::optional<RetryReason> retry{};
  bool probe = false;  ///< Tests whether an ejected minion has recovered.
  TimePoint deadline{};
  /// The sender checks this again immediately before sending. If the time has
  /// passed, it completes the attempt with verdict `kNotRun`.
  TimePoint authority_until{};
};

/// Forward the request to the peer and report the outcome with `Complete`.
struct Overflow {
  RequestId request{};
  AttemptId attempt = 0;
  ProcessId peer{};
  TimePoint deadline{};
};

/// The request is queued; a later action dispatches or refuses it.
struct Queue {
  RequestId request{};
  std::optional<RetryReason> retry{};
};

/// Return the response of this attempt to the caller.
struct Answer {
  RequestId request{};
  AttemptId attempt = 0;
};

/// Return the refusal to the caller.
struct Refuse {
  RequestId request{};
  RefusalReason reason = RefusalReason::kNoMinions;
  Refusal refusal{};
};

/// The minion receives only probe requests until it is restored.
struct Eject {
  MinionId minion{};
  EjectionReason reason = EjectionReason::kSlow;
};

/// The minion receives regular traffic again.
struct Restore {
  MinionId minion{};
};

/// An instruction to the calling process. Each request completes with exactly
/// one `Answer` or `Refuse`, unless the caller abandons it.
using Action =
    std::variant<Dispatch, Overflow, Queue, Answer, Refuse, Eject, Restore>;
using Actions = std::vector<Action>;

}  // namespace shallotbank::routing
