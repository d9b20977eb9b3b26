#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "journal/record_outcome.h"
#include "journal/records.h"
#include "journal/replica_limits.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

enum class JobState { kAccepted, kCancelRequested, kFinished };

/// The final result of a task.
struct TaskResult {
  WorkOutcome outcome = WorkOutcome::kSucceeded;
  std::int64_t attempt = 1;
  std::string message;

  auto operator==(const TaskResult&) const -> bool = default;
};

/// The state of a job as recorded in the log.
struct Job {
  JobSpec spec;
  JobState state = JobState::kAccepted;
  Offset accepted_offset = 0;
  WallTime accepted_at;
  /// Results by task index. Cleared when the job finishes; the counts are kept.
  std::map<std::int64_t, TaskResult> tasks;
  std::int64_t succeeded = 0;
  std::int64_t failed = 0;
  std::int64_t cancelled = 0;
  /// The fields below are set when the job finishes.
  WorkOutcome outcome = WorkOutcome::kSucceeded;
  std::string reason;
  WallTime finished_at;

  auto operator==(const Job&) const -> bool = default;
};

/// All unfinished jobs, and finished jobs up to a maximum age and number.
class JobTable {
 public:
  explicit JobTable(const ReplicaLimits& limits) : limits(limits) {}

  auto Find(const JobId& id) const -> const Job*;
  /// The job that `team` submitted with this idempotency key.
  auto FindByKey(const TeamId& team, const std::string& idempotency_key) const
      -> const Job*;
  /// In the order in which the jobs were accepted.
  auto Unfinished(const ShardId& shard) const -> std::vector<const Job*>;
  /// Jobs of a team, unfinished ones first; at most `max` jobs.
  auto JobsOfTeam(const TeamId& team, std::size_t max) const
      -> std::vector<const Job*>;
  auto UnfinishedCount() const -> std::size_t {
    return this->unfinished.size();
  }
  auto FinishedCount() const -> std::size_t { return this->finished.size(); }

  auto Apply(const JobAccepted& record, Offset offset, WallTime at)
      -> RecordOutcome;
  auto Apply(const CancelRequested& record) -> RecordOutcome;
  auto Apply(const TaskFinished& record) -> RecordOutcome;
  auto Apply(const JobFinished& record, WallTime at, WallTime log_time)
      -> RecordOutcome;
  auto Expire(WallTime log_time) -> void;
  auto Save(const SnapshotSink& sink) const -> void;
  auto Load(const nlohmann::json& item) -> bool;

 private:
  struct FinishedJob {
    Job* job;
    WallTime log_time;
  };

  auto Add(Job job) -> Job*;
  auto RemoveOldestFinished() -> void;

  ReplicaLimits limits;
  std::unordered_map<JobId, Job> jobs;
  std::unordered_map<std::string, Job*> by_idempotency_key;
  // By acceptance number, which this replica assigns in the order of the log.
  std::map<std::uint64_t, Job*> unfinished;
  std::unordered_map<ShardId, std::map<std::uint64_t, Job*>>
      unfinished_by_shard;
  std::unordered_map<const Job*, std::uint64_t> acceptance_numbers;
  std::deque<FinishedJob> finished;
  std::uint64_t next_acceptance_number = 0;
  std::int64_t unfinished_tasks = 0;
};

}  // namespace shallotbank::journal
