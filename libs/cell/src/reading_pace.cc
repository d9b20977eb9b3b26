#include "cell/reading_pace.h"

namespace shallotbank::cell {
namespace {

/// Without progress updates, this delay adds to the time until callers see the
/// end of a job.
constexpr std::chrono::milliseconds kDelayWithoutUpdates(60);
/// With progress updates, reading only recovers lost ones.
constexpr std::chrono::milliseconds kDelayWithUpdates(1000);
/// A digest is as old as the last read of its host, at most kDelayWithUpdates.
/// Together they stay well below the age at which a host does not know whether
/// a job exists (2.5 s).
constexpr std::chrono::milliseconds kDelayOfObserver(400);
/// A leader with running tasks sends updates within this time. Without one, it
/// has no running tasks or its updates do not arrive.
constexpr std::chrono::milliseconds kRecentUpdate(1000);

}  // namespace

auto ProgressReadDelay(ProgressRole role, Duration since_update) -> Duration {
  switch (role) {
    case ProgressRole::kLeader:
      return kDelayWithUpdates;
    case ProgressRole::kTakingOver:
      // The cell has no leader until the topic has been read.
      return Duration::zero();
    case ProgressRole::kObserver:
      return kDelayOfObserver;
    case ProgressRole::kFollower:
      return since_update < kRecentUpdate ? kDelayWithUpdates
                                          : kDelayWithoutUpdates;
  }
  return kDelayWithoutUpdates;
}

}  // namespace shallotbank::cell
