#include "cell/reading_pace.h"

namespace shallotbank::cell {
namespace {

/// Without news, callers see the end of a job as much later.
constexpr std::chrono::milliseconds kUntoldPause(60);
/// With news, reading only finds what was lost on the way.
constexpr std::chrono::milliseconds kToldPause(1000);
/// A leader with work tells some progress within this time; else it has none,
/// or its news do not get through.
constexpr std::chrono::milliseconds kRecentNews(1000);

}  // namespace

auto ProgressPause(ProgressRole role, Duration since_news) -> Duration {
  switch (role) {
    case ProgressRole::kLeads:
      return kToldPause;
    case ProgressRole::kTakesOver:
      return Duration::zero();  // The cell is without a leader meanwhile.
    case ProgressRole::kFollows:
      return since_news < kRecentNews ? kToldPause : kUntoldPause;
  }
  return kUntoldPause;
}

}  // namespace shallotbank::cell
