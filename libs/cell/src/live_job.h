#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "cell/job.h"

namespace shallotbank::cell {

struct LiveStep;
struct LiveJob;

/// Stage of the latest run of a task between the scheduler, the store and the
/// worker.
enum class RunStage {
  kNone,      ///< No worker has any run of the task.
  kStoring,   ///< The assignment is being stored; nothing was sent.
  kStarting,  ///< The start order was sent and has no answer.
  kRunning,   ///< The worker confirmed the start.
  kUnknown,   ///< Assigned by a previous leader; the worker was not polled yet.
};

/// A task that crashes its worker does so right after the start. A run that is
/// older than this is not the cause; the time covers the start order, the crash
/// and the loss of the connection that shows it.
inline constexpr std::chrono::milliseconds kProofTime{250};

struct LiveTask {
  LiveStep* step = nullptr;
  std::size_t index = 0;  ///< Within the step.
  TaskId name;
  TaskProgress persistent;
  RunStage stage = RunStage::kNone;
  /// Sequence of the batch that stores the assignment.
  std::uint64_t batch = 0;
  std::string ticket;
  TimePoint ticket_expires;
  TimePoint next_send;  ///< Earliest time of the next start or stop order.
  /// A start order got no answer and may still take effect later, so a refusal
  /// of a repeated order proves nothing.
  bool is_start_uncertain = false;
  TimePoint first_start_sent_at;  ///< Of the latest run; unset before it.
  /// When a copy of the start was sent, or found to have no answer, last: until
  /// then the worker may have executed one.
  TimePoint last_start_in_flight_at;
  TimePoint confirmed_at;  ///< When the worker confirmed the start.
  bool stop_requested = false;
  bool is_stop_in_flight = false;
  bool is_stop_answered = false;
  TimePoint stop_answered_at;
  bool is_start_in_flight = false;
  /// As reported by the worker, to be confirmed by a poll.
  bool is_superseded = false;
  int percent = -1;
  /// Time of the last progress report, or of the confirmed start.
  TimePoint percent_reported_at;
  TimePoint percent_changed_at;
  std::vector<WorkerId> failed_workers;
  /// While set, a worker is kept free of other starts for this suspect.
  TimePoint hold_until;

  /// A possible crash counts half.
  auto CrashScore() const -> int {
    return 2 * this->persistent.crashes + this->persistent.possible_crashes;
  }
  /// Whether the task may crash its worker right after the start.
  auto IsSuspect() const -> bool { return this->CrashScore() > 0; }
  auto IsWaiting() const -> bool {
    return this->stage == RunStage::kNone &&
           this->persistent.phase == TaskPhase::kWaiting;
  }
  /// Whether the workers are not all alike for it, apart from their capacity.
  auto HasHistory() const -> bool {
    return this->IsSuspect() || !this->failed_workers.empty();
  }
  /// Whether the run is assigned and its worker has not confirmed it.
  auto IsNotBegun() const -> bool {
    return this->stage == RunStage::kStoring ||
           this->stage == RunStage::kStarting;
  }
  /// Whether the run may have begun less than `kProofTime` before that time, so
  /// that it may be the cause if the worker crashes then.
  auto IsUnprovenAt(TimePoint time) const -> bool;

