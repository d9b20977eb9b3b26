#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell/records.h"
#include "cell/scheduler.h"

namespace shallotbank::cell {

inline auto Ended(const StartOrder& order, EndKind how, std::uint64_t number)
    -> EndedTask {
  return {number, order.task, order.run, how, ""};
}

inline auto RunningAs(const StartOrder& order, int percent = 0) -> RunningTask {
  return {order.task, order.run, "", percent};
}

/// A scheduler with one queue, without advice unless a test sets it, on a clock
/// that only tests advance.
class SchedulerFixture {
 public:
  explicit SchedulerFixture(Epoch epoch = 1)
      : SchedulerFixture(SchedulerOptions{.epoch = epoch}) {}
  explicit SchedulerFixture(SchedulerOptions options)
      : scheduler(WithFormerAuthority(options), ManualClock().Now()) {
    this->queue.name = QueueName("orders");
    this->queue.service = ServiceName("shop");
    this->queue.max_failures = 2;
    this->queue.objective_slack = std::chrono::seconds(60);
    this->Configure();
  }

  auto Configure() -> void {
    this->configuration.queues[this->queue.name] = this->queue;
    this->scheduler.OnConfiguration(this->configuration);
  }

  auto Report(const std::string& id, std::int64_t cores = 64'000) const
      -> WorkerReport {
    WorkerReport report;
    report.id = WorkerId(id);
    report.born_unix_ms = 1;
    report.address = id + ":80";
    report.service = this->queue.service;
    report.capacity = {cores, 262'144, 0};
    return report;
  }

  auto Job(const std::string& id,
           std::size_t tasks,
           std::int64_t cores,
           bool is_gang = false) const -> JobSpec {
    JobSpec job;
    job.id = JobId(id);
    job.queue = this->queue.name;
    job.organisation = OrganisationId("org");
    StepSpec step;
    step.task_count = tasks;
    step.demand = {cores, 100, 0};
    step.estimate = std::chrono::seconds(1);
    step.is_gang = is_gang;
    job.steps.push_back(step);
    return job;
  }

  /// Calls `Decide` once after a short delay.
  auto Decide() -> Decisions {
    this->clock.Advance(std::chrono::milliseconds(30));
    auto decisions = this->scheduler.Decide(
        this->clock.Now(), std::chrono::system_clock::time_point(),
        this->authority);
    if (decisions.batch) {
      for (const auto& [job, bytes] : decisions.batch->records) {
        this->stored[job] = bytes;
      }
      this->open_batch = decisions.batch->sequence;
    }
    return decisions;
  }
  auto Store() -> void {
    this->scheduler.OnStored(this->open_batch, this->clock.Now());
  }

  auto PollOrderFor(const std::string& worker) const -> PollOrder {
    PollOrder order;
    order.target.worker = WorkerId(worker);
    order.target.address = worker + ":80";
    // Meant for the current incarnation, whichever it is.
    order.target.fence = std::numeric_limits<std::uint64_t>::max();
    return order;
  }
  /// Answers a poll that was sent just now.
  auto AnswerPoll(const std::string& worker,
                  std::vector<RunningTask> running = {},
                  std::vector<EndedTask> ended = {},
                  bool may_omit_ends = false) -> void {
    PollReply reply;
    reply.outcome = OrderOutcome::kDone;
    reply.worker_clock =
        std::chrono::floor<Milliseconds>(this->clock.Now().time_since_epoch());
    reply.born_unix_ms = 1;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    reply.may_omit_ends = may_omit_ends;
    this->scheduler.OnPollReply(this->PollOrderFor(worker), reply,
                                this->clock.Now(), this->clock.Now());
  }
  auto AddWorker(const std::string& id, std::int64_t cores = 64'000) -> void {
    this->scheduler.OnWorker(this->Report(id, cores), this->clock.Now());
    this->AnswerPoll(id);
  }
  /// Places tasks, stores the assignments and returns the resulting starts.
  auto Starts() -> std::vector<StartOrder> {
    if (this->Decide().batch) {
      this->Store();
    }
    return this->Decide().starts;
  }
  auto Answer(const StartOrder& order, OrderOutcome outcome) -> void {
    this->scheduler.OnStartReply(order, {outcome, std::nullopt},
                                 this->clock.Now());
  }

  static auto WithFormerAuthority(SchedulerOptions options)
      -> SchedulerOptions {
    options.previous_authority_end =
        ManualClock().Now() + std::chrono::seconds(10);
    return options;
  }

  ManualClock clock;
  QueuePolicy queue;
  CellConfiguration configuration;
  Scheduler scheduler;
  Authority authority;
  std::map<JobId, std::string> stored;
  std::uint64_t open_batch = 0;
};

}  // namespace shallotbank::cell
