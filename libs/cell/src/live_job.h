#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "cell/job.h"

namespace shallotbank::cell {

struct LiveStep;
struct LiveJob;

/// Where the latest run of a task stands between store, worker and us.
enum class RunStage {
  kNone,      ///< Nothing of the task is on any worker.
  kStoring,   ///< The assignment is being stored; nothing was sent.
  kStarting,  ///< The start was sent and has no answer.
  kRunning,   ///< The worker confirmed the start.
  kUnknown,   ///< Assigned by a former leader; the worker was not asked yet.
};

struct LiveTask {
  LiveStep* step = nullptr;
  TaskId name;
  TaskProgress kept;
  RunStage stage = RunStage::kNone;
  std::uint64_t batch = 0;  ///< That stores the assignment.
  std::string ticket;
  TimePoint ticket_expires;
  TimePoint next_send;  ///< When a start or stop order may be sent again.
  /// A start got no answer, so it may still take effect later. A refusal of a
  /// repeat then says nothing about it.
  bool is_start_uncertain = false;
  TimePoint confirmed_at;  ///< When the worker confirmed the start.
  bool wants_stop = false;
  bool is_stop_open = false;
  bool is_stop_answered = false;
  TimePoint stop_answered_at;
  bool is_start_open = false;
  bool is_superseded = false;  ///< The worker said so; a look must confirm it.
  int percent = -1;
  TimePoint percent_at;  ///< When it was seen, or the confirmation.
  TimePoint percent_since;
  std::vector<WorkerId> failed_on;
};

struct Ticket {
  std::string text;
  TimePoint expires;
  std::int64_t born_unix_ms = 0;  ///< Of the worker's life that it is good for.
};

/// What the advice service has said of a step.
struct StepAdvice {
  std::unordered_map<WorkerId, Ticket> tickets;  ///< Workers that may run it.
  std::unordered_set<WorkerId> asked;
  bool is_open = false;
  TimePoint asked_at;
  Duration asked_for{};  ///< Time that answers took in all.
  TimePoint retry_at;
};

struct LiveStep {
  LiveJob* job = nullptr;
  const StepSpec* spec = nullptr;
  std::size_t occurrence = 0;
  std::size_t number = 0;
  std::deque<LiveTask> tasks;
  std::size_t undone = 0;
  std::size_t waiting = 0;  ///< Tasks that wait to be placed.
  bool is_ready = false;    ///< All steps before it are done.
  int blamed_run = 0;       ///< The gang run whose failure was counted last.
  TimePoint waits_noted_at;
  TimePoint not_before;  ///< No placement before, after a refusal.
  StepAdvice advice;
  std::string name;

  auto IsWhollyFree() const -> bool {
    for (const auto& task : this->tasks) {
      if (task.stage != RunStage::kNone) {
        return false;
      }
    }
    return true;
  }
};

struct LiveOccurrence {
  std::size_t number = 0;
  std::deque<LiveStep> steps;
  std::size_t undone_steps = 0;
};

struct LiveJob {
  JobSpec spec;
  JobState state = JobState::kQueued;
  std::deque<LiveOccurrence> occurrences;
  std::size_t next_occurrence = 0;
  TimePoint accepted_at;
  Duration chain{};           ///< Estimated time of the longest chain of steps.
  std::size_t tasks_out = 0;  ///< Tasks that may be on a worker.
  bool is_dirty = false;
  bool is_cancelled = false;
  bool is_beyond_share = false;  ///< Sent beyond the organisation's rate.
};

}  // namespace shallotbank::cell
