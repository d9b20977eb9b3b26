#pragma once

#include <cstdint>
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
  bool is_attached = false;  ///< It answered an order of ours.
  std::int64_t born_unix_ms = 0;
  Resources used;
  /// It runs something that no live job accounts for, so its room is unknown.
  bool has_strays = false;
  std::unordered_map<TaskId, LiveTask*> tasks;

  std::uint64_t ends_seen = 0;
  std::uint64_t ends_stored = 0;
  std::uint64_t ends_acknowledged = 0;  ///< In the latest hold that answered.

  bool is_hold_open = false;
  TimePoint hold_sent;
  TimePoint next_hold;
  int holds_unanswered = 0;

  Milliseconds clock{};  ///< The worker's clock as of `clock_at`.
  TimePoint clock_at;
  Milliseconds lease_end{};    ///< Latest lease sent, on the worker's clock.
  TimePoint unattached_until;  ///< Until when a former leader's work may run.

  WorkerPace pace;
  std::unordered_set<JobId> failed_jobs;  ///< Since the last success.
  TimePoint avoid_until;
  Duration avoid_for{};

  /// The worker's clock is at least this; it may run 2% slow.
  auto ClockAtLeast(TimePoint now) const -> Milliseconds {
    const auto passed = now - this->clock_at;
    return this->clock + std::chrono::floor<Milliseconds>(passed * 0.97);
  }
  auto ClockAtMost(TimePoint now) const -> Milliseconds {
    return this->clock + std::chrono::ceil<Milliseconds>(now - this->clock_at);
  }
  auto Room() const -> Resources { return this->report.capacity - this->used; }
};

}  // namespace shallotbank::cell
