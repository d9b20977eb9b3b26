#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/verdict.h"
#include "routing/reasons.h"
#include "routing/request.h"

namespace shallotbank::routing {

/// Send the request to the minion and report the end with `Complete`.
struct Dispatch {
  RequestId request{};
  AttemptId attempt = 0;
  MinionId minion{};
  int number = 1;  ///< 1 for the first attempt.
  std::optional<RetryReason> retry{};
  bool probe = false;  ///< Tests an ejected minion.
  TimePoint deadline{};
  /// The sender checks this again just before it sends; if it has passed, it
  /// completes the attempt with verdict `kNotRun`.
  TimePoint authority_until{};
};

/// Send the request to the peer and report the end with `Complete`.
struct Overflow {
  RequestId request{};
  AttemptId attempt = 0;
  ProcessId peer{};
  TimePoint deadline{};
};

/// The request waits; a later action says what becomes of it.
struct Queue {
  RequestId request{};
  std::optional<RetryReason> retry{};
};

/// Give the caller the answer of this attempt.
struct Answer {
  RequestId request{};
  AttemptId attempt = 0;
};

/// Give the caller the refusal.
struct Refuse {
  RequestId request{};
  RefusalReason reason = RefusalReason::kNoMinions;
  Refusal refusal{};
};

/// The minion gets only probes from now on.
struct Eject {
  MinionId minion{};
  EjectionReason reason = EjectionReason::kSlow;
};

/// The minion is back in use.
struct Restore {
  MinionId minion{};
};

/// What the process does next. A request ends with exactly one `Answer` or
/// `Refuse`, or with its `Abandon`.
using Action =
    std::variant<Dispatch, Overflow, Queue, Answer, Refuse, Eject, Restore>;
using Actions = std::vector<Action>;

}  // namespace shallotbank::routing
