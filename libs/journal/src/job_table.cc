#include "journal/job_table.h"

#include <algorithm>
#include <array>

#include "field_reader.h"
#include "record_fields.h"

namespace shallotbank::journal {
namespace {

using nlohmann::json;

constexpr EnumNames<JobState, 3> kJobStateNames{
    {{JobState::kAccepted, "accepted"},
     {JobState::kCancelRequested, "cancel-requested"},
     {JobState::kFinished, "finished"}}};
constexpr std::int64_t kMaxTaskIndex = 1'000'000;

auto IdempotencyMapKey(const TeamId& team, const std::string& key)
    -> std::string {
  auto text = team.Text();
  text += '\0';
  text += key;
  return text;
}

auto CountOutcome(Job& job, WorkOutcome outcome) -> void {
  switch (outcome) {
    case WorkOutcome::kSucceeded:
      ++job.succeeded;
      break;
    case WorkOutcome::kFailed:
      ++job.failed;
      break;
    case WorkOutcome::kCancelled:
      ++job.cancelled;
      break;
  }
}

auto WriteJob(const Job& job) -> json {
  json item{{"kind", "job"},
            {"state", EnumName(kJobStateNames, job.state)},
            {"offset", job.accepted_offset},
            {"at", WriteTimestamp(job.accepted_at)}};
  WriteJobSpec(job.spec, item);
  return item;
}

}  // namespace

auto JobTable::Find(const JobId& id) const -> const Job* {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

auto JobTable::FindByKey(const TeamId& team,
                         const std::string& idempotency_key) const
    -> const Job* {
  const auto found =
      this->by_idempotency_key.find(IdempotencyMapKey(team, idempotency_key));
  return found == this->by_idempotency_key.end() ? nullptr : found->second;
}

auto JobTable::Unfinished(const ShardId& shard) const
    -> std::vector<const Job*> {
  std::vector<const Job*> result;
  const auto found = this->unfinished_by_shard.find(shard);
  if (found == this->unfinished_by_shard.end()) {
    return result;
  }
  result.reserve(found->second.size());
  for (const auto& [acceptance_number, job] : found->second) {
    result.push_back(job);
  }
  return result;
}

auto JobTable::JobsOfTeam(const TeamId& team, std::size_t max) const
    -> std::vector<const Job*> {
  std::vector<const Job*> result;
  const auto add = [&](const Job* job) {
    if (result.size() < max && job->spec.team == team) {
      result.push_back(job);
    }
  };
  for (const auto& [acceptance_number, job] : this->unfinished) {
    add(job);
  }
  for (auto entry = this->finished.rbegin(); entry != this->finished.rend();
       ++entry) {
    add(entry->job);
  }
  return result;
}

auto JobTable::Add(Job job) -> Job* {
  const auto id = job.spec.id;
  auto* stored = &this->jobs.emplace(id, std::move(job)).first->second;
  if (!stored->spec.idempotency_key.empty()) {
    this->by_idempotency_key.emplace(
        IdempotencyMapKey(stored->spec.team, stored->spec.idempotency_key),
        stored);
  }
  if (stored->state != JobState::kFinished) {
    const auto acceptance_number = this->next_acceptance_number++;
    this->unfinished.emplace(acceptance_number, stored);
    this->unfinished_by_shard[stored->spec.shard].emplace(acceptance_number,
                                                          stored);
    this->acceptance_numbers.emplace(stored, acceptance_number);
    this->unfinished_tasks += stored->spec.tasks;
  }
  return stored;
}

auto JobTable::Apply(const JobAccepted& record, Offset offset, WallTime at)
    -> RecordOutcome {
  const auto& spec = record.job;
  if (this->jobs.contains(spec.id)) {
    return Invalid("duplicate_job");
  }
  if (!spec.idempotency_key.empty() &&
      this->FindByKey(spec.team, spec.idempotency_key) != nullptr) {
    return Invalid("duplicate_idempotency_key");
  }
  if (this->unfinished.size() >= this->limits.max_unfinished_jobs ||
      this->unfinished_tasks + spec.tasks > this->limits.max_unfinished_tasks) {
    return Invalid("jobs_full");
  }
  Job job;
  job.spec = spec;
  job.accepted_offset = offset;
  job.accepted_at = at;
  this->Add(std::move(job));
  return kValid;
}

auto JobTable::Apply(const CancelRequested& record) -> RecordOutcome {
  const auto found = this->jobs.find(record.job);
  if (found == this->jobs.end()) {
    return Invalid("unknown_job");
  }
  auto& job = found->second;
  if (job.state != JobState::kAccepted) {
    return Invalid(job.state == JobState::kFinished ? "job_finished"
                                                    : "already_requested");
  }
  job.state = JobState::kCancelRequested;
  return kValid;
}

auto JobTable::Apply(const TaskFinished& record) -> RecordOutcome {
  const auto found = this->jobs.find(record.job);
  if (found == this->jobs.end()) {
    return Invalid("unknown_job");
  }
  auto& job = found->second;
  if (job.state == JobState::kFinished) {
    return Invalid("job_finished");
  }
  if (record.task >= job.spec.tasks) {
    return Invalid("unknown_task");
  }
  const auto is_first =
      job.tasks
          .try_emplace(record.task, TaskResult{record.outcome, record.attempt,
                                               record.message})
          .second;
  if (!is_first) {
    return Invalid("task_finished");
  }
  CountOutcome(job, record.outcome);
  return kValid;
}

auto JobTable::Apply(const JobFinished& record, WallTime at, WallTime log_time)
    -> RecordOutcome {
  const auto found = this->jobs.find(record.job);
  if (found == this->jobs.end()) {
    return Invalid("unknown_job");
  }
  auto* job = &found->second;
  if (job->state == JobState::kFinished) {
    return Invalid("job_finished");
  }
  job->state = JobState::kFinished;
  job->outcome = record.outcome;
  job->reason = record.reason;
  job->finished_at = at;
  job->tasks.clear();
  const auto acceptance_number = this->acceptance_numbers.extract(job).mapped();
  this->unfinished.erase(acceptance_number);
  const auto shard = this->unfinished_by_shard.find(job->spec.shard);
  shard->second.erase(acceptance_number);
  if (shard->second.empty()) {
    this->unfinished_by_shard.erase(shard);
  }
  this->unfinished_tasks -= job->spec.tasks;
  this->finished.push_back({job, log_time});
  return kValid;
}

auto JobTable::RemoveOldestFinished() -> void {
  const auto* job = this->finished.front().job;
  this->finished.pop_front();
  if (!job->spec.idempotency_key.empty()) {
    this->by_idempotency_key.erase(
        IdempotencyMapKey(job->spec.team, job->spec.idempotency_key));
  }
  this->jobs.erase(JobId(job->spec.id));
}

auto JobTable::Expire(WallTime log_time) -> void {
  while (!this->finished.empty() &&
         (this->finished.size() > this->limits.max_finished_jobs ||
          log_time - this->finished.front().log_time >
              this->limits.finished_job_window)) {
    this->RemoveOldestFinished();
  }
}

auto JobTable::Save(const SnapshotSink& sink) const -> void {
  for (const auto& [acceptance_number, job] : this->unfinished) {
    sink(WriteJob(*job));
    // One item per task, so that no item exceeds the size of a piece.
    for (const auto& [index, result] : job->tasks) {
      sink({{"kind", "task"},
            {"job", job->spec.id.Text()},
            {"task", index},
            {"outcome", EnumName(kOutcomeNames, result.outcome)},
            {"attempt", result.attempt},
            {"message", result.message}});
    }
  }
  for (const auto& entry : this->finished) {
    auto item = WriteJob(*entry.job);
    item["outcome"] = EnumName(kOutcomeNames, entry.job->outcome);
    item["reason"] = entry.job->reason;
    item["succeeded"] = entry.job->succeeded;
    item["failed"] = entry.job->failed;
    item["cancelled"] = entry.job->cancelled;
    item["finished_at"] = WriteTimestamp(entry.job->finished_at);
    item["finished_log_time"] = WriteTimestamp(entry.log_time);
    sink(item);
  }
}

auto JobTable::Load(const json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  if (reader.String("kind") == "task") {
    const TaskFinished task{reader.Identifier<JobId>("job"),
                            reader.Integer("task", 0, kMaxTaskIndex),
                            reader.Enum("outcome", kOutcomeNames),
                            reader.Integer("attempt", 1, kMaxTaskIndex),
                            reader.String("message")};
    return !error && this->Apply(task).valid;
  }
  Job job;
  job.spec = ReadJobSpec(reader);
  job.state = reader.Enum("state", kJobStateNames);
  job.accepted_offset = reader.Unsigned("offset");
  job.accepted_at = reader.Timestamp("at");
  WallTime log_time;
  if (!error && job.state == JobState::kFinished) {
    job.outcome = reader.Enum("outcome", kOutcomeNames);
    job.reason = reader.String("reason");
    job.succeeded = reader.Integer("succeeded", 0, kMaxTaskIndex);
    job.failed = reader.Integer("failed", 0, kMaxTaskIndex);
    job.cancelled = reader.Integer("cancelled", 0, kMaxTaskIndex);
    job.finished_at = reader.Timestamp("finished_at");
    log_time = reader.Timestamp("finished_log_time");
  }
  if (error || this->jobs.contains(job.spec.id)) {
    return false;
  }
  auto* stored = this->Add(std::move(job));
  if (stored->state == JobState::kFinished) {
    this->finished.push_back({stored, log_time});
  }
  return true;
}

}  // namespace shallotbank::journal
