#include "cell/job_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cell/records.h"

namespace shallotbank::cell {
namespace {

constexpr std::string_view kCancelSuffix = "/cancel";
/// Upper bound of a job's estimated age. Older jobs have missed every
/// objective, and an age from a wrong clock must not exceed the range of the
/// steady clock.
constexpr std::chrono::minutes kMaxJobAge(10);

/// Frees the memory, which `clear` does not.
auto Release(std::string& bytes) -> void {
  std::string().swap(bytes);
}

/// An ended job is never placed again, so only its state is needed.
auto ReleaseBytesOfEnded(StoredJob& job) -> void {
  if (IsFinal(job.state)) {
    Release(job.spec_bytes);
    Release(job.progress_bytes);
    job.segments.clear();
  }
}

/// Takes from the stored end of a job what its specification said.
auto AcceptEnded(StoredJob& job,
                 const std::string& progress_bytes,
                 TimePoint now) -> void {
  auto progress = DecodeProgress(progress_bytes);
  if (!progress || progress->queue.IsEmpty()) {
    return;  // Stored by an earlier release, which kept the specification.
  }
  job.is_accepted = true;
  job.queue = std::move(progress->queue);
  job.organisation = std::move(progress->organisation);
  job.accepted_at = now;
}

}  // namespace

auto JobTable::CancelKey(const JobId& id) -> std::string {
  return id.Text() + std::string(kCancelSuffix);
}

auto JobTable::IsWaiting(const StoredJob& job) const -> bool {
  return job.is_accepted && job.state == JobState::kQueued;
}

auto JobTable::UpdateWaitingCount(const StoredJob& job, bool was_waiting)
    -> void {
  const bool is_waiting = this->IsWaiting(job);
  if (is_waiting && !was_waiting) {
    this->waiting[job.queue]++;
  } else if (!is_waiting && was_waiting) {
    this->waiting[job.queue]--;
  }
}

auto JobTable::OnJobRecord(const std::string& key,
                           std::optional<std::string> value,
                           TimePoint now) -> const StoredJob* {
  if (key.ends_with(kCancelSuffix)) {
    const JobId id(key.substr(0, key.size() - kCancelSuffix.size()));
    if (!value) {
      return nullptr;
    }
    auto& job = this->jobs[id];
    const bool is_new = !job.is_cancel_requested;
    job.is_cancel_requested = true;
    return is_new ? &job : nullptr;
  }
  const JobId id(key);
  if (!value) {
    return nullptr;  // The end of the job may not have been read yet.
  }
  auto& job = this->jobs[id];
  if (job.is_accepted && !job.is_digest) {
    return nullptr;  // Only the first record of an ID counts.
  }
  const auto spec = DecodeJob(*value);
  if (!spec || spec->id != id) {
    this->invalid_records++;
    return nullptr;
  }
  job.spec_bytes = std::move(*value);
  if (std::exchange(job.is_digest, false)) {
    ReleaseBytesOfEnded(job);
    return nullptr;  // All else is known from the digest.
  }
  job.is_accepted = true;
  job.queue = spec->queue;
  job.organisation = spec->organisation;
  job.submitted_at = spec->submitted_at;
  job.accepted_at = now;
  this->unknown_jobs.erase(id);
  this->UpdateWaitingCount(job, false);
  ReleaseBytesOfEnded(job);
  return &job;
}

auto JobTable::OnJobDigest(const std::string& key,
                           std::optional<std::string> value,
                           TimePoint now) -> void {
  const bool is_cancel = key.ends_with(kCancelSuffix);
  const auto known = this->jobs.find(JobId(key));
  if (!is_cancel && known != this->jobs.end() && known->second.is_accepted) {
    return;  // The record, its digest or the end of the job was read before.
  }
  const auto* job = this->OnJobRecord(key, std::move(value), now);
  if (job != nullptr && !is_cancel && !IsFinal(job->state)) {
    this->jobs[JobId(key)].is_digest = true;
  }
}

auto JobTable::OnOldJobRecord(const std::string& key,
                              std::optional<std::string> value,
                              TimePoint now,
                              std::chrono::system_clock::time_point wall)
    -> const StoredJob* {
  const auto* job = this->OnJobRecord(key, std::move(value), now);
  if (job == nullptr || !job->is_accepted ||
      job->submitted_at == std::chrono::system_clock::time_point()) {
    return job;
  }
  const auto age = std::clamp<Duration>(wall - job->submitted_at,
                                        Duration::zero(), kMaxJobAge);
  this->jobs[JobId(key)].accepted_at = now - age;
  return job;
}

auto JobTable::OldestFirst() const
    -> std::vector<std::pair<JobId, const StoredJob*>> {
  std::vector<std::pair<JobId, const StoredJob*>> ordered;
  for (const auto& [id, job] : this->jobs) {
    if (job.is_accepted && !IsFinal(job.state)) {
      ordered.emplace_back(id, &job);
    }
  }
  std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) {
    return std::tie(a.second->accepted_at, a.first) <
           std::tie(b.second->accepted_at, b.first);
  });
  return ordered;
}

