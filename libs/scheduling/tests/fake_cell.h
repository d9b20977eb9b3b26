#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "scheduling/shard_scheduler.h"

namespace shallotbank::scheduling {

/// Simulated workers that execute the commands of one or more schedulers and
/// count tasks that run twice or exceed the capacity.
class FakeCell {
 public:
  struct Task {
    JobId job;
    int index = 0;
    Resources resources;
    TimePoint finish;
    TimePoint lease_end;
    Duration lease{};
    bool ended = false;
    bool failed = false;
    bool expired = false;
  };
  struct Worker {
    placement::Worker entry;
    bool is_leaving = false;
    bool is_gone = false;          ///< No longer in the host list.
    bool is_partitioned = false;   ///< Commands do not arrive.
    bool drops_responses = false;  ///< Commands take effect without a response.
    bool fails_all_tasks = false;
    Epoch epoch = 0;
    std::map<TaskId, Task> tasks;
  };

  ManualClock clock;
  std::map<WorkerId, Worker> workers;
  std::map<std::string, int> finished;  ///< By task name, over all attempts.
  int double_runs = 0;
  int overcommits = 0;
  int starts = 0;
  int stale_commands = 0;
  std::vector<TaskOutcome> outcomes;
  std::vector<JobId> cancelled;
  std::vector<JobId> expired;

  auto AddWorkers(int count, Resources capacity) -> void {
    for (int i = 0; i < count; ++i) {
      const WorkerId id("w" + std::to_string(this->workers.size()));
      Worker worker;
      worker.entry = {id, FailureDomain("d" + std::to_string(i % 4)),
                      RackId("r" + std::to_string(i % 8)), capacity};
      this->workers[id] = worker;
    }
  }

  auto Listed() const -> std::vector<ListedWorker> {
    std::vector<ListedWorker> result;
    for (const auto& [id, worker] : this->workers) {
      result.push_back({worker.entry, worker.is_leaving, worker.is_gone});
    }
    return result;
  }

  /// Runs one tick of the scheduler and executes its commands immediately.
  auto Step(ShardScheduler& scheduler, bool has_authority = true) -> void {
    const auto now = this->clock.Now();
    scheduler.SetAuthority(has_authority ? now + std::chrono::seconds(3)
                                         : TimePoint());
    this->Answer(scheduler, scheduler.Tick(now));
  }

  auto Answer(ShardScheduler& scheduler, const Output& output) -> void {
    for (const auto& command : output.commands) {
      this->Execute(scheduler, command);
    }
    for (const auto& outcome : output.outcomes) {
      this->outcomes.push_back(outcome);
      scheduler.OnTaskRecorded(outcome.job, outcome.index);
    }
    for (const auto& job : output.cancelled) {
      this->cancelled.push_back(job);
      scheduler.ForgetJob(job);
    }
    this->expired.insert(this->expired.end(), output.expired.begin(),
                         output.expired.end());
  }

  /// Runs steps until `done` returns true or `limit` has passed on the clock.
  template <typename Done>
  auto RunUntil(ShardScheduler& scheduler, Duration limit, Done done) -> bool {
    const auto end = this->clock.Now() + limit;
    while (!done()) {
      if (this->clock.Now() >= end) {
        return false;
      }
      this->Step(scheduler);
      this->clock.Advance(std::chrono::milliseconds(50));
    }
    return true;
  }

  auto RunFor(ShardScheduler& scheduler, Duration time) -> void {
    this->RunUntil(scheduler, time, [] { return false; });
  }

  auto Running() -> int {
    this->EndDueTasks();
    int count = 0;
    for (const auto& [id, worker] : this->workers) {
      for (const auto& [task_id, task] : worker.tasks) {
        count += task.ended ? 0 : 1;
      }
    }
    return count;
  }

  /// Ends tasks that have finished or whose lease has expired.
  auto EndDueTasks() -> void {
    const auto now = this->clock.Now();
    for (auto& [id, worker] : this->workers) {
      for (auto& [task_id, task] : worker.tasks) {
        if (task.ended) {
          continue;
        }
        if (task.finish <= now && task.finish <= task.lease_end) {
          task.ended = true;
          this->finished[Name(task)]++;
        } else if (task.lease_end <= now) {
          task.ended = true;
          task.expired = true;
        }
      }
    }
  }

 private:
  static auto Name(const Task& task) -> std::string {
    return task.job.Text() + "/" + std::to_string(task.index);
  }

  auto Milliseconds(TimePoint time) const -> std::chrono::milliseconds {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        time.time_since_epoch());
  }

