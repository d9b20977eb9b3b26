#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/clock.h"
#include "cell/cell_configuration.h"
#include "live_job.h"
#include "worker_pace.h"

namespace shallotbank::cell {

struct LiveWorker {
  WorkerReport report;
  bool is_listed = false;
  /// The worker answered one of this leader's polls.
  bool is_attached = false;
  std::int64_t born_unix_ms = 0;
  std::uint64_t fence = 0;  ///< Of orders to this incarnation.
  Resources used;
  /// The worker has orphaned runs, which belong to no known job, so its free
  /// capacity is unknown.
  bool has_orphaned_runs = false;
  std::unordered_map<TaskId, LiveTask*> tasks;

  std::uint64_t completions_seen = 0;
  std::uint64_t completions_stored = 0;
  std::uint64_t completions_acknowledged = 0;  ///< By answered polls.

  /// When the connection of a poll was first lost since the last answer, rather
  /// than the answer being late; shows when a worker ended.
  std::optional<TimePoint> connection_lost_at;
  /// Until when the worker is known to have worked, once a connection is lost.
  TimePoint alive_until;
  /// Number of assigned tasks that crashed their workers, or may have.
  std::size_t suspects = 0;
  /// Until then the worker is kept free of other starts for a suspect.
  TimePoint held_until;

  bool is_poll_in_flight = false;
  TimePoint poll_sent_at;
  TimePoint next_poll;
  /// Of the latest poll that this incarnation answered.
  TimePoint answered_poll_sent_at;
  /// When a start to the worker was found to have no answer, last.
  TimePoint start_unanswered_at = TimePoint::min();
  int unanswered_polls = 0;
  /// Whether the latest poll got no answer. Its lease is left to expire, and it
  /// gets no starts: it may be another incarnation by now.
  auto IsSilent() const -> bool { return this->unanswered_polls > 0; }

  Milliseconds clock{};  ///< The worker's clock at time `clock_at`.
  TimePoint clock_at;
  /// End of the latest lease sent, by the worker's clock.
  Milliseconds lease_end{};
  /// Of the latest order with a lease, or of the incarnation's first answer.
  TimePoint lease_sent_at;
  /// When tasks started by a previous leader or for an earlier incarnation have
  /// ended at the latest.
  TimePoint unattached_lease_end;

  WorkerPace pace;
  std::unordered_set<JobId> failed_jobs;  ///< Since the last successful run.
  TimePoint quarantined_until;
  Duration quarantine_duration{};

  /// Lower bound of the worker's clock, which may run up to 2% slow.
  auto ClockAtLeast(TimePoint now) const -> Milliseconds {
    const auto passed = now - this->clock_at;
    return this->clock + std::chrono::floor<Milliseconds>(passed * 0.97);
  }
  auto ClockAtMost(TimePoint now) const -> Milliseconds {
    return this->clock + std::chrono::ceil<Milliseconds>(now - this->clock_at);
  }
  auto FreeResources() const -> Resources {
    return this->report.capacity - this->used;
  }
  auto CountSuspects() -> void {
    this->suspects = static_cast<std::size_t>(std::count_if(
        this->tasks.begin(), this->tasks.end(),
        [](const auto& entry) { return entry.second->IsSuspect(); }));
  }
};

}  // namespace shallotbank::cell
