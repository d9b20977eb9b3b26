#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/verdict.h"
#include "placement/worker.h"
#include "scheduling/job_spec.h"
#include "worker_protocol/worker_protocol.h"

namespace shallotbank::scheduling {

enum class TaskState : std::uint8_t { kWaiting, kActive, kEnding, kDone };

/// The state of a job of the shard.
struct JobRecord {
  JobSpec spec;
  std::vector<TaskState> states;
  std::vector<int> waiting;  ///< Task indices; the last one is started first.
  std::vector<int> failed_runs;  ///< By task index.
  std::map<int, std::vector<WorkerId>> failed_on;
  std::map<int, TaskId> current_attempts;  ///< By index, not replaced ones.
  std::set<TaskId> replaced_attempts;
  int active = 0;
  int ended = 0;
  bool is_cancelled = false;
  bool is_cancel_reported = false;
  /// The job is not queued, since one of its waiting tasks may run on a worker
  /// that has not responded since the ownership change.
  bool is_held = false;
};

enum class AttemptState : std::uint8_t {
  kStarting,
  kRunning,
  kStopping,
  kEnding
};

/// One run of a task on a worker.
struct Attempt {
  TaskId id;
  JobId job;
  int index = 0;
  WorkerId worker;
  AttemptState state = AttemptState::kStarting;
  bool is_sent = false;  ///< A start command may have reached the worker.
  /// A start command that has been sent cannot take effect after this time.
  TimePoint start_valid_until;
  /// Unless the lease is renewed, the worker has certainly stopped the task by
  /// this time.
  TimePoint lease_expires_by;
  /// Another attempt has replaced this one, although this one may still run.
  bool is_replaced = false;
  /// Whether the task is queued again after a stop.
  bool is_requeued_after_stop = false;
  bool is_preempted = false;
};

/// Tasks that were started again although an earlier attempt may still run on a
/// worker that has not responded.
struct UnconfirmedWork {
  TeamId team;
  Resources need;  ///< Of all these tasks.
  std::int64_t tasks = 0;
  TimePoint until;
};

enum class CommandKind : std::uint8_t {
  kNone,
  kAttach,
  kStart,
  kStop,
  kHeartbeat
};

/// The state of a worker of the shard.
struct WorkerRecord {
  placement::Worker worker;
  bool is_listed = true;
  bool is_leaving = false;
  bool is_attached = false;
  bool is_unreachable = false;
  CommandKind in_flight = CommandKind::kNone;
  int consecutive_failures = 0;
  TimePoint unreachable_since;
  TimePoint next_contact;
  std::chrono::milliseconds worker_clock{};  ///< Read at `clock_read_at`.
  TimePoint clock_read_at;
  std::set<TaskId> attempts;
  std::vector<TaskId> to_start;
  std::vector<TaskId> starts_in_flight;  ///< In the command in flight.
  std::vector<TaskId> to_stop;
  std::set<TaskId> to_acknowledge;
};

}  // namespace shallotbank::scheduling
