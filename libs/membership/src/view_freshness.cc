#include "membership/view_freshness.h"

namespace shallotbank::membership {

auto ToText(FreshnessKind kind) -> std::string_view {
  switch (kind) {
    case FreshnessKind::kFresh:
      return "fresh";
    case FreshnessKind::kReadFromPeer:
      return "read_from_peer";
    case FreshnessKind::kLogDownForAll:
      return "log_down_for_all";
    case FreshnessKind::kLogDownForReachable:
      return "log_down_for_reachable";
    case FreshnessKind::kIsolated:
      return "isolated";
  }
  return "unknown";
}

auto operator<<(std::ostream& out, FreshnessKind kind) -> std::ostream& {
  return out << ToText(kind);
}

}  // namespace shallotbank::membership
