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

/// Task state as reported by a worker.
enum class WorkerTaskState { kRunning, kFinished, kFailed, kExpired };

struct WorkerTask {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Resources usage;  ///< Last reported use; may be out of date.
};

/// Response to attach, heartbeat and stop commands.
struct WorkerReport {
  std::chrono::milliseconds worker_now{};  ///< Time by the worker's clock.
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

/// A worker's response was malformed.
struct WorkerProtocolError {
  std::string message;
};

auto EncodeAttach(Epoch epoch) -> std::string;
auto EncodeStart(Epoch epoch,
                 std::chrono::milliseconds not_after,
                 const std::vector<TaskStart>& tasks) -> std::string;
/// Renewals carry `not_after` as well, so that a heartbeat delayed in the
/// network cannot extend a lease that the sender considers expired.
auto EncodeHeartbeat(Epoch epoch,
                     std::chrono::milliseconds not_after,
                     const std::vector<TaskId>& renew,
                     const std::vector<TaskId>& acknowledge) -> std::string;
auto EncodeStop(Epoch epoch, const std::vector<TaskId>& tasks) -> std::string;

/// Both functions fail with `WorkerProtocolError`.
auto DecodeReport(std::string_view body) -> boost::leaf::result<WorkerReport>;
auto DecodeStartResults(std::string_view body)
    -> boost::leaf::result<std::vector<TaskStartResult>>;

/// Decodes the highest epoch that a worker has seen from the response in which
/// it rejects an older epoch. Fails with `WorkerProtocolError`.
auto DecodeHighestEpoch(std::string_view body) -> boost::leaf::result<Epoch>;

}  // namespace shallotbank::worker_protocol
