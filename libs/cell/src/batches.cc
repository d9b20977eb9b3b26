#include <algorithm>
#include <utility>

#include "cell/records.h"
#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// Well below the maximum size of one store call.
constexpr std::size_t kMaxBatchBytes = 512 << 10;
/// Maximum number of batches in flight. A second one halves the time that a
/// decision waits for the store; more would only make the batches smaller.
constexpr std::size_t kMaxPendingBatches = 2;
/// Upper bound of the encoded size of one task. Checkpoints are bounded where
/// they are read.
constexpr std::size_t kMaxTaskBytes = 128;
/// Share of the longest record that a job's record or a segment may take, as a
/// divisor. Smaller segments mean that a change rewrites less.
constexpr std::size_t kRecordShare = 2;

}  // namespace

auto Scheduler::Core::ToProgress(const LiveJob& job) const -> JobProgress {
  JobProgress progress;
  progress.state = job.state;
  progress.next_occurrence = job.next_occurrence;
  if (IsFinal(job.state)) {
    progress.queue = job.spec.queue;
    progress.organisation = job.spec.organisation;
    return progress;
  }
  for (const auto& occurrence : job.occurrences) {
    if (job.IsOver(occurrence)) {
      continue;
    }
    auto& stored = progress.occurrences.emplace_back();
    stored.number = occurrence.number;
    stored.segment_size = occurrence.segment_size;
    if (occurrence.segment_size > 0) {
      continue;
    }
    for (const auto& step : occurrence.steps) {
      auto& tasks = stored.steps.emplace_back();
      for (const auto& task : step.tasks) {
        tasks.push_back(task.persistent);
      }
    }
  }
  return progress;
}

auto Scheduler::Core::EncodeProgressOf(LiveJob& job) const -> std::string {
  const auto limit = this->options.max_record_bytes / kRecordShare;
  auto record = EncodeProgress(this->ToProgress(job));
  if (record.size() <= limit) {
    return record;
  }
  for (auto& occurrence : job.occurrences) {
    if (occurrence.segment_size == 0) {
      occurrence.segment_size = std::max<std::size_t>(1, limit / kMaxTaskBytes);
    }
  }
  return EncodeProgress(this->ToProgress(job));
}

auto Scheduler::Core::AddSegments(LiveJob& job, ProgressBatch& batch) -> void {
  for (auto& occurrence : job.occurrences) {
    if (occurrence.segment_size == 0) {
      continue;
    }
    const auto key = [&](std::size_t number) {
      return SegmentKey(job.spec.id, occurrence.number, number);
    };
    auto& stored = occurrence.stored_segments;
    if (IsFinal(job.state) || job.IsOver(occurrence)) {
      for (std::size_t i = 0; i < stored.size(); i++) {
        batch.segments.emplace_back(key(i), std::nullopt);
      }
      stored.clear();
      continue;
    }
    std::vector<std::vector<TaskProgress>> segments;
    for (const auto& step : occurrence.steps) {
      for (const auto& task : step.tasks) {
        if (segments.empty() ||
            segments.back().size() == occurrence.segment_size) {
          segments.emplace_back();
        }
        segments.back().push_back(task.persistent);
      }
    }
    stored.resize(segments.size());
    for (std::size_t i = 0; i < segments.size(); i++) {
      if (segments[i] != stored[i]) {
        batch.segments.emplace_back(key(i), EncodeSegment(segments[i]));
        stored[i] = std::move(segments[i]);
      }
    }
  }
}

auto Scheduler::Core::AddUnstoredCompletions(PendingBatch& batch) -> void {
  std::erase_if(this->unstored_completions, [&](const WorkerId& id) {
    const auto found = this->workers.find(id);
    if (found == this->workers.end() ||
        found->second.completions_seen <= found->second.completions_stored) {
      return true;
    }
    const auto& worker = found->second;
    batch.completions.emplace_back(WorkerIncarnation{id, worker.born_unix_ms},
                                   worker.completions_seen);
    return false;
  });
}

auto Scheduler::Core::BuildBatch() -> std::optional<ProgressBatch> {
  if (this->pending_batches.size() >= kMaxPendingBatches) {
    return std::nullopt;
  }
  if (this->dirty_jobs.empty()) {
    if (this->pending_batches.empty()) {  // No job record changes.
      for (const auto& id : std::exchange(this->unstored_completions, {})) {
        const auto found = this->workers.find(id);
        if (found != this->workers.end()) {
          found->second.completions_stored = found->second.completions_seen;
        }
      }
    }
    return std::nullopt;
  }
  ProgressBatch batch;
  batch.sequence = this->next_sequence++;
  auto& pending = this->pending_batches[batch.sequence];
  std::size_t bytes = 0;
  std::size_t job_count = 0;
  for (auto* job : this->dirty_jobs) {
    if (bytes > kMaxBatchBytes) {
      break;
    }
    job_count++;
    job->is_dirty = false;
    for (auto& occurrence : job->occurrences) {
      for (auto& step : occurrence.steps) {
        for (auto& task : step.tasks) {
          if (task.stage == RunStage::kStoring && task.batch == 0) {
            task.batch = batch.sequence;
            task.persistent.assigned_at.batch = batch.sequence;
          }
        }
      }
    }
    auto record = this->EncodeProgressOf(*job);
    const auto first_segment = batch.segments.size();
    AddSegments(*job, batch);
    bytes += record.size();
    for (auto i = first_segment; i < batch.segments.size(); i++) {
      bytes += batch.segments[i].second.value_or("").size();
    }
    pending.jobs.push_back(job->spec.id);
    batch.records.emplace_back(job->spec.id, std::move(record));
  }
  const bool has_all_jobs = job_count == this->dirty_jobs.size();
  this->dirty_jobs.erase(
      this->dirty_jobs.begin(),
      this->dirty_jobs.begin() + static_cast<std::ptrdiff_t>(job_count));
  if (has_all_jobs) {
    this->AddUnstoredCompletions(pending);
  }
  return batch;
}

auto Scheduler::Core::OnStored(std::uint64_t sequence, TimePoint now) -> void {
  const auto pending = this->pending_batches.extract(sequence);
  if (pending.empty()) {
    return;
  }
  for (const auto& id : pending.mapped().jobs) {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
      continue;
    }
    for (auto& occurrence : found->second->occurrences) {
      for (auto& step : occurrence.steps) {
        for (auto& task : step.tasks) {
          if (task.stage == RunStage::kStoring && task.batch == sequence) {
            task.stage = RunStage::kStarting;
            task.next_send = now;
            this->ExpectOrder(task);
          }
        }
      }
    }
    ForgetOccurrences(*found->second);
  }
  for (const auto& [incarnation, number] : pending.mapped().completions) {
    const auto found = this->workers.find(incarnation.id);
    if (found != this->workers.end() &&
        found->second.born_unix_ms == incarnation.born_unix_ms) {
      auto& worker = found->second;
      worker.completions_stored = std::max(worker.completions_stored, number);
      worker.next_poll = std::min(worker.next_poll, now);
    }
  }
}

}  // namespace shallotbank::cell
