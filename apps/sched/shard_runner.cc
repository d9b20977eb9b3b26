#include "shard_runner.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "specifications.h"

namespace shallotbank::sched {
namespace {

using scheduling::WorkerCommand;

// The path and body of the HTTP request that sends a command to a worker.
struct EncodedCommand {
  const char* path;
  std::string body;
};

auto Encode(const WorkerCommand& command) -> EncodedCommand {
  struct Visitor {
    const WorkerCommand& command;

    auto operator()(const scheduling::AttachCommand& /*attach*/)
        -> EncodedCommand {
      return {"/attach", worker_protocol::EncodeAttach(this->command.epoch)};
    }
    auto operator()(const scheduling::StartCommand& start) -> EncodedCommand {
      return {"/start",
              worker_protocol::EncodeStart(
                  this->command.epoch, this->command.not_after, start.tasks)};
    }
    auto operator()(const scheduling::StopCommand& stop) -> EncodedCommand {
      return {"/stop",
              worker_protocol::EncodeStop(this->command.epoch, stop.tasks)};
    }
    auto operator()(const scheduling::HeartbeatCommand& heartbeat)
        -> EncodedCommand {
      return {"/heartbeat", worker_protocol::EncodeHeartbeat(
                                this->command.epoch, this->command.not_after,
                                heartbeat.renew, heartbeat.acknowledge)};
    }
  };
  return std::visit(Visitor{command}, command.command);
}

auto ToWitness(const WorkerId& worker) -> membership::WitnessId {
  return membership::WitnessId(worker.Text());
}

}  // namespace

ShardRunner::ShardRunner(ShardId shard,
                         std::int64_t number,
                         Epoch epoch,
                         bool is_takeover,
                         Context context)
    : shard(std::move(shard)),
      number(number),
      context(context),
      scheduler(epoch,
                scheduling::SchedulingOptions{
                    .previous_authority = membership::kAuthorityDuration},
                &context.metrics,
                SystemClock().Now()),
      authority(epoch, {}, is_takeover) {}

auto ShardRunner::Load(TimePoint now) -> void {
  this->HandleHosts(now);
  for (const auto* job :
       this->context.log.State()->Jobs().Unfinished(this->shard)) {
    this->AddJob(*job, now);
  }
}

auto ShardRunner::AddJob(const journal::Job& job, TimePoint now) -> void {
  if (!this->scheduler.AddJob(ToJobSpec(job, now), CompletedTasks(job), now)) {
    // The entry process validates jobs, so this job comes from another release.
    this->context.metrics.Add("scheduler_jobs_refused_total", "invalid");
    this->FinishJob(job.spec.id, journal::WorkOutcome::kFailed,
                    "the scheduler cannot run this job");
    return;
  }
  if (job.state == journal::JobState::kCancelRequested) {
    this->scheduler.CancelJob(job.spec.id, now);
  }
  this->FinishIfComplete(job.spec.id);
}

auto ShardRunner::HandleHosts(TimePoint now) -> void {
  const auto shards =
      this->context.log.State()->Configuration().Get().GetPolicy().shards;
  const auto workers =
      WorkersOfShard(this->context.hosts.Table(), this->number, shards);
  this->scheduler.SetWorkers(workers, now);
  std::set<WorkerId> listed_workers;
  for (const auto& worker : workers) {
    if (!worker.is_gone) {
      listed_workers.insert(worker.worker.id);
      this->authority.AddWitness(ToWitness(worker.worker.id));
    }
  }
  for (const auto& worker : this->witnesses) {
    if (!listed_workers.contains(worker)) {
      this->authority.RemoveWitness(ToWitness(worker));
    }
  }
  this->witnesses = std::move(listed_workers);
  this->UpdatePolicy();
}

auto ShardRunner::UpdatePolicy() -> void {
  const auto& state = *this->context.log.State();
  const auto shards = state.Configuration().Get().GetPolicy().shards;
  const auto workers =
      WorkersOfShard(this->context.hosts.Table(), this->number, shards);
  if (!this->scheduler.SetPolicy(ToQueuePolicy(state, this->shard, workers))) {
    this->context.metrics.Add("scheduler_policy_refused_total");
  }
}

auto ShardRunner::HandleBatch(const journal::AppliedBatch& applied,
                              const journal::Batch& batch,
                              TimePoint now) -> void {
  for (std::size_t i = 0;
       i < batch.records.size() && i < applied.outcomes.size(); ++i) {
    if (applied.outcomes[i].valid) {
      this->ApplyRecord(batch.records[i], now);
    }
  }
}

auto ShardRunner::ApplyRecord(const journal::Record& record, TimePoint now)
    -> void {
  const auto& jobs = this->context.log.State()->Jobs();
  if (const auto* accepted = std::get_if<journal::JobAccepted>(&record)) {
    const auto* job = jobs.Find(accepted->job.id);
    if (job != nullptr && job->spec.shard == this->shard) {
      this->AddJob(*job, now);
    }
  } else if (const auto* cancel =
                 std::get_if<journal::CancelRequested>(&record)) {
    this->scheduler.CancelJob(cancel->job, now);
  } else if (const auto* task = std::get_if<journal::TaskFinished>(&record)) {
    this->scheduler.OnTaskRecorded(task->job, static_cast<int>(task->task));
    this->FinishIfComplete(task->job);
  } else if (const auto* job = std::get_if<journal::JobFinished>(&record)) {
    this->finishing.erase(job->job);
    this->scheduler.ForgetJob(job->job);
    LogEvent(Event::kJobFinished, {{"job", job->job.Text()}});
  } else if (std::holds_alternative<journal::ConfigurationChanged>(record) ||
             std::holds_alternative<journal::AllotmentMoved>(record)) {
    this->UpdatePolicy();
  }
}

auto ShardRunner::AuthorityUntil() const -> TimePoint {
  return this->is_draining ? TimePoint::min() : this->authority.ValidUntil();
}

auto ShardRunner::LoggedEpoch() const -> Epoch {
  return this->context.log.State()->Claims().EpochOf(
      journal::ResourceOf(this->shard));
}

auto ShardRunner::Tick(TimePoint now) -> void {
  this->authority.ConfirmByLog(this->LoggedEpoch(),
                               this->context.log.LastCurrentRead());
  this->scheduler.SetAuthority(this->AuthorityUntil());
  this->RetryRejectedAppends(now);
  const auto output = this->scheduler.Tick(now);
  for (const auto& command : output.commands) {
    this->Send(command);
  }
  for (const auto& outcome : output.outcomes) {
    this->Record(outcome);
  }
  for (const auto& job : output.cancelled) {
    this->FinishJob(job, journal::WorkOutcome::kCancelled, "cancelled");
  }
  for (const auto& job : output.expired) {
    this->FinishJob(job, journal::WorkOutcome::kFailed,
                    "not started within its patience");
  }
}

// Retries after a delay: immediate retries would keep the core loop busy for as
// long as the log is unavailable.
auto ShardRunner::RetryRejectedAppends(TimePoint now) -> void {
  constexpr std::chrono::seconds kRetryInterval{1};
  if (now < this->next_append_retry) {
    return;
  }
  this->next_append_retry = now + kRetryInterval;
  for (const auto& append : std::exchange(this->rejected_appends, {})) {
    append();
  }
}

auto ShardRunner::Send(const WorkerCommand& command) -> void {
  const auto* host =
      this->context.hosts.Table().FindIncludingRemoved(command.worker.Text());
  const auto sent_at = SystemClock().Now();
  if (host == nullptr) {
    this->scheduler.HandleFailure(command.worker, Verdict::kNotRun, sent_at);
    return;
  }
  auto encoded = Encode(command);
  http::Call call{.method = "POST",
                  .url = host->url + encoded.path,
                  .body = std::move(encoded.body),
                  .timeout = command.timeout,
                  // Safe to repeat: starts name their attempts and carry an
                  // epoch and `not_after`.
                  .idempotent = true};
  this->context.client.Send(
      std::move(call),
      [weak = this->weak_from_this(), &loop = this->context.loop, command,
       sent_at](http::Reply reply) {
        auto shared = std::make_shared<http::Reply>(std::move(reply));
        loop.PostBlocking([weak, command, sent_at, shared] {
          if (const auto runner = weak.lock()) {
            runner->HandleReply(command, sent_at, *shared);
          }
        });
      });
}

auto ShardRunner::HandleReply(const WorkerCommand& command,
                              TimePoint sent_at,
                              const http::Reply& reply) -> void {
  constexpr int kConflict = 409;
  constexpr int kPreconditionFailed = 412;
  const auto now = SystemClock().Now();
  const auto witness = ToWitness(command.worker);
  // A refusal says nothing about an earlier copy that got no response.
  const auto refused =
      reply.HasUnansweredCopy() ? Verdict::kMayHaveRun : Verdict::kNotRun;
  if (reply.status == kConflict) {
    const auto highest = worker_protocol::DecodeHighestEpoch(reply.body);
    if (highest && !this->authority.IsSuperseded()) {
      LogEvent(Event::kOwnershipLost, {{"shard", this->shard.Text()},
                                       {"cause", "newer epoch at a worker"},
                                       {"worker", command.worker.Text()}});
      this->authority.ConfirmByWitness(witness, highest.value(), sent_at, now);
    }
    this->scheduler.HandleFailure(command.worker, refused, now);
    return;
  }
  if (reply.status == kPreconditionFailed) {
    this->scheduler.HandleFailure(command.worker, refused, now);
    return;
  }
  if (!reply.IsSuccess() ||
      !this->HandleReplyBody(command, sent_at, reply, now)) {
    const auto verdict = reply.verdict == Verdict::kNotRun
                             ? Verdict::kNotRun
                             : Verdict::kMayHaveRun;
    this->scheduler.HandleFailure(command.worker, verdict, now);
    return;
  }
  this->authority.ConfirmByWitness(witness, this->CurrentEpoch(), sent_at, now);
}

auto ShardRunner::HandleReplyBody(const WorkerCommand& command,
                                  TimePoint sent_at,
                                  const http::Reply& reply,
                                  TimePoint now) -> bool {
  if (std::holds_alternative<scheduling::StartCommand>(command.command)) {
    const auto results = worker_protocol::DecodeStartResults(reply.body);
    if (results) {
      this->scheduler.HandleStartResults(command.worker, results.value(), now);
    }
    return static_cast<bool>(results);
  }
  const auto report = worker_protocol::DecodeReport(reply.body);
  if (report) {
    this->scheduler.HandleReport(command.worker, sent_at, report.value(), now);
  }
  return static_cast<bool>(report);
}

auto ShardRunner::Record(const scheduling::TaskOutcome& outcome) -> void {
  this->context.log.Append(
      {journal::TaskFinished{.job = outcome.job,
                             .task = outcome.index,
                             .outcome = outcome.succeeded
                                            ? journal::WorkOutcome::kSucceeded
                                            : journal::WorkOutcome::kFailed,
                             .message = outcome.message}},
      TimePoint::max(),
      [weak = this->weak_from_this(),
       outcome](const daemon::RecordedResult& result) {
        const auto runner = weak.lock();
        // The worker keeps the result until it is acknowledged, so it is safe
        // to retry the append.
        if (runner && result.verdict == Verdict::kNotRun) {
          runner->rejected_appends.push_back(
              [self = runner.get(), outcome] { self->Record(outcome); });
        }
      });
}

auto ShardRunner::FinishIfComplete(const JobId& id) -> void {
  const auto* job = this->context.log.State()->Jobs().Find(id);
  if (job == nullptr || job->state == journal::JobState::kFinished) {
    return;
  }
  const auto completed_tasks = job->succeeded + job->failed + job->cancelled;
  if (completed_tasks < job->spec.tasks) {
    return;
  }
  this->FinishJob(id,
                  job->failed > 0 ? journal::WorkOutcome::kFailed
                                  : journal::WorkOutcome::kSucceeded,
                  job->failed > 0 ? "tasks failed" : "");
}

auto ShardRunner::FinishJob(const JobId& id,
                            journal::WorkOutcome outcome,
                            const std::string& reason) -> void {
  if (!this->finishing.insert(id).second) {
    return;
  }
  this->context.log.Append({journal::JobFinished{id, outcome, reason}},
                           TimePoint::max(),
                           [weak = this->weak_from_this(), id, outcome,
                            reason](const daemon::RecordedResult& result) {
                             const auto runner = weak.lock();
                             if (runner && result.verdict == Verdict::kNotRun) {
                               runner->rejected_appends.push_back(
                                   [self = runner.get(), id, outcome, reason] {
                                     self->finishing.erase(id);
                                     self->FinishJob(id, outcome, reason);
                                   });
                             }
                           });
}

}  // namespace shallotbank::sched
