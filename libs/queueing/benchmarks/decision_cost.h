#pragma once

#include <ctime>
#include <vector>

#include "queueing/fair_queue.h"
#include "reference_queue.h"
#include "report.h"
#include "workload.h"

namespace shallotbank::queueing {

/// Returns the number of bytes currently allocated; defined by the program.
auto AllocatedBytes() -> std::int64_t;

inline auto ThreadCpuTime() -> Duration {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + Duration(time.tv_nsec);
}

/// Models a full shard with a constant number of waiting jobs, in which tasks
/// end one after another and a pass of decisions follows each end. Times each
/// decision, which is `Next` together with `Started` or `Blocked`.
template <typename Queue>
class DecisionLoad {
 public:
  DecisionLoad(int teams, int waiting) : source(teams) {
    QueuePolicy policy;
    policy.capacity = kShardCapacity;
    policy.organisations = MakeOrganisations(teams);
    const auto before = AllocatedBytes();
    static_cast<void>(this->queue.SetPolicy(policy));
    const auto with_policy = AllocatedBytes();
    for (int k = 0; k < waiting; ++k) {
      this->AddJob();
    }
    this->bytes_per_team = static_cast<double>(with_policy - before) / teams;
    this->bytes_per_job =
        static_cast<double>(AllocatedBytes() - with_policy) / waiting;
    Samples warm_up;
    this->Pass(warm_up, std::chrono::seconds(2));
  }

  /// Repeatedly ends a task and runs a pass, until there are `count` decisions
  /// or `limit` has elapsed.
  auto Run(Samples& samples, std::size_t count, Duration limit) -> void {
    if (samples.Count() == 0) {
      this->cpu = {};
    }
    const auto until = SystemClock().Now() + limit;
    while (samples.Count() < count && SystemClock().Now() < until) {
      this->EndRandomTask();
      this->Pass(samples, until - SystemClock().Now());
    }
  }

  auto Cancel(std::size_t count) -> Duration {
    const auto begin = SystemClock().Now();
    for (std::size_t k = 0; k < count; ++k) {
      this->queue.Cancel(this->added[this->next_cancel++]);
    }
    return SystemClock().Now() - begin;
  }
  auto CancelFrom(std::size_t position) -> void {
    this->next_cancel = position;
  }

  /// The CPU times of the same decisions, which other programs hardly affect.
  auto Cpu() -> Samples& { return this->cpu; }
  auto BytesPerJob() const -> double { return this->bytes_per_job; }
  auto BytesPerTeam() const -> double { return this->bytes_per_team; }

 private:
  struct RunningTasks {
    JobId job;
    Resources amount;
    std::int64_t tasks = 0;
  };

  auto AddJob() -> void {
    const auto job = this->source.Make(this->now);
    this->added.push_back(job.id);
    static_cast<void>((this->queue.Add(job), 0));
  }

  auto EndRandomTask() -> void {
    const auto last = static_cast<int>(this->running.size());
    const auto position = static_cast<std::size_t>(this->source.Below(last));
    std::swap(this->running[position], this->running.back());
    const auto run = this->running.back();
    this->running.pop_back();
    this->used -= run.amount;
    this->queue.Ended(run.job, TaskEnd::kFinished, run.tasks);
  }

  auto Pass(Samples& samples, Duration limit) -> void {
    const auto until = SystemClock().Now() + limit;
    this->now += std::chrono::milliseconds(1);
    bool is_done = false;
    while (!is_done) {
      const auto cpu_begin = ThreadCpuTime();
      const auto begin = SystemClock().Now();
      if (begin >= until) {
        return;
      }
      const auto candidate = this->queue.Next(this->now);
      is_done = !candidate || !this->Decide(*candidate);
      samples.Add(SystemClock().Now() - begin);
      this->cpu.Add(ThreadCpuTime() - cpu_begin);
      if (!is_done && this->has_started) {
        this->AddJob();
      }
    }
  }

  auto Decide(const Candidate& candidate) -> bool {
    const auto amount = Times(candidate.shape.need, candidate.shape.tasks);
    this->has_started = (this->used + amount).FitsIn(kShardCapacity);
    if (!this->has_started) {
      this->queue.Blocked(candidate.job, BlockReason::kNoRoom);
      return true;
    }
    if (!this->queue.Started(candidate.job, this->now)) {
      return false;
    }
    this->used += amount;
    this->running.push_back({candidate.job, amount, candidate.shape.tasks});
    return true;
  }