auto JobTable::OnProgressRecord(const std::string& key,
                                std::optional<std::string> value,
                                Offset offset,
                                TimePoint now) -> void {
  if (const auto job = JobOfSegment(key)) {
    this->OnSegmentRecord(*job, key, std::move(value), offset);
    return;
  }
  const JobId id(key);
  if (!value) {
    this->unknown_jobs.erase(id);
    const auto found = this->jobs.find(id);
    const bool is_forgotten =
        found != this->jobs.end() &&
        (!found->second.is_accepted || IsFinal(found->second.state));
    if (is_forgotten) {
      this->jobs.erase(found);
    }
    return;
  }
  const auto state = DecodeState(*value);
  if (!state) {
    this->invalid_records++;
    return;
  }
  auto& job = this->jobs[id];
  if (offset < job.progress_offset) {
    return;
  }
  job.progress_offset = offset;
  job.progress_bytes = *value;
  this->SetState(job, *state, offset, now);
  if (IsFinal(*state) && !job.is_accepted) {
    AcceptEnded(job, *value, now);
  }
  if (job.is_accepted || IsFinal(*state)) {
    this->unknown_jobs.erase(id);
  } else {
    this->unknown_jobs.insert(id);
  }
}

auto JobTable::OnProgressDigest(const std::string& key,
                                std::optional<std::string> value,
                                Offset offset,
                                TimePoint now) -> void {
  const auto state = DecodeState(value.value_or(""));
  if (state && !IsFinal(*state)) {
    this->OnStateUpdate(key, *state, offset, now);
  } else {
    this->OnProgressRecord(key, std::move(value), offset, now);
  }
}

auto JobTable::OnSegmentRecord(const JobId& id,
                               const std::string& key,
                               std::optional<std::string> value,
                               Offset offset) -> void {
  if (!value) {
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end()) {
      std::erase_if(found->second.segments, [&](const auto& entry) {
        return entry.first == key && entry.second.first <= offset;
      });
    }
    return;
  }
  if (!IsSegment(*value)) {
    this->invalid_records++;
    return;
  }
  auto& job = this->jobs[id];
  if (IsFinal(job.state)) {
    return;
  }
  auto& [known_offset, bytes] = job.segments[key];
  if (offset >= known_offset) {
    known_offset = offset;
    bytes = std::move(*value);
  }
}

auto JobTable::OnStateUpdate(const std::string& key,
                             JobState state,
                             Offset offset,
                             TimePoint now) -> bool {
  const JobId id(key);
  auto& job = this->jobs[id];
  const bool is_new = job.state_offset == 0 || job.state != state;
  if (!job.is_accepted) {
    this->unknown_jobs.insert(id);
  }
  this->SetState(job, state, offset, now);
  return is_new;
}

auto JobTable::SetState(StoredJob& job,
                        JobState state,
                        Offset offset,
                        TimePoint now) -> void {
  if (offset >= job.state_offset) {
    const bool was_waiting = this->IsWaiting(job);
    job.state = state;
    job.state_offset = offset;
    if (IsFinal(state) && job.ended_at == TimePoint()) {
      job.ended_at = now;
    }
    this->UpdateWaitingCount(job, was_waiting);
  }
  ReleaseBytesOfEnded(job);
}

auto JobTable::Find(const JobId& id) const -> const StoredJob* {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end() || !found->second.is_accepted) {
    return nullptr;
  }
  return &found->second;
}

auto JobTable::CountWaiting(const QueueName& queue) const -> std::size_t {
  const auto found = this->waiting.find(queue);
  return found == this->waiting.end() ? 0 : found->second;
}

auto JobTable::EndedBefore(TimePoint limit, std::size_t max_count) const
    -> std::vector<JobId> {
  std::vector<JobId> ended;
  for (const auto& [id, job] : this->jobs) {
    if (ended.size() == max_count) {
      break;
    }
    if (job.ended_at != TimePoint() && job.ended_at < limit) {
      ended.push_back(id);
    }
  }
  return ended;
}

}  // namespace shallotbank::cell
