#include "placement/why_not.h"

namespace shallotbank::placement {

auto IsPermanent(PlacementRefusal reason) -> bool {
  return reason == PlacementRefusal::kInvalidNeed ||
         reason == PlacementRefusal::kAlreadyPlaced ||
         reason == PlacementRefusal::kLargerThanAnyWorker ||
         reason == PlacementRefusal::kGangLargerThanCell;
}

auto ToText(PlacementRefusal reason) -> const char* {
  switch (reason) {
    case PlacementRefusal::kInvalidNeed:
      return "invalid-need";
    case PlacementRefusal::kAlreadyPlaced:
      return "already-placed";
    case PlacementRefusal::kLargerThanAnyWorker:
      return "larger-than-any-worker";
    case PlacementRefusal::kGangLargerThanCell:
      return "gang-larger-than-cell";
    case PlacementRefusal::kNoLiveWorker:
      return "no-live-worker";
    case PlacementRefusal::kNoLiveWorkerLargeEnough:
      return "no-live-worker-large-enough";
    case PlacementRefusal::kOnlyExcludedWorkers:
      return "only-excluded-workers";
    case PlacementRefusal::kHeldForReservation:
      return "held-for-reservation";
    case PlacementRefusal::kNoRoomNow:
      return "no-room-now";
    case PlacementRefusal::kUnknownWorker:
      return "unknown-worker";
    case PlacementRefusal::kNotProbeable:
      return "not-probeable";
    case PlacementRefusal::kNothingToStop:
      return "nothing-to-stop";
  }
  return "unknown";
}

auto operator<<(std::ostream& out, PlacementRefusal reason) -> std::ostream& {
  return out << ToText(reason);
}

}  // namespace shallotbank::placement
