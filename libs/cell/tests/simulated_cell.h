#pragma once

#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/scheduler.h"

namespace shallotbank::cell {

/// Jobs that arrive at a constant rate.
struct JobKind {
  const char* name = "";
  double jobs_per_second = 0;
  double steps = 1;  ///< Mean number of steps, one after the other.
  std::size_t width = 1;
  std::int64_t cores_milli = 0;
  Milliseconds run_time{};
  bool is_gang = false;
  int priority = 0;
  double stretch = 2;
  Milliseconds slack{};
  std::optional<AdvicePolicy> advice;
  int approved_percent = 100;  ///< Of the workers, for each step.
  std::int64_t memory_mib = 100;
  /// How much the widths and the run times of the jobs vary, as a share of
  /// their means.
  double spread = 0;
  /// How far the estimates are off, as a share of the run time.
  double estimate_error = 0;
};

/// What the callers of one kind of job got.
struct ServedJobs {
  std::size_t submitted = 0;
  std::size_t completed = 0;
  std::size_t on_time = 0;  ///< Completed within the objective.
  /// Time from the submission to the first start, of the jobs with a start.
  std::vector<Duration> start_delays;

  auto OnTimeShare() const -> double {
    return this->submitted == 0 ? 1.0
                                : static_cast<double>(this->on_time) /
                                      static_cast<double>(this->submitted);
  }
};

/// A scheduler with simulated workers, store and advice service on a manual
/// clock. Measures the processor time that the scheduler uses.
class SimulatedCell {
 public:
  static constexpr Milliseconds kTick{4};

  SimulatedCell(std::size_t workers,
                std::size_t advisors,
                std::vector<JobKind> kinds)
      : scheduler({.epoch = 1}, ManualClock().Now()),
        kinds(std::move(kinds)),
        due_jobs(this->kinds.size()),
        due_steps(this->kinds.size()),
        served(this->kinds.size()),
        workers(workers),
        advisor_free_at(advisors) {
    CellConfiguration configuration;
    for (const auto& kind : this->kinds) {
      QueuePolicy queue;
      queue.name = QueueName(kind.name);
      queue.service = ServiceName("s");
      queue.priority = kind.priority;
      queue.objective_stretch = kind.stretch;
      queue.objective_slack = kind.slack;
      queue.advice = kind.advice;
      configuration.queues[queue.name] = queue;
    }
    this->scheduler.OnConfiguration(configuration);
    this->scheduler.SetAdvisors(advisors);
    for (std::size_t i = 0; i < workers; i++) {
      WorkerReport report;
      report.id = WorkerId("worker-" + std::to_string(i));
      report.born_unix_ms = 1;
      report.address = "10.0.0.1:" + std::to_string(i);
      report.service = ServiceName("s");
      report.rack = RackId("rack-" + std::to_string(i / 8));
      report.capacity = {64'000, 131'072, 0};
      this->numbers[report.id] = i;
      this->scheduler.OnWorker(report, this->clock.Now());
    }
  }

  auto Run(Duration time) -> void {
    for (Duration passed{}; passed < time; passed += kTick) {
      this->Tick();
    }
  }

  auto AddJobs(std::size_t kind, std::size_t count) -> void {
    for (std::size_t i = 0; i < count; i++) {
      this->AddJob(kind);
    }
  }

  auto Count() const -> Scheduler::Counts { return this->scheduler.Count(); }
  /// The jobs that were submitted at least `time_to_end` ago; later ones may
  /// still be running.
  auto Served(std::size_t kind, Duration time_to_end) const -> ServedJobs {
    ServedJobs result;
    for (const auto& job : this->served[kind]) {
      if (this->clock.Now() - job.submitted_at < time_to_end) {
        continue;
      }
      result.submitted++;
      result.completed += job.unfinished == 0 ? 1 : 0;
      result.on_time += job.unfinished == 0 && job.ended_at <= job.objective;
      if (job.started_at != TimePoint()) {
        result.start_delays.push_back(job.started_at - job.submitted_at);
      }
    }
    return result;
  }
  /// Makes every third worker take `factor` times as long.
  auto SlowEveryThirdWorker(double factor) -> void {
    this->slow_factor = factor;
  }

