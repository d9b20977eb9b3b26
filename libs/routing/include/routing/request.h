#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/ids.h"
#include "base/verdict.h"

namespace shallotbank::routing {

/// A request to be routed to a minion.
struct Request {
  /// Unique among the requests in progress at this process, including abandoned
  /// ones. Callers' ids are not unique, so the process generates its own.
  RequestId id{};
  ServiceName service{};
  TeamId team{};
  bool urgent = false;
  bool idempotent = false;
  /// Forwarded to this process by a peer; such a request is not forwarded
  /// again.
  bool forwarded = false;
  TimePoint deadline{};
  /// The failure domain whose minions are preferred.
  FailureDomain domain{};
};

/// Identifies one attempt to run a request at a minion or peer; unique within a
/// router.
using AttemptId = std::uint64_t;

/// The outcome of an attempt.
struct Outcome {
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;  ///< HTTP status, or 0 without a response.
  Duration latency{};
  bool truncated = false;
  /// With `kNotRun`: this process did not send the request (expired authority
  /// or full ring), so the outcome does not count against the minion.
  bool not_sent = false;
  /// The minion no longer processes the request although the verdict is
  /// `kMayHaveRun`. Otherwise the slot stays in use until a later `Complete` of
  /// the attempt or until the maximum deadline has elapsed.
  bool minion_finished = false;
};

}  // namespace shallotbank::routing
