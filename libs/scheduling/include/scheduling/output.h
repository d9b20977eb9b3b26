#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "worker_protocol/worker_protocol.h"

namespace shallotbank::scheduling {

struct AttachCommand {};

struct StartCommand {
  std::vector<worker_protocol::TaskStart> tasks;
};

struct StopCommand {
  std::vector<TaskId> tasks;
};

struct HeartbeatCommand {
  std::vector<TaskId> renew;
  std::vector<TaskId> acknowledge;
};

/// A command to one worker. At most one command per worker is in flight.
struct WorkerCommand {
  WorkerId worker;
  Epoch epoch = 0;
  std::chrono::milliseconds not_after{};  ///< On the worker's clock.
  std::variant<AttachCommand, StartCommand, StopCommand, HeartbeatCommand>
      command;
  Duration timeout{};
};

/// A task that has ended permanently. The caller records it in the log.
struct TaskOutcome {
  JobId job;
  int index = 0;
  bool succeeded = false;
  std::string message;  ///< Cause of a failure; empty on success.
};

/// The actions requested by the scheduler since the last call.
struct Output {
  std::vector<WorkerCommand> commands;
  std::vector<TaskOutcome> outcomes;
  /// Cancelled jobs of which no task runs any more.
  std::vector<JobId> cancelled;
  /// Jobs that could not start before their `start_by` time.
  std::vector<JobId> expired;
};

}  // namespace shallotbank::scheduling
