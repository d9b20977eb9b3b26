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

/// A command to one worker; a worker gets one at a time.
struct WorkerCommand {
  WorkerId worker;
  Epoch epoch = 0;
  std::chrono::milliseconds not_after{};  ///< In the worker's clock.
  std::variant<AttachCommand, StartCommand, StopCommand, HeartbeatCommand>
      command;
  Duration timeout{};
};

/// A task has ended for good; to be recorded in the log.
struct TaskOutcome {
  JobId job;
  int index = 0;
  bool succeeded = false;
  std::string message;  ///< Why it failed; empty on success.
};

/// What the scheduler wants done since the last call.
struct Output {
  std::vector<WorkerCommand> commands;
  std::vector<TaskOutcome> outcomes;
  /// Cancelled jobs of which nothing runs any more.
  std::vector<JobId> cancelled;
  /// Jobs that could not start in time.
  std::vector<JobId> expired;
};

}  // namespace shallotbank::scheduling
