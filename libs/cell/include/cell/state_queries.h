#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cell/job.h"
#include "cell/job_table.h"

namespace shallotbank::cell {

/// The longest time for which the answer to a query about a running job is
/// delayed.
inline constexpr std::chrono::milliseconds kMaxStateWait{400};
/// The same for a job that this host does not know. Above the time in which an
/// observer reads what its standby has read since the query.
inline constexpr std::chrono::milliseconds kMaxUnknownJobWait{1500};

/// Queries for the state of jobs that have not ended or that this host does not
/// know. The answer about a running job waits for a short time for its end,
/// because callers ask most often about jobs that are about to end and would
/// otherwise learn of it at their next query. Answers the load of short jobs
/// with tight objectives.
///
/// The answer about an unknown job waits until the topic of jobs has been read
/// as of the time of the query: another host may have accepted the job since
/// the last read. Not thread-safe.
template <typename Responder>
class StateQueries {
 public:
  /// Adds a query that arrived at `now` from a caller that waits for `patience`
  /// at most. Returns false if the query must be answered at once; `responder`
  /// is then unchanged.
  auto Add(const JobId& job,
           Duration patience,
           TimePoint now,
           Responder&& responder) -> bool {
    if (this->queries.size() >= kMaxQueries || patience <= Duration::zero()) {
      return false;
    }
    this->queries.push_back({job, now, now + patience, std::move(responder)});
    return true;
  }

  /// Removes and returns the queries about jobs that have ended or do not
  /// exist, and those that have waited long enough. The topic of jobs has been
  /// read as of `jobs_as_of`.
  auto TakeDue(const JobTable& jobs, TimePoint jobs_as_of, TimePoint now)
      -> std::vector<std::pair<JobId, Responder>> {
    std::vector<std::pair<JobId, Responder>> due;
    std::erase_if(this->queries, [&](Query& query) {
      const bool is_due =
          now >= query.answer_at || IsDecided(query, jobs, jobs_as_of, now);
      if (is_due) {
        due.emplace_back(std::move(query.job), std::move(query.responder));
      }
      return is_due;
    });
    return due;
  }

  /// Makes all queries due, because this host stops.
  auto Expire() -> void {
    for (auto& query : this->queries) {
      query.answer_at = TimePoint();
    }
  }

 private:
  struct Query {
    JobId job;
    TimePoint arrived_at;
    TimePoint answer_at;  ///< At the latest.
    Responder responder;
  };

  static auto IsDecided(const Query& query,
                        const JobTable& jobs,
                        TimePoint jobs_as_of,
                        TimePoint now) -> bool {
    const auto* job = jobs.Find(query.job);
    if (job != nullptr) {
      return IsFinal(job->State()) || now >= query.arrived_at + kMaxStateWait;
    }
    return now >= query.arrived_at + kMaxUnknownJobWait ||
           (jobs_as_of >= query.arrived_at && !jobs.IsIncomplete(query.job));
  }

  /// Bounds the open requests of a host; beyond it queries do not wait.
  static constexpr std::size_t kMaxQueries = 1000;

  std::vector<Query> queries;
};

}  // namespace shallotbank::cell
