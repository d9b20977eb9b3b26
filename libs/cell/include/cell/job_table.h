#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cell/job.h"

namespace shallotbank::cell {

/// What the store contains about a job.
struct StoredJob {
  /// Empty until the specification has been read, and once the job has ended.
  std::string spec_bytes;
  /// Empty until progress has been read, and once the job has ended.
  std::string progress_bytes;
  Offset progress_offset = 0;  ///< Of the record that contains the progress.
  /// Segments of the progress by key, each with the offset of its record. Empty
  /// once the job has ended.
  std::map<std::string, std::pair<Offset, std::string>> segments;
  JobState state = JobState::kQueued;
  Offset state_offset = 0;  ///< Of the record that contains the state.
  /// The specification has been read, its digest, or the end of the job.
  bool is_accepted = false;
  /// `spec_bytes` is a digest, which lacks the steps.
  bool is_digest = false;
  QueueName queue;
  OrganisationId organisation;
  bool is_cancel_requested = false;
  /// By the clock of the host that accepted the job.
  std::chrono::system_clock::time_point submitted_at;
  /// When the job was accepted; estimated if its record was already in the
  /// topic when this host started.
  TimePoint accepted_at;
  TimePoint ended_at;  ///< When this host learned of the final state.

  auto State() const -> JobState { return this->state; }
};

/// The jobs in the store, built from the records of its topics. Records are
/// kept in their encoded form, so a host that only answers queries decodes
/// little. Of an ended job only what callers ask for is kept. Not thread-safe.
class JobTable {
 public:
  /// Key of a cancellation request in the topic of jobs.
  static auto CancelKey(const JobId& id) -> std::string;

  /// Handles a new record of the topic of jobs; no value means that the key was
  /// removed, which happens once the end of the job is stored. Returns the job
  /// if it is new or its cancellation is newly requested, otherwise null.
  auto OnJobRecord(const std::string& key,
                   std::optional<std::string> value,
                   TimePoint now) -> const StoredJob*;
  /// The same for a record that was appended some time ago. Its age is
  /// estimated from the time of day, `wall`, because the clock of the
  /// submitting host may have jumped since.
  auto OnOldJobRecord(const std::string& key,
                      std::optional<std::string> value,
                      TimePoint now,
                      std::chrono::system_clock::time_point wall)
      -> const StoredJob*;
  /// The same for the digest of a record, see DigestJobRecord. The record
  /// itself replaces it.
  auto OnJobDigest(const std::string& key,
                   std::optional<std::string> value,
                   TimePoint now) -> void;
  /// Handles a record of the topic of progress, also a segment; no value means
  /// that the job is forgotten, or the segment. A record older than the known
  /// progress of the job is ignored, because the leader's progress updates
  /// arrive before their records are read.
  auto OnProgressRecord(const std::string& key,
                        std::optional<std::string> value,
                        Offset offset,
                        TimePoint now) -> void;

  /// The same for the digest of a record, see DigestProgressRecord.
  auto OnProgressDigest(const std::string& key,
                        std::optional<std::string> value,
                        Offset offset,
                        TimePoint now) -> void;

  /// Handles a change of state that the leader sent. Unlike a record, it
  /// carries no progress of the tasks; that is known only from the topic.
  /// Returns whether the state is new.
  auto OnStateUpdate(const std::string& key,
                     JobState state,
                     Offset offset,
                     TimePoint now) -> bool;

  /// Returns the job if it was accepted, otherwise null.
  auto Find(const JobId& id) const -> const StoredJob*;
  /// Whether the job's progress was read or a change of its state received, but
  /// neither its specification nor the record of its end was read.
  auto IsIncomplete(const JobId& id) const -> bool {
    return this->unknown_jobs.contains(id);
  }
  /// Whether progress was read for a job that has not ended and whose
  /// specification was not read yet: reading of the topic of jobs lags behind
  /// that of progress.
  auto HasProgressOfUnknownJobs() const -> bool {
    return !this->unknown_jobs.empty();
  }
  /// Number of accepted jobs in the queue without any started task.
  auto CountWaiting(const QueueName& queue) const -> std::size_t;
  auto Jobs() const -> const std::unordered_map<JobId, StoredJob>& {
    return this->jobs;
  }
  /// Returns up to `max_count` jobs that ended before `limit`.
  auto EndedBefore(TimePoint limit, std::size_t max_count) const
      -> std::vector<JobId>;
  /// Returns the accepted jobs that have not ended, oldest first.
  auto OldestFirst() const -> std::vector<std::pair<JobId, const StoredJob*>>;
  /// Number of records that could not be decoded.
  auto InvalidRecords() const -> std::size_t { return this->invalid_records; }

 private:
  auto OnSegmentRecord(const JobId& id,
                       const std::string& key,
                       std::optional<std::string> value,
                       Offset offset) -> void;
  auto SetState(StoredJob& job, JobState state, Offset offset, TimePoint now)
      -> void;
  auto IsWaiting(const StoredJob& job) const -> bool;
  auto UpdateWaitingCount(const StoredJob& job, bool was_waiting) -> void;

  std::unordered_map<JobId, StoredJob> jobs;
  std::unordered_map<QueueName, std::size_t> waiting;
  /// Jobs that exist and are not accepted yet, see `IsIncomplete`.
  std::unordered_set<JobId> unknown_jobs;
  std::size_t invalid_records = 0;
};

}  // namespace shallotbank::cell
