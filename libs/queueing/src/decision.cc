#include "queueing/decision.h"

namespace shallotbank::queueing {

auto ToText(WaitingReason reason) -> std::string_view {
  switch (reason) {
    case WaitingReason::kNotWaiting:
      return "not-waiting";
    case WaitingReason::kNext:
      return "next";
    case WaitingReason::kHoldsReservation:
      return "holds-reservation";
    case WaitingReason::kNoRoom:
      return "no-room";
    case WaitingReason::kBehindReservation:
      return "behind-reservation";
    case WaitingReason::kTeamAtLimit:
      return "team-at-limit";
    case WaitingReason::kExceedsLimit:
      return "exceeds-limit";
    case WaitingReason::kExceedsCapacity:
      return "exceeds-capacity";
    case WaitingReason::kTeamNotInPolicy:
      return "team-not-in-policy";
    case WaitingReason::kBehindOwnTeam:
      return "behind-own-team";
    case WaitingReason::kBehindUrgent:
      return "behind-urgent";
    case WaitingReason::kTeamBehindOthers:
      return "team-behind-others";
    case WaitingReason::kOrganisationBehindOthers:
      return "organisation-behind-others";
  }
  return "unknown";
}

auto ToText(CancelOutcome outcome) -> std::string_view {
  switch (outcome) {
    case CancelOutcome::kNotStarted:
      return "not-started";
    case CancelOutcome::kStopping:
      return "stopping";
    case CancelOutcome::kFinished:
      return "finished";
    case CancelOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

auto operator<<(std::ostream& out, WaitingReason reason) -> std::ostream& {
  return out << ToText(reason);
}

auto operator<<(std::ostream& out, CancelOutcome outcome) -> std::ostream& {
  return out << ToText(outcome);
}

}  // namespace shallotbank::queueing
