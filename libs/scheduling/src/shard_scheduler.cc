#include "scheduling/shard_scheduler.h"

#include <algorithm>

#include "core.h"

namespace shallotbank::scheduling {

ShardScheduler::ShardScheduler(Epoch epoch,
                               SchedulingOptions options,
                               Metrics* metrics,
                               TimePoint now)
    : core(std::make_unique<Core>(epoch, options, metrics, now)) {}

ShardScheduler::~ShardScheduler() = default;

auto ShardScheduler::CurrentEpoch() const -> Epoch {
  return this->core->epoch;
}

auto ShardScheduler::SetAuthority(TimePoint until) -> void {
  this->core->authority_until = until;
}

auto ShardScheduler::SetPolicy(const queueing::QueuePolicy& policy)
    -> boost::leaf::result<void> {
  return this->core->SetPolicy(policy);
}

auto ShardScheduler::SetWorkers(const std::vector<ListedWorker>& listed,
                                TimePoint now) -> void {
  this->core->SetWorkers(listed, now);
}

auto ShardScheduler::AddJob(const JobSpec& spec,
                            const std::vector<int>& ended_task_indexes,
                            TimePoint now) -> boost::leaf::result<void> {
  return this->core->AddJob(spec, ended_task_indexes, now);
}

auto ShardScheduler::CancelJob(const JobId& job, TimePoint now)
    -> queueing::CancelOutcome {
  return this->core->CancelJob(job, now);
}

auto ShardScheduler::OnTaskRecorded(const JobId& job, int index) -> void {
  this->core->OnTaskRecorded(job, index);
}

auto ShardScheduler::ForgetJob(const JobId& job) -> void {
  this->core->ForgetJob(job);
}

auto ShardScheduler::HandleReport(const WorkerId& worker,
                                  TimePoint sent_at,
                                  const worker_protocol::WorkerReport& report,
                                  TimePoint now) -> void {
  this->core->HandleReport(worker, sent_at, report, now);
}

auto ShardScheduler::HandleStartResults(
    const WorkerId& worker,
    const std::vector<worker_protocol::TaskStartResult>& results,
    TimePoint now) -> void {
  this->core->HandleStartResults(worker, results, now);
}

auto ShardScheduler::HandleFailure(const WorkerId& worker,
                                   Verdict verdict,
                                   TimePoint now) -> void {
  this->core->HandleFailure(worker, verdict, now);
}

auto ShardScheduler::Tick(TimePoint now) -> Output {
  return this->core->Tick(now);
}

auto ShardScheduler::Describe(const JobId& job, TimePoint now) const
    -> std::optional<JobStatus> {
  return this->core->Describe(job, now);
}

auto ShardScheduler::Workers() const -> std::vector<WorkerSummary> {
  return this->core->Workers();
}

auto ShardScheduler::Shares() const -> std::vector<queueing::TeamShare> {
  return this->core->queue.Shares();
}

auto ShardScheduler::WorkerCount() const -> std::size_t {
  return this->core->workers.size();
}

auto ShardScheduler::AttachedCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      this->core->workers.begin(), this->core->workers.end(),
      [](const auto& entry) { return entry.second.is_attached; }));
}

auto ShardScheduler::IsRecovered() const -> bool {
  return this->core->is_recovered;
}

}  // namespace shallotbank::scheduling