  /// Whether a start or stop order is due now or later.
  auto NeedsOrder() const -> bool {
    return this->stop_requested ||
           (this->stage == RunStage::kStarting && !this->is_start_in_flight);
  }
};

struct Ticket {
  std::string text;
  TimePoint expires;
  /// Worker incarnation for which the ticket is valid.
  std::int64_t born_unix_ms = 0;
};

/// Answers of the advice service for a step.
struct StepAdvice {
  std::unordered_map<WorkerId, Ticket> tickets;  ///< Workers that may run it.
  std::unordered_set<WorkerId> queried;
  std::size_t queries_in_flight = 0;
  TimePoint queried_at;   ///< When the queries in flight were sent.
  Duration query_time{};  ///< Total time spent waiting for answers.
  TimePoint retry_at;
};

/// Capacity that is kept for a blocked gang.
struct GangReservation {
  struct Share {
    WorkerId worker;
    Resources amount;  ///< Only if complete; otherwise all that becomes free.
  };
  std::vector<Share> shares;
  /// The shares are free and suffice for the gang; only tickets are missing.
  bool is_complete = false;
};

struct LiveStep {
  LiveJob* job = nullptr;
  const StepSpec* spec = nullptr;
  std::size_t occurrence = 0;
  std::size_t number = 0;
  std::deque<LiveTask> tasks;
  std::size_t unfinished = 0;
  std::size_t waiting = 0;  ///< Tasks that are not placed.
  /// No task before this index waits.
  std::size_t first_waiting = 0;
  std::size_t assigned = 0;  ///< Tasks that may be on a worker.
  /// Their number on each worker, if the step limits it.
  std::unordered_map<WorkerId, std::size_t> assigned_on;
  bool is_ready = false;    ///< All steps that it depends on are done.
  int last_failed_run = 0;  ///< Latest gang run whose failure was counted.
  int abandoned_run = 0;    ///< Latest gang run that was stopped.
  int checkpoint_run = 0;   ///< Latest gang run that left a checkpoint.
  TimePoint wait_logged_at;
  /// Earliest time of the next placement after a refusal.
  TimePoint not_before;
  /// Earliest time of the next attempt to place the step after one that found
  /// no capacity.
  TimePoint next_attempt;
  std::optional<GangReservation> reservation;  ///< Of the latest attempt.
  StepAdvice advice;
  std::string name;

  auto IsWaiting() const -> bool { return this->is_ready && this->waiting > 0; }
};

struct LiveOccurrence {
  std::size_t number = 0;
  std::deque<LiveStep> steps;
  std::size_t unfinished_steps = 0;
  /// See OccurrenceProgress.
  std::size_t segment_size = 0;
  /// The tasks of each segment as they were last sent to the store.
  std::vector<std::vector<TaskProgress>> stored_segments;
  /// Estimated time of the critical path through the steps that are not done.
  Duration remaining_path{};
};

struct LiveJob {
  JobSpec spec;
  JobState state = JobState::kQueued;
  std::deque<LiveOccurrence> occurrences;  ///< By number.
  std::size_t next_occurrence = 0;
  TimePoint accepted_at;
  /// Estimated time of the critical path through the steps.
  Duration critical_path{};
  std::size_t placed_tasks = 0;  ///< Tasks that may be on a worker.
  bool is_dirty = false;
  bool is_cancelled = false;
  /// Exceeded the organisation's rate when accepted.
  bool exceeds_rate = false;

  /// Whether all tasks of the occurrence are done and it is not stored any
  /// more.
  auto IsOver(const LiveOccurrence& occurrence) const -> bool {
    return occurrence.unfinished_steps == 0 && this->spec.occurrence_count > 0;
  }
  /// Returns the occurrence of that number, or null if it has not begun or is
  /// forgotten.
  auto FindOccurrence(std::size_t number) -> LiveOccurrence* {
    const auto found = std::lower_bound(
        this->occurrences.begin(), this->occurrences.end(), number,
        [](const LiveOccurrence& occurrence, std::size_t wanted) {
          return occurrence.number < wanted;
        });
    return found != this->occurrences.end() && found->number == number
               ? &*found
               : nullptr;
  }
  /// Number of tasks in the occurrences that are stored.
  auto CountStoredTasks() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& occurrence : this->occurrences) {
      if (this->IsOver(occurrence)) {
        continue;
      }
      for (const auto& step : occurrence.steps) {
        count += step.tasks.size();
      }
    }
    return count;
  }
  /// Whether tasks of a ready step are not placed.
  auto HasWaitingStep() const -> bool {
    for (const auto& occurrence : this->occurrences) {
      for (const auto& step : occurrence.steps) {
        if (step.IsWaiting()) {
          return true;
        }
      }
    }
    return false;
  }
};

}  // namespace shallotbank::cell
