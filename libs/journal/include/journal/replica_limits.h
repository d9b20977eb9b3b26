#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace shallotbank::journal {

/// Bounds of the state. They decide which records are valid, so all processes
/// of a cell must use the same.
struct ReplicaLimits {
  std::size_t max_unfinished_jobs = 200'000;
  std::int64_t max_unfinished_tasks = 1'000'000;
  std::size_t max_finished_jobs = 70'000;
  std::chrono::milliseconds finished_job_window = std::chrono::hours(24);
  std::size_t max_request_ids = 200'000;
  /// Sum of the answer bodies kept; the oldest go first, their digests stay.
  std::size_t max_answer_bytes = 32UL << 20U;
  /// How long the sequences of a silent writer are remembered.
  std::chrono::milliseconds writer_window = std::chrono::hours(48);
};

}  // namespace shallotbank::journal
