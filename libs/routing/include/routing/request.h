#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/ids.h"
#include "base/verdict.h"

namespace shallotbank::routing {

/// A request that wants a minion.
struct Request {
  /// Unique among the requests in progress at this process, abandoned ones
  /// included; the ids of callers are not, so the process makes its own.
  RequestId id{};
  ServiceName service{};
  TeamId team{};
  bool urgent = false;
  bool idempotent = false;
  /// Sent here by a peer; such a request takes no second hop.
  bool forwarded = false;
  TimePoint deadline{};
  /// The failure domain whose minions are preferred.
  FailureDomain domain{};
};

/// One sending of one request to a minion or peer; unique within a router.
using AttemptId = std::uint64_t;

/// How an attempt ended.
struct Outcome {
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;  ///< HTTP status, or 0 without an answer.
  Duration latency{};
  bool truncated = false;
  /// With `kNotRun`: the process did not send it (authority, full ring), so
  /// the outcome says nothing about the minion.
  bool not_sent = false;
  /// The minion has finished with the request although the verdict is
  /// `kMayHaveRun`. Otherwise its slot stays counted until a later `Complete`
  /// of the attempt or the longest deadline.
  bool ended = false;
};

}  // namespace shallotbank::routing