  auto Execute(ShardScheduler& scheduler, const WorkerCommand& command)
      -> void {
    const auto now = this->clock.Now();
    auto& worker = this->workers.at(command.worker);
    if (worker.is_partitioned) {
      scheduler.HandleFailure(command.worker, Verdict::kMayHaveRun, now);
      return;
    }
    this->EndDueTasks();
    const bool is_attach =
        std::holds_alternative<AttachCommand>(command.command);
    if (command.epoch < worker.epoch ||
        (!is_attach && !std::holds_alternative<StopCommand>(command.command) &&
         command.not_after < this->Milliseconds(now))) {
      this->stale_commands++;
      scheduler.HandleFailure(command.worker, Verdict::kNotRun, now);
      return;
    }
    worker.epoch = command.epoch;
    std::vector<worker_protocol::TaskStartResult> results;
    if (const auto* start = std::get_if<StartCommand>(&command.command)) {
      for (const auto& task : start->tasks) {
        results.push_back(this->StartTask(worker, task));
      }
    } else if (const auto* stop = std::get_if<StopCommand>(&command.command)) {
      for (const auto& id : stop->tasks) {
        worker.tasks.erase(id);
      }
    } else if (const auto* heartbeat =
                   std::get_if<HeartbeatCommand>(&command.command)) {
      this->ApplyHeartbeat(worker, *heartbeat);
    }
    if (worker.drops_responses) {
      scheduler.HandleFailure(command.worker, Verdict::kMayHaveRun, now);
    } else if (std::holds_alternative<StartCommand>(command.command)) {
      scheduler.HandleStartResults(command.worker, results, now);
    } else {
      scheduler.HandleReport(command.worker, now, this->Report(worker), now);
    }
  }

  auto StartTask(Worker& worker, const worker_protocol::TaskStart& start)
      -> worker_protocol::TaskStartResult {
    const auto name = ParseAttemptId(start.task);
    Task task;
    task.job = name->job;
    task.index = name->index;
    task.resources = start.resources;
    task.lease = start.lease;
    task.finish = this->clock.Now() + start.run_time;
    task.lease_end = this->clock.Now() + start.lease;
    Resources used = task.resources;
    for (const auto& [id, other] : this->workers) {
      for (const auto& [other_id, running] : other.tasks) {
        this->double_runs +=
            !running.ended && Name(running) == Name(task) ? 1 : 0;
      }
    }
    this->double_runs += this->finished[Name(task)] > 0 ? 1 : 0;
    for (const auto& [id, running] : worker.tasks) {
      used += running.ended ? Resources() : running.resources;
    }
    this->overcommits += used.FitsIn(worker.entry.capacity) ? 0 : 1;
    task.ended = worker.fails_all_tasks;
    task.failed = worker.fails_all_tasks;
    this->starts++;
    worker.tasks[start.task] = task;
    return {start.task, worker_protocol::StartResult::kStarted};
  }

  auto ApplyHeartbeat(Worker& worker, const HeartbeatCommand& heartbeat)
      -> void {
    for (const auto& id : heartbeat.renew) {
      const auto found = worker.tasks.find(id);
      if (found != worker.tasks.end()) {
        found->second.lease_end = this->clock.Now() + found->second.lease;
      }
    }
    for (const auto& id : heartbeat.acknowledge) {
      const auto found = worker.tasks.find(id);
      if (found != worker.tasks.end() && found->second.ended) {
        worker.tasks.erase(found);
      }
    }
  }

  auto Report(const Worker& worker) const -> worker_protocol::WorkerReport {
    using State = worker_protocol::WorkerTaskState;
    worker_protocol::WorkerReport report;
    report.worker_now = this->Milliseconds(this->clock.Now());
    for (const auto& [id, task] : worker.tasks) {
      const auto state = !task.ended    ? State::kRunning
                         : task.failed  ? State::kFailed
                         : task.expired ? State::kExpired
                                        : State::kFinished;
      report.tasks.push_back({id, state, task.resources});
    }
    return report;
  }
};

/// Returns a policy with teams `t0`, `t1`, ..., each in an organisation of its
/// own.
inline auto MakePolicy(int teams, Resources capacity, queueing::Amount limit)
    -> queueing::QueuePolicy {
  queueing::QueuePolicy policy;
  policy.capacity = capacity;
  for (int i = 0; i < teams; ++i) {
    policy.organisations.push_back(
        {OrganisationId("o" + std::to_string(i)),
         1,
         {{TeamId("t" + std::to_string(i)), 1, limit}}});
  }
  return policy;
}

inline auto MakeJob(const std::string& id, int tasks, TimePoint now)
    -> JobSpec {
  JobSpec spec;
  spec.id = JobId(id);
  spec.team = TeamId("t0");
  spec.profile = ProfileName("grind");
  spec.need = {1000, 1024, 0};
  spec.tasks = tasks;
  spec.is_single_run = true;
  spec.attempts = 3;
  spec.lease = std::chrono::seconds(20);
  spec.run_time = std::chrono::seconds(5);
  spec.submitted = now;
  spec.accepted_at = 10;
  return spec;
}

}  // namespace shallotbank::scheduling
