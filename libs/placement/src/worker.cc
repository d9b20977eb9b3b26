#include "placement/worker.h"

namespace shallotbank::placement {

auto ToText(WorkerState state) -> const char* {
  switch (state) {
    case WorkerState::kLive:
      return "live";
    case WorkerState::kLeaving:
      return "leaving";
    case WorkerState::kUnreachable:
      return "unreachable";
    case WorkerState::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

auto operator<<(std::ostream& out, WorkerState state) -> std::ostream& {
  return out << ToText(state);
}

}  // namespace shallotbank::placement
