// Measures the CPU cost of the scheduler against the size of the cell. Prints
// one CSV line per size: workers, microseconds per started and completed task
// (all steps in the core), microseconds per poll reply of an idle worker, and
// bytes of stored progress per task. Then prints one line per scenario of a
// grown cell: processor time per simulated second, starts per second and
// waiting tasks at the end. With the argument "grown", prints only those.

#include <chrono>
#include <cstdio>
#include <vector>

#include "cell/records.h"
#include "cell/scheduler.h"
#include "simulated_cell.h"

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
  Scheduler scheduler({.epoch = 1}, clock.Now());
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
      auto decisions = scheduler.Decide(clock.Now(), {}, Authority{});
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

auto MeasureGrown(const char* name, std::size_t backlog) -> void {
  using std::chrono::microseconds;
  constexpr std::size_t kWorkers = 350;
  constexpr std::size_t kAdvisors = 31;
  constexpr int kSeconds = 10;
  SimulatedCell cell(
      kWorkers, kAdvisors,
      {{"quote", 99.9, 1, 3, 9900, milliseconds(800), false, 0, 1.5,
        milliseconds(300),
        AdvicePolicy{microseconds(9000), microseconds(130), milliseconds(2000)},
        70},
       {"report", 11.2, 1.5, 25, 6900, milliseconds(2200), false, 2, 4.0,
        milliseconds(3000),
        AdvicePolicy{microseconds(80'000), microseconds(1100),
                     milliseconds(2000)},
        45},
       {"profile", 5.41, 1.2, 20, 18'000, milliseconds(4000), true, 1, 2.2,
        milliseconds(1000),
        AdvicePolicy{microseconds(340'000), microseconds(4900),
                     milliseconds(2000)},
        30}});
  cell.Run(std::chrono::seconds(5));
  cell.AddJobs(1, backlog / 2);
  cell.AddJobs(2, backlog / 2);
  cell.Run(std::chrono::seconds(2));
  cell.processor_time = Duration();
  cell.starts = 0;
  cell.Run(std::chrono::seconds(kSeconds));
  const auto counts = cell.Count();
  std::printf(
      "%s,%.3f,%zu,%zu\n", name,
      std::chrono::duration<double>(cell.processor_time).count() / kSeconds,
      cell.starts / kSeconds, counts.waiting_tasks);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc < 2 || std::string(argv[1]) != "grown") {
    std::puts("workers,task_us,look_us,progress_bytes");
    for (const std::size_t workers : {48, 192, 768, 3072}) {
      const auto cost = Measure(workers);
      std::printf("%zu,%.1f,%.2f,%.0f\n", workers, cost.task_us, cost.look_us,
                  cost.bytes);
    }
  }
  std::puts("scenario,cores,starts_per_s,waiting_tasks");
  MeasureGrown("grown", 0);
  MeasureGrown("grown with backlog", 2000);
  return 0;
}
