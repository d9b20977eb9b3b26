#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace shallotbank::journal {

/// Limits on the size of the state. They affect which records are valid, so all
/// processes of a cell must use the same values.
struct ReplicaLimits {
  std::size_t max_unfinished_jobs = 200'000;
  std::int64_t max_unfinished_tasks = 1'000'000;
  std::size_t max_finished_jobs = 70'000;
  std::chrono::milliseconds finished_job_window = std::chrono::hours(24);
  std::size_t max_request_ids = 200'000;
  /// Total size of the stored response bodies. The oldest bodies are dropped
  /// first; their digests are kept.
  std::size_t max_answer_bytes = 32UL << 20U;
  /// How long the sequence numbers of an inactive writer are kept.
  std::chrono::milliseconds writer_window = std::chrono::hours(48);
};

}  // namespace shallotbank::journal
