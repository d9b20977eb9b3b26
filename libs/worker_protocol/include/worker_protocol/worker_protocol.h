#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::worker_protocol {

/// What a worker says of one task.
enum class WorkerTaskState { kRunning, kFinished, kFailed, kExpired };

struct WorkerTask {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Resources usage;  ///< Reported, with a lag.
};

/// The answer to attach, heartbeat and stop.
struct WorkerReport {
  std::chrono::milliseconds worker_now{};  ///< The worker's own clock.
  std::vector<WorkerTask> tasks;
};

struct TaskStart {
  TaskId task;
  Resources resources;
  Duration lease{};
  Duration run_time{};
};

enum class StartResult { kStarted, kAlreadyThere, kRefused };

struct TaskStartResult {
  TaskId task;
  StartResult result = StartResult::kRefused;
};

/// A worker's answer could not be understood.
struct WorkerProtocolError {
  std::string message;
};

auto EncodeAttach(Epoch epoch) -> std::string;
auto EncodeStart(Epoch epoch,
                 std::chrono::milliseconds not_after,
                 const std::vector<TaskStart>& tasks) -> std::string;
/// A renewal, too, carries `not_after`, so that one delayed in the network
/// cannot extend a lease that its sender counts as expired.
auto EncodeHeartbeat(Epoch epoch,
                     std::chrono::milliseconds not_after,
                     const std::vector<TaskId>& renew,
                     const std::vector<TaskId>& acknowledge) -> std::string;
auto EncodeStop(Epoch epoch, const std::vector<TaskId>& tasks) -> std::string;

/// Errors of both: `WorkerProtocolError`.
auto DecodeReport(std::string_view body) -> boost::leaf::result<WorkerReport>;
auto DecodeStartResults(std::string_view body)
    -> boost::leaf::result<std::vector<TaskStartResult>>;

/// The highest epoch that a worker has seen, from its refusal of an old one.
/// Errors: `WorkerProtocolError`.
auto DecodeHighestEpoch(std::string_view body) -> boost::leaf::result<Epoch>;

}  // namespace shallotbank::worker_protocol
