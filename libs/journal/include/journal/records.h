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

/// Wall-clock time of a writer. For display and retention windows only; order
/// is decided by offsets alone.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// A configuration change. Valid only on the version that it was made for.
struct ConfigurationChanged {
  Offset expected_version = 0;
  std::vector<configuration::ConfigurationChange> changes;

  auto operator==(const ConfigurationChanged&) const -> bool = default;
};

/// What a job needs, copied from its profile when it was accepted, so that a
/// later change of the profile does not affect it.
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
  Resources need;  ///< Of one task.
  std::int64_t tasks = 1;
  std::int64_t attempts = 1;
  std::chrono::milliseconds lease{0};
  std::optional<std::chrono::milliseconds> patience;
  std::optional<std::chrono::milliseconds> expected_run;
  /// The caller's `Idempotency-Key`, or empty.
  std::string idempotency_key;

  auto operator==(const JobSpec&) const -> bool = default;
};

/// Valid if the id is new and the team has not used the idempotency key.
struct JobAccepted {
  JobSpec job;

  auto operator==(const JobAccepted&) const -> bool = default;
};

struct CancelRequested {
  JobId job;

  auto operator==(const CancelRequested&) const -> bool = default;
};

enum class WorkOutcome { kSucceeded, kFailed, kCancelled };

/// The terminal result of one task. The first one in the log counts.
struct TaskFinished {
  JobId job;
  std::int64_t task = 0;  ///< Index, from 0.
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

/// Valid if `supersedes` is the epoch in force, 0 if nobody owns the resource.
/// The offset of a valid claim is the new epoch.
struct Claim {
  ResourceId resource;
  ProcessId owner;
  Epoch supersedes = 0;
  /// Where peers reach the owner, as `ip:port`; their order is up to the owner.
  std::vector<std::string> addresses;

  auto operator==(const Claim&) const -> bool = default;
};

/// Valid if `owner` holds the resource at `epoch`, since an earlier batch.
struct Release {
  ResourceId resource;
  ProcessId owner;
  Epoch epoch = 0;

  auto operator==(const Release&) const -> bool = default;
};

/// A non-idempotent request that is about to be forwarded. The first intent
/// with the id in a team counts; only its writer may forward the request.
struct RequestIntent {
  TeamId team;  ///< Empty for an open queue.
  RequestId request;
  std::string digest;       ///< Of the request; tells another one apart.
  std::uint64_t token = 0;  ///< Chosen by the writer, unique within it.

  auto operator==(const RequestIntent&) const -> bool = default;
};

/// The answer to a request. Valid if it has the writer and the token of the
/// first intent, and is the first outcome.
struct RequestOutcome {
  TeamId team;
  RequestId request;
  std::uint64_t token = 0;
  int status = 0;  ///< Of HTTP.
  std::string content_type;
  std::optional<std::string>
      body;  ///< Absent if larger than `kMaxAnswerBytes`.
  std::string body_digest;

  auto operator==(const RequestOutcome&) const -> bool = default;
};

/// Moves a part of a team's limit between shards. Valid if its writer owns
/// `from` at `from_epoch` and `from` holds the amount.
struct AllotmentMoved {
  TeamId team;
  ShardId from;
  ShardId to;
  configuration::Limit amount;
  Epoch from_epoch = 0;

  auto operator==(const AllotmentMoved&) const -> bool = default;
};

/// One part of a snapshot of all live facts.
struct SnapshotPiece {
  std::uint64_t snapshot = 0;  ///< Chosen by the writer, unique within it.
  Offset covers = 0;           ///< The last offset that is folded into it.
  std::int64_t index = 0;
  std::int64_t count = 1;  ///< Pieces of this snapshot.
  std::shared_ptr<const nlohmann::json> items;
};

/// A record that this release does not know or cannot read.
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

/// What one append writes.
struct Batch {
  ProcessId writer;
  std::uint64_t sequence = 0;  ///< Counts the batches of the writer, from 1.
  WallTime written_at;
  std::vector<Record> records;
};

/// Largest answer body that is kept in the log.
inline constexpr std::size_t kMaxAnswerBytes = 16UL << 10U;

}  // namespace shallotbank::journal