  Queue queue;
  JobSource source;
  TimePoint now = kStart;
  std::vector<JobId> added;
  std::size_t next_cancel = 0;
  std::vector<RunningTasks> running;
  Resources used;
  bool has_started = false;
  Samples cpu;
  double bytes_per_job = 0;
  double bytes_per_team = 0;
};

inline auto ReportTimes(Report& report,
                        const std::string& section,
                        const std::string& inputs,
                        const std::string& version,
                        Samples& samples,
                        Samples& cpu) -> void {
  const auto seconds = std::chrono::duration<double>(samples.Total()).count();
  report.Add(section, inputs, version, "decisions",
             static_cast<double>(samples.Count()), "");
  report.Add(section, inputs, version, "rate",
             static_cast<double>(samples.Count()) / seconds, "decisions/s");
  report.Add(section, inputs, version, "p50", samples.Quantile(0.5), "us");
  report.Add(section, inputs, version, "p99", samples.Quantile(0.99), "us");
  report.Add(section, inputs, version, "max", samples.Quantile(1), "us");
  report.Add(section, inputs, version, "p99 of CPU time", cpu.Quantile(0.99),
             "us");
  report.Add(section, inputs, version, "max of CPU time", cpu.Quantile(1),
             "us");
}

/// The reference implementation gets the same input but stops after
/// `kReferenceLimit`.
inline auto MeasureDecisions(Report& report, int teams, int jobs) -> void {
  constexpr std::size_t kDecisions = 20'000;
  constexpr auto kReferenceLimit = std::chrono::milliseconds(800);
  const auto inputs =
      std::to_string(teams) + " teams " + std::to_string(jobs) + " jobs";
  {
    DecisionLoad<FairQueue> load(teams, jobs);
    Samples samples;
    const auto cpu_begin = std::clock();
    load.Run(samples, kDecisions, std::chrono::seconds(5));
    const double cpu_seconds =
        static_cast<double>(std::clock() - cpu_begin) / CLOCKS_PER_SEC;
    ReportTimes(report, "decision", inputs, "real", samples, load.Cpu());
    // Not affected by other programs, but includes task ends and submissions.
    report.Add("decision", inputs, "real", "rate by CPU time",
               static_cast<double>(samples.Count()) / cpu_seconds,
               "decisions/s");
    report.Add("decision", inputs, "real", "memory a job", load.BytesPerJob(),
               "bytes");
    report.Add("decision", inputs, "real", "memory a team", load.BytesPerTeam(),
               "bytes");
  }
  DecisionLoad<ReferenceQueue> load(teams, jobs);
  Samples samples;
  load.Run(samples, kDecisions, kReferenceLimit);
  ReportTimes(report, "decision", inputs, "naive", samples, load.Cpu());
}

inline auto MeasureCancellations(Report& report) -> void {
  constexpr std::size_t kDecisions = 20'000;
  constexpr std::size_t kCancellations = 10'000;
  constexpr auto kLimit = std::chrono::seconds(5);
  const std::string inputs = "630 teams 100000 jobs";
  DecisionLoad<FairQueue> load(630, 100'000);
  Samples before;
  load.Run(before, kDecisions, kLimit);
  ReportTimes(report, "cancel", inputs + " before", "real", before, load.Cpu());
  load.CancelFrom(50'000);
  const auto time = load.Cancel(kCancellations);
  Samples first;
  load.Run(first, 1, kLimit);
  report.Add("cancel", inputs, "real", "10000 at once",
             std::chrono::duration<double, std::milli>(time).count(), "ms");
  report.Add("cancel", inputs, "real", "first decision after",
             first.Quantile(1), "us");
  Samples after;
  load.Run(after, kDecisions, kLimit);
  ReportTimes(report, "cancel", inputs + " after", "real", after, load.Cpu());
  Samples during;
  for (std::size_t k = 0; k < kCancellations; k += 100) {
    load.Cancel(100);
    Samples some;
    load.Run(during, during.Count() + 50, kLimit);
  }
  ReportTimes(report, "cancel", inputs + " during", "real", during, load.Cpu());
}

}  // namespace shallotbank::queueing
