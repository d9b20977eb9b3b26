#pragma once

#include "base/clock.h"

namespace shallotbank::cell {

/// What a host does with the progress of jobs.
enum class ProgressRole {
  kFollows,    ///< Shows states; the leader tells it news.
  kTakesOver,  ///< Leads, and has to read all that its predecessor stored.
  kLeads,      ///< Knows all progress, since it stores it.
};

/// The pause between two reads of the topic of progress. `since_news` is the
/// time since the leader told any.
auto ProgressPause(ProgressRole role, Duration since_news) -> Duration;

}  // namespace shallotbank::cell
