#pragma once

#include "base/clock.h"

namespace shallotbank::cell {

/// A host's role with regard to the progress of jobs.
enum class ProgressRole {
  kFollower,  ///< Answers queries; receives progress updates from the leader.
  kObserver,  ///< The same, and reads digests of standbys instead of the topic.
  /// New leader that has to read all progress stored by the previous leader.
  kTakingOver,
  kLeader,  ///< Knows all progress, because it stores it.
};

/// Returns the delay between two reads of the topic of progress. `since_update`
/// is the time since the leader's last progress update.
auto ProgressReadDelay(ProgressRole role, Duration since_update) -> Duration;

}  // namespace shallotbank::cell
