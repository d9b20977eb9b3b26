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

/// A job of the shard.
struct JobRecord {
  JobSpec spec;
  std::vector<TaskState> states;
  std::vector<int> waiting;  ///< Indices of waiting tasks, last one first out.
  std::vector<int> runs;     ///< Failed runs by index.
  std::map<int, std::vector<WorkerId>> failed_on;
  std::map<int, TaskId> current;  ///< Attempts by index, replaced ones apart.
  std::set<TaskId> replaced;
  int active = 0;
  int ended = 0;
  bool is_cancelled = false;
  bool is_cancel_reported = false;
  /// Not in the queue: one of its waiting tasks may run on a worker that has
  /// not answered since the change of owner.
  bool is_held = false;
};

enum class AttemptState : std::uint8_t {
  kStarting,
  kRunning,
  kStopping,
  kEnding
};

/// One run of one task on one worker.
struct Attempt {
  TaskId id;
  JobId job;
  int index = 0;
  WorkerId worker;
  AttemptState state = AttemptState::kStarting;
  bool is_sent = false;  ///< A start may have reached the worker.
  /// A start that was sent cannot take effect after this.
  TimePoint start_valid_until;
  /// The worker has certainly stopped the task by then unless it is renewed.
  TimePoint lease_bound;
  /// Another attempt has replaced this one, which may still run.
  bool is_replaced = false;
  /// What becomes of the task after a stop.
  bool is_requeued_after_stop = false;
  bool is_urgent_victim = false;
};

/// Tasks that were started again although an earlier attempt may still run on
/// a worker that has not answered.
struct UnseenWork {
  TeamId team;
  Resources need;  ///< Of all of them.
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

/// A worker of the shard.
struct WorkerRecord {
  placement::Worker worker;
  bool is_listed = true;
  bool is_leaving = false;
  bool is_attached = false;
  bool is_unreachable = false;
  CommandKind in_flight = CommandKind::kNone;
  int misses = 0;
  TimePoint unreachable_since;
  TimePoint next_contact;
  std::chrono::milliseconds clock{};  ///< The worker's, at `clock_read_at`.
  TimePoint clock_read_at;
  std::set<TaskId> attempts;
  std::vector<TaskId> to_start;
  std::vector<TaskId> starting;  ///< Named in the start that is in flight.
  std::vector<TaskId> to_stop;
  std::set<TaskId> to_acknowledge;
};

}  // namespace shallotbank::scheduling
