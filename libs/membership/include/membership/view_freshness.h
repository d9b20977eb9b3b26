#pragma once

#include <ostream>
#include <string_view>

#include "base/ids.h"

namespace shallotbank::membership {

enum class FreshnessKind {
  /// The last log read of this process is recent, or a peer with a recent log
  /// read is not ahead.
  kFresh,
  /// `Freshness::peer` has read further; its records are needed.
  kReadFromPeer,
  /// All peers answer and none can read the log; the view counts as fresh.
  kLogDownForAll,
  /// No peer that answers can read the log, but other peers do not answer and
  /// may have accepted a change.
  kLogDownForReachable,
  /// Neither the log nor any peer answers; keyed work is refused.
  kIsolated,
};

/// Whether the local view of the log may be used.
struct Freshness {
  FreshnessKind kind = FreshnessKind::kIsolated;
  ProcessId peer{};  ///< Set for `kReadFromPeer` only.
};

auto ToText(FreshnessKind kind) -> std::string_view;
auto operator<<(std::ostream& out, FreshnessKind kind) -> std::ostream&;

}  // namespace shallotbank::membership