  Duration processor_time{};
  std::size_t events = 0;  ///< Calls of the scheduler other than `Decide`.
  std::size_t starts = 0;

 private:
  struct ActiveRun {
    int number = 0;
    TimePoint started;
  };
  struct Worker;
  struct Gang {
    int run = 0;
    double factor = 1;
    std::vector<std::pair<Worker*, TaskId>> members;
  };
  struct Worker {
    std::map<TaskId, ActiveRun> running;
    std::vector<EndedTask> ended;
    std::uint64_t last_end = 0;
    std::uint64_t acknowledged = 0;
    std::optional<PollOrder> open_poll;
    TimePoint poll_sent;
    std::uint64_t poll_number = 0;
  };

  struct Submitted {
    TimePoint submitted_at;
    TimePoint objective;
    TimePoint started_at;
    TimePoint ended_at;
    std::size_t unfinished = 0;  ///< Tasks.
  };

  static constexpr Milliseconds kOneWay{4};
  static constexpr Milliseconds kStoreTime{10};

  /// Pseudo-random and the same for the same text in every run; in [-1, 1).
  static auto Draw(const std::string& text) -> double {
    constexpr std::uint64_t kOffset = 14695981039346656037U;
    constexpr std::uint64_t kPrime = 1099511628211U;
    std::uint64_t hash = kOffset;
    for (const char c : text) {
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
    hash = (hash ^ (hash >> 33)) * kPrime;
    hash ^= hash >> 29;
    return static_cast<double>(hash % 20'000) / 10'000.0 - 1;
  }

  static auto Vary(std::int64_t mean, double spread, const std::string& text)
      -> std::int64_t {
    return std::max<std::int64_t>(
        1, std::llround(static_cast<double>(mean) * (1 + spread * Draw(text))));
  }

  auto At(Duration delay, std::function<void()> action) -> void {
    this->actions.emplace(this->clock.Now() + delay, std::move(action));
  }

  static auto ProcessorTime() -> Duration {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }

  template <typename Call>
  auto Measure(const Call& call) -> void {
    const auto begin = ProcessorTime();
    call();
    this->processor_time += ProcessorTime() - begin;
  }

  auto WorkerOf(const OrderTarget& target) -> Worker& {
    return this->workers[this->numbers.at(target.worker)];
  }

  auto AddJob(std::size_t number) -> void {
    const auto& kind = this->kinds[number];
    JobSpec job;
    job.id =
        JobId(std::string(kind.name) + "-" + std::to_string(this->next_job++));
    job.queue = QueueName(kind.name);
    job.organisation =
        OrganisationId("org-" + std::to_string(this->next_job % 20));
    job.payload = std::string(200, 'x');
    this->due_steps[number] += kind.steps;
    Submitted submitted{this->clock.Now()};
    Duration path{};
    while (job.steps.empty() || this->due_steps[number] >= 1) {
      const auto index = job.steps.size();
      const auto name = job.id.Text() + ".0." + std::to_string(index);
      StepSpec step;
      step.task_count = static_cast<std::size_t>(
          Vary(static_cast<std::int64_t>(kind.width), kind.spread, name));
      step.demand = {kind.cores_milli, kind.memory_mib, 0};
      const Milliseconds run_time(
          Vary(kind.run_time.count(), kind.spread / 2, name + "/time"));
      step.estimate = Milliseconds(
          Vary(run_time.count(), kind.estimate_error, name + "/estimate"));
      step.is_gang = kind.is_gang;
      if (index > 0) {
        step.depends_on = {index - 1};
      }
      this->kind_of_step[name] = number;
      this->gang_sizes[name] = step.task_count;
      for (std::size_t i = 0; i < step.task_count; i++) {
        const auto task = TaskName(job.id, 0, index, i);
        this->run_times[task] = run_time;
        this->job_of_task[task] = {number, this->served[number].size()};
      }
      submitted.unfinished += step.task_count;
      path += run_time;
      job.steps.push_back(step);
      this->due_steps[number] -= 1;
    }
    submitted.objective =
        submitted.submitted_at +
        std::chrono::duration_cast<Duration>(path * kind.stretch) + kind.slack;
    this->served[number].push_back(submitted);
    this->events++;
    this->Measure(
        [&] { this->scheduler.OnJob(std::move(job), {}, this->clock.Now()); });
  }

  auto AnswerPoll(Worker& worker, const PollOrder& order, TimePoint sent)
      -> void {
    PollReply reply;
    reply.outcome = OrderOutcome::kDone;
    reply.worker_clock =
        std::chrono::floor<Milliseconds>(this->clock.Now().time_since_epoch());
    reply.born_unix_ms = 1;
    for (const auto& [task, run] : worker.running) {
      const auto percent =
          100 * (this->clock.Now() - run.started) / this->run_times.at(task);
      reply.running.push_back(
          {task, run.number, "", static_cast<int>(percent)});
    }
    reply.ended = worker.ended;
    this->At(kOneWay, [this, order, reply, sent] {
      this->events++;
      this->Measure([&] {
        this->scheduler.OnPollReply(order, reply, sent, this->clock.Now());
      });
    });
  }

  auto End(Worker& worker, const TaskId& task, int run, EndKind how) -> void {
    const auto found = worker.running.find(task);
    if (found == worker.running.end() || found->second.number != run) {
      return;
    }
    worker.running.erase(found);
    worker.ended.push_back({++worker.last_end, task, run, how, ""});
    if (how == EndKind::kDone) {
      const auto [kind, index] = this->job_of_task.at(task);
      auto& job = this->served[kind][index];
      job.unfinished--;
      job.ended_at = this->clock.Now();
    }
    if (worker.open_poll) {
      this->AnswerPoll(worker, *worker.open_poll, worker.poll_sent);
      worker.open_poll.reset();
    }
  }

  auto OnPoll(const PollOrder& order, TimePoint sent) -> void {
    auto& worker = this->WorkerOf(order.target);
    std::erase_if(worker.ended, [&order](const EndedTask& end) {
      return end.number <= order.acknowledged;
    });
    if (order.wait == Milliseconds::zero() || !worker.ended.empty()) {
      this->AnswerPoll(worker, order, sent);
      return;
    }
    worker.open_poll = order;
    worker.poll_sent = sent;
    this->At(order.wait, [this, &worker, number = ++worker.poll_number] {
      if (worker.open_poll && worker.poll_number == number) {
        this->AnswerPoll(worker, *worker.open_poll, worker.poll_sent);
        worker.open_poll.reset();
      }
    });
  }

  auto EndAfterRunTime(std::vector<std::pair<Worker*, TaskId>> members,
                       int run,
                       double factor) -> void {
    this->At(std::chrono::duration_cast<Duration>(
                 this->run_times.at(members.front().second) * factor),
             [this, members, run] {
               for (const auto& [worker, task] : members) {
                 this->End(*worker, task, run, EndKind::kDone);
               }
             });
  }

  /// The members of a gang work once all are present, at the pace of the
  /// slowest.
  auto StartMember(const StartOrder& order, double factor) -> void {
    const auto& name = order.task.Text();
    const auto step = name.substr(0, name.rfind('.'));
    auto& gang = this->gangs[step];
    if (gang.run != order.run) {
      gang = {order.run, 1, {}};
    }
    gang.factor = std::max(gang.factor, factor);
    gang.members.emplace_back(&this->WorkerOf(order.target), order.task);
    if (gang.members.size() == this->gang_sizes.at(step)) {
      this->EndAfterRunTime(gang.members, gang.run, gang.factor);
    }
  }

  auto OnStart(const StartOrder& order) -> void {
    auto& worker = this->WorkerOf(order.target);
    worker.running[order.task] = {order.run, this->clock.Now()};
    const auto [kind, index] = this->job_of_task.at(order.task);
    auto& job = this->served[kind][index];
    if (job.started_at == TimePoint()) {
      job.started_at = this->clock.Now();
    }
    const bool is_slow = this->numbers.at(order.target.worker) % 3 == 2;
    const double factor = is_slow ? this->slow_factor : 1.0;
    if (this->kinds[kind].is_gang) {
      this->StartMember(order, factor);
    } else {
      this->EndAfterRunTime({{&worker, order.task}}, order.run, factor);
    }
    this->At(kOneWay, [this, order] {
      this->events++;
      this->Measure([&] {
        this->scheduler.OnStartReply(order, {OrderOutcome::kDone, {}},
                                     this->clock.Now());
      });
    });
  }

  auto OnStop(const StopOrder& order) -> void {
    this->End(this->WorkerOf(order.target), order.task, order.run,
              EndKind::kStopped);
    this->At(kOneWay, [this, order] {
      this->events++;
      this->Measure([&] {
        this->scheduler.OnStopReply(order, {OrderOutcome::kDone, {}},
                                    this->clock.Now());
      });
    });
  }

  auto OnQuery(const AdviceQuery& query) -> void {
    const auto& kind = this->kinds[this->kind_of_step.at(query.step)];
    auto& free_at = this->advisor_free_at[query.advisor];
    free_at = std::max(free_at, this->clock.Now()) + kind.advice->base_cost +
              kind.advice->cost_per_worker *
                  static_cast<std::int64_t>(query.workers.size());
    AdviceReply reply;
    reply.outcome = AdviceReply::Outcome::kAnswered;
    for (const auto& worker : query.workers) {
      const auto draw =
          std::hash<std::string>{}(query.step + worker.Text()) % 100;
      if (draw < static_cast<std::size_t>(kind.approved_percent)) {
        reply.tickets.emplace_back(worker, "ticket");
      }
    }
    this->At(free_at - this->clock.Now(), [this, query, reply] {
      this->events++;
      this->Measure(
          [&] { this->scheduler.OnAdvice(query, reply, this->clock.Now()); });
    });
  }

  auto Execute(const Decisions& decisions) -> void {
    for (const auto& order : decisions.starts) {
      this->starts++;
      this->At(kOneWay, [this, order] { this->OnStart(order); });
    }
    for (const auto& order : decisions.stops) {
      this->At(kOneWay, [this, order] { this->OnStop(order); });
    }
    for (const auto& order : decisions.polls) {
      this->At(kOneWay, [this, order, sent = this->clock.Now()] {
        this->OnPoll(order, sent);
      });
    }
    for (const auto& query : decisions.advice) {
      this->OnQuery(query);
    }
    if (decisions.batch) {
      this->At(kStoreTime, [this, sequence = decisions.batch->sequence] {
        this->events++;
        this->Measure(
            [&] { this->scheduler.OnStored(sequence, this->clock.Now()); });
      });
    }
  }

  auto Tick() -> void {
    this->clock.Advance(kTick);
    while (!this->actions.empty() &&
           this->actions.begin()->first <= this->clock.Now()) {
      this->actions.extract(this->actions.begin()).mapped()();
    }
    for (std::size_t i = 0; i < this->kinds.size(); i++) {
      this->due_jobs[i] += this->kinds[i].jobs_per_second *
                           std::chrono::duration<double>(kTick).count();
      for (; this->due_jobs[i] >= 1; this->due_jobs[i] -= 1) {
        this->AddJob(i);
      }
    }
    Decisions decisions;
    this->Measure([&] {
      decisions = this->scheduler.Decide(this->clock.Now(), {}, Authority{});
    });
    this->Execute(decisions);
  }

  ManualClock clock;
  Scheduler scheduler;
  std::vector<JobKind> kinds;
  std::vector<double> due_jobs;
  std::vector<double> due_steps;
  std::vector<std::vector<Submitted>> served;  ///< By kind.
  double slow_factor = 1;
  std::vector<Worker> workers;
  std::vector<TimePoint> advisor_free_at;
  std::map<WorkerId, std::size_t> numbers;
  std::map<std::string, std::size_t> kind_of_step;
  std::map<std::string, std::size_t> gang_sizes;  ///< By step.
  std::map<std::string, Gang> gangs;              ///< By step.
  std::map<TaskId, Milliseconds> run_times;
  /// Kind of the job and its index in `served`.
  std::map<TaskId, std::pair<std::size_t, std::size_t>> job_of_task;
  std::multimap<TimePoint, std::function<void()>> actions;
  std::size_t next_job = 0;
};

}  // namespace shallotbank::cell
