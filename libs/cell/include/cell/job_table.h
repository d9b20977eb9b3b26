#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cell/job.h"

namespace shallotbank::cell {

/// What the store holds of a job.
struct StoredJob {
  std::string spec_bytes;      ///< Empty while only other records were seen.
  std::string progress_bytes;  ///< Empty before the first progress.
  Offset progress_offset = 0;  ///< Of the record that holds it.
  QueueName queue;
  OrganisationId organisation;
  bool is_cancel_asked = false;
  /// By the clock of the host that took the job in.
  std::chrono::system_clock::time_point submitted_at;
  /// When it was taken in; estimated if the record was there before us.
  TimePoint accepted_at;
  TimePoint ended_at;  ///< When the final state was seen here.

  auto State() const -> JobState;
};

/// The jobs that the store holds, folded from its records. It keeps records in
/// their stored form; a host that only answers queries decodes little. Not safe
/// for use by several threads.
class JobTable {
 public:
  /// Key of a request to cancel in the topic of jobs.
  static auto CancelKey(const JobId& id) -> std::string;

  /// A record of the topic of jobs that was appended just now; empty if the
  /// key was dropped. Returns the job if it is new or was asked to be cancelled
  /// just now.
  auto OnJobRecord(const std::string& key,
                   std::optional<std::string> value,
                   TimePoint now) -> const StoredJob*;
  /// The same for a record that was appended some time ago; how long is
  /// estimated by the time of day, `wall`, because the submitting host's clock
  /// may have jumped since.
  auto OnOldJobRecord(const std::string& key,
                      std::optional<std::string> value,
                      TimePoint now,
                      std::chrono::system_clock::time_point wall)
      -> const StoredJob*;
  /// A record of the topic of progress. One that is older than what is known of
  /// the job is ignored: the leader tells its news before they are read.
  auto OnProgressRecord(const std::string& key,
                        std::optional<std::string> value,
                        Offset offset,
                        TimePoint now) -> void;

  /// The job, if it was accepted.
  auto Find(const JobId& id) const -> const StoredJob*;
  /// Whether there is progress of a job that has not ended and whose own record
  /// was not read yet: the topic of jobs is behind that of progress.
  auto HasProgressOfUnknownJobs() const -> bool {
    return !this->unknown_jobs.empty();
  }
  /// Accepted jobs of the queue of which no task has started.
  auto CountWaiting(const QueueName& queue) const -> std::size_t;
  auto Jobs() const -> const std::unordered_map<JobId, StoredJob>& {
    return this->jobs;
  }
  /// At most `most` jobs that ended before `limit`.
  auto EndedBefore(TimePoint limit, std::size_t most) const
      -> std::vector<JobId>;
  /// All accepted jobs, the oldest first.
  auto OldestFirst() const -> std::vector<std::pair<JobId, const StoredJob*>>;
  /// Number of records that could not be read.
  auto InvalidRecords() const -> std::size_t { return this->invalid_records; }

 private:
  auto IsWaiting(const StoredJob& job) const -> bool;
  auto Recount(const StoredJob& job, bool was_waiting) -> void;

  std::unordered_map<JobId, StoredJob> jobs;
  std::unordered_map<QueueName, std::size_t> waiting;
  std::unordered_set<JobId> unknown_jobs;  ///< With progress, not ended.
  std::size_t invalid_records = 0;
};

}  // namespace shallotbank::cell
