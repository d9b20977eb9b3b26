// Measures the CPU cost of the scheduler against the size of the cell. Prints
// one CSV line per size: workers, microseconds per started and completed task
// (all steps in the core), microseconds per poll reply of an idle worker, and
// bytes of stored progress per task.

#include <chrono>
#include <cstdio>
#include <vector>

#include "cell/records.h"
#include "cell/scheduler.h"

namespace {

using namespace shallotbank;
using namespace shallotbank::cell;
using std::chrono::milliseconds;

constexpr std::size_t kTasksPerJob = 10;
constexpr int kRounds = 20;

struct Cost {
  double task_us = 0;
  double look_us = 0;
  double bytes = 0;
};

auto WorkerName(std::size_t number) -> std::string {
  return "i-" + std::to_string(number);
}

auto AnswerPoll(Scheduler& scheduler,
                std::size_t worker,
                std::vector<RunningTask> running,
                std::vector<EndedTask> ended,
                TimePoint now) -> void {
  PollOrder order;
  order.target.worker = WorkerId(WorkerName(worker));
  PollReply reply;
  reply.outcome = OrderOutcome::kDone;
  reply.worker_clock = std::chrono::floor<Milliseconds>(now.time_since_epoch());
  reply.born_unix_ms = 1;
  reply.running = std::move(running);
  reply.ended = std::move(ended);
  scheduler.OnPollReply(order, reply, now, now);
}

auto Measure(std::size_t workers) -> Cost {
  ManualClock clock;
  Scheduler scheduler({.fence = 1}, clock.Now());
  CellConfiguration configuration;
  QueuePolicy queue;
  queue.name = QueueName("q");
  queue.service = ServiceName("s");
  queue.objective_slack = std::chrono::seconds(60);
  configuration.queues[queue.name] = queue;
  scheduler.OnConfiguration(configuration);
  for (std::size_t i = 0; i < workers; i++) {
    WorkerReport report;
    report.id = WorkerId(WorkerName(i));
    report.born_unix_ms = 1;
    report.address = report.id.Text();
    report.service = queue.service;
    report.capacity = {64'000, 262'144, 0};
    scheduler.OnWorker(report, clock.Now());
    AnswerPoll(scheduler, i, {}, {}, clock.Now());
  }
  Cost cost;
  Duration spent{};
  std::size_t tasks = 0;
  std::size_t bytes = 0;
  for (int round = 0; round < kRounds; round++) {
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < workers / 4 + 1; i++) {
      JobSpec job;
      job.id = JobId(std::to_string(round) + "-" + std::to_string(i));
      job.queue = queue.name;
      job.steps.push_back({kTasksPerJob, {1000, 100, 0}, milliseconds(1000)});
      scheduler.OnJob(job, {}, clock.Now());
    }
    std::vector<StartOrder> starts;
    for (int i = 0; i < 3; i++) {
      clock.Advance(std::chrono::seconds(1));
      auto decisions = scheduler.Decide(clock.Now(), {}, true);
      if (decisions.batch) {
        for (const auto& [id, record] : decisions.batch->records) {
          bytes += record.size();
        }
        scheduler.OnStored(decisions.batch->sequence, clock.Now());
      }
      starts.insert(starts.end(), decisions.starts.begin(),
                    decisions.starts.end());
    }
    std::vector<std::vector<EndedTask>> ended(workers);
    for (const auto& order : starts) {
      scheduler.OnStartReply(order, {OrderOutcome::kDone, {}}, clock.Now());
      const auto worker = std::stoul(order.target.worker.Text().substr(2));
      ended[worker].push_back(
          {static_cast<std::uint64_t>(round) * 1000 + ended[worker].size() + 1,
           order.task, order.run, EndKind::kDone, ""});
    }
    for (std::size_t i = 0; i < workers; i++) {
      if (!ended[i].empty()) {
        AnswerPoll(scheduler, i, {}, ended[i], clock.Now());
      }
    }
    spent += std::chrono::steady_clock::now() - begin;
    tasks += starts.size();
    const auto idle = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < workers; i++) {
      AnswerPoll(scheduler, i, {}, {}, clock.Now());
    }
    cost.look_us += std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - idle)
                        .count() /
                    static_cast<double>(workers * kRounds);
  }
  cost.task_us = std::chrono::duration<double, std::micro>(spent).count() /
                 static_cast<double>(tasks);
  cost.bytes = static_cast<double>(bytes) / static_cast<double>(tasks);
  return cost;
}

}  // namespace

auto main() -> int {
  std::puts("workers,task_us,look_us,progress_bytes");
  for (const std::size_t workers : {48, 192, 768, 3072}) {
    const auto cost = Measure(workers);
    std::printf("%zu,%.1f,%.2f,%.0f\n", workers, cost.task_us, cost.look_us,
                cost.bytes);
  }
  return 0;
}
