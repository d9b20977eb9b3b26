#include "placement/why_not.h"

namespace shallotbank::placement {

auto IsPermanent(WhyNot reason) -> bool {
  return reason == WhyNot::kInvalidNeed || reason == WhyNot::kAlreadyPlaced ||
         reason == WhyNot::kLargerThanAnyWorker ||
         reason == WhyNot::kGangLargerThanCell;
}

auto ToText(WhyNot reason) -> const char* {
  switch (reason) {
    case WhyNot::kInvalidNeed:
      return "invalid-need";
    case WhyNot::kAlreadyPlaced:
      return "already-placed";
    case WhyNot::kLargerThanAnyWorker:
      return "larger-than-any-worker";
    case WhyNot::kGangLargerThanCell:
      return "gang-larger-than-cell";
    case WhyNot::kNoLiveWorker:
      return "no-live-worker";
    case WhyNot::kNoLiveWorkerLargeEnough:
      return "no-live-worker-large-enough";
    case WhyNot::kOnlyExcludedWorkers:
      return "only-excluded-workers";
    case WhyNot::kHeldForReservation:
      return "held-for-reservation";
    case WhyNot::kNoRoomNow:
      return "no-room-now";
    case WhyNot::kUnknownWorker:
      return "unknown-worker";
    case WhyNot::kNotProbeable:
      return "not-probeable";
    case WhyNot::kNothingToStop:
      return "nothing-to-stop";
  }
  return "unknown";
}

auto operator<<(std::ostream& out, WhyNot reason) -> std::ostream& {
  return out << ToText(reason);
}

}  // namespace shallotbank::placement
