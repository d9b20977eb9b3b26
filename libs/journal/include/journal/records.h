#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/ids.h"
#include "base/resources.h"
#include "configuration/configuration_change.h"
#include "configuration/items.h"

namespace shallotbank::journal {

/// Wall-clock time of a writer. Used only for display and retention windows;
/// records are ordered by their offsets alone.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// A configuration change. Valid only if `expected_version` is the version in
/// force.
struct ConfigurationChanged {
  Offset expected_version = 0;
  std::vector<configuration::ConfigurationChange> changes;

  auto operator==(const ConfigurationChanged&) const -> bool = default;
};

/// The requirements of a job, copied from its profile on acceptance so that
/// later changes of the profile do not affect it.
struct JobSpec {
  JobId id;
  TeamId team;
  ProfileName profile;
  QueueName queue;
  ShardId shard;
  configuration::JobClass job_class = configuration::JobClass::kBatch;
  configuration::Priority priority = configuration::Priority::kNormal;
  bool idempotent = false;
  bool single_run = false;
  configuration::UrgentConcessions allow;
  Resources need;  ///< Per task.
  std::int64_t tasks = 1;
  std::int64_t attempts = 1;
  std::chrono::milliseconds lease{0};
  std::optional<std::chrono::milliseconds> patience;
  std::optional<std::chrono::milliseconds> expected_run;
  /// The caller's `Idempotency-Key`, or empty.
  std::string idempotency_key;

  auto operator==(const JobSpec&) const -> bool = default;
};

/// Valid if the job id is new and the team has not used the idempotency key
/// before.
struct JobAccepted {
  JobSpec job;

  auto operator==(const JobAccepted&) const -> bool = default;
};

struct CancelRequested {
  JobId job;

  auto operator==(const CancelRequested&) const -> bool = default;
};

enum class WorkOutcome { kSucceeded, kFailed, kCancelled };

/// The final result of one task. Only the first one in the log takes effect.
struct TaskFinished {
  JobId job;
  std::int64_t task = 0;  ///< Index, starting at 0.
  WorkOutcome outcome = WorkOutcome::kSucceeded;
  std::int64_t attempt = 1;
  std::string message;

  auto operator==(const TaskFinished&) const -> bool = default;
};

struct JobFinished {
  JobId job;
  WorkOutcome outcome = WorkOutcome::kSucceeded;
  std::string reason;

  auto operator==(const JobFinished&) const -> bool = default;
};

/// Valid if `supersedes` is the epoch in force, or 0 if the resource has no
/// owner. The offset of a valid claim becomes the new epoch.
struct Claim {
  ResourceId resource;
  ProcessId owner;
  Epoch supersedes = 0;
  /// Addresses as `ip:port` at which peers reach the owner; the owner decides
  /// their order.
  std::vector<std::string> addresses;

  auto operator==(const Claim&) const -> bool = default;
};

/// Valid if `owner` has held the resource at `epoch` since an earlier batch.
struct Release {
  ResourceId resource;
  ProcessId owner;
  Epoch epoch = 0;

  auto operator==(const Release&) const -> bool = default;
};

/// A non-idempotent request that is about to be forwarded. Only the first
/// intent for a request id in a team is valid, and only its writer may forward
/// the request.
struct RequestIntent {
  TeamId team;  ///< Empty for an open queue.
  RequestId request;
  std::string digest;       ///< Detects another request with the same id.
  std::uint64_t token = 0;  ///< Unique per writer.

  auto operator==(const RequestIntent&) const -> bool = default;
};

/// The response to a request. Valid if it has the writer and the token of the
/// first intent and is the first outcome.
struct RequestOutcome {
  TeamId team;
  RequestId request;
  std::uint64_t token = 0;
  int status = 0;  ///< HTTP status code.
  std::string content_type;
  /// Absent if larger than `kMaxAnswerBytes`.
  std::optional<std::string> body;
  std::string body_digest;

  auto operator==(const RequestOutcome&) const -> bool = default;
};

/// Moves part of a team's limit between shards. Valid if its writer owns `from`
/// at `from_epoch` and the allotment of `from` covers the amount.
struct AllotmentMoved {
  TeamId team;
  ShardId from;
  ShardId to;
  configuration::Limit amount;
  Epoch from_epoch = 0;

  auto operator==(const AllotmentMoved&) const -> bool = default;
};

/// One piece of a snapshot of the live state.
struct SnapshotPiece {
  std::uint64_t snapshot = 0;  ///< Unique per writer.
  Offset covers = 0;           ///< The last offset that it includes.
  std::int64_t index = 0;
  std::int64_t count = 1;  ///< Number of pieces of this snapshot.
  std::shared_ptr<const nlohmann::json> items;
};

/// A record whose type is unknown to this release or that is malformed.
struct SkippedRecord {
  std::string type;
  bool is_unknown_type = false;
  std::string field;  ///< Such as `records[2].owner`.
  std::string message;
};

using Record = std::variant<ConfigurationChanged,
                            JobAccepted,
                            CancelRequested,
                            TaskFinished,
                            JobFinished,
                            Claim,
                            Release,
                            RequestIntent,
                            RequestOutcome,
                            AllotmentMoved,
                            SnapshotPiece,
                            SkippedRecord>;

/// The records written by one append.
struct Batch {
  ProcessId writer;
  std::uint64_t sequence = 0;  ///< Batch number of the writer, from 1.
  WallTime written_at;
  std::vector<Record> records;
};

/// Maximum size of a response body that is stored in the log.
inline constexpr std::size_t kMaxAnswerBytes = 16UL << 10U;

}  // namespace shallotbank::journal
