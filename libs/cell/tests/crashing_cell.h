#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_fixture.h"

namespace shallotbank::cell {

/// How a worker that has crashed shows itself again.
enum class Return {
  kSameId,   ///< A new incarnation under its ID.
  kOtherId,  ///< Another worker answers at its address.
  kGone,     ///< Nothing listens at its address any more.
  kCutOff,   ///< It did not crash; its answers are lost and it runs on.
};

/// A cell whose workers run tasks, and crash 10 ms after they start one of the
/// deadly tasks.
class CrashingCell : public SchedulerFixture {
 public:
  CrashingCell(int workers, Return how) : how(how) {
    for (int i = 0; i < workers; i++) {
      this->Add("w" + std::to_string(i), 1);
    }
  }

  auto Submit(const std::string& id, std::size_t tasks, bool is_gang = false)
      -> void {
    auto job = this->Job(id, tasks, 1000, is_gang);
    this->specs.emplace(job.id, job);
    if (this->HasLeader()) {
      this->Active().OnJob(std::move(job), {}, this->clock.Now());
    }
  }

  /// Crashes one of the workers, or cuts it off.
  auto CrashAny(std::size_t number) -> void {
    this->Crash(std::next(this->live.begin(), static_cast<std::ptrdiff_t>(
                                                  number % this->live.size()))
                    ->first);
  }

  /// Crashes a worker, or cuts it off, with what runs there.
  auto Crash(const std::string& id) -> void {
    auto& worker = this->live.at(id);
    worker.lost_at = this->clock.Now();
    worker.runs.clear();
    worker.ended.clear();
  }

  auto Run(Duration time) -> void {
    for (const auto end = this->clock.Now() + time; this->clock.Now() < end;) {
      this->Tick();
    }
  }

  /// Whether every job has ended.
  auto HasEnded() const -> bool {
    return std::all_of(this->specs.begin(), this->specs.end(),
                       [this](const auto& entry) {
                         return IsFinal(this->StateOf(entry.first.Text()));
                       });
  }
  /// Runs for some time after every job has ended, or for the given time.
  auto RunUntilEnded(Duration most) -> void {
    const auto end = this->clock.Now() + most;
    while (this->clock.Now() < end && !this->HasEnded()) {
      this->Run(milliseconds(20));
    }
    this->Run(kTimeAfterEnd);
  }

  auto StateOf(const std::string& job) const -> JobState {
    const auto found = this->stored.find(JobId(job));
    return found == this->stored.end() ? JobState::kQueued
                                       : *DecodeState(found->second);
  }

  /// Replaces the scheduler by one that knows only what is stored. Nobody leads
  /// in between.
  auto ChangeLeader(Duration time_without_leader = Duration::zero()) -> void {
    this->lost_leader_at = this->clock.Now();
    this->next_leader_at = this->clock.Now() + time_without_leader;
    this->polls.clear();
    this->batches.clear();
    this->TakeOverIfDue();
  }

  std::set<TaskId> deadly;
  Duration store_delay{};
  /// Tasks whose starts are executed and not answered.
  std::set<TaskId> unanswered;
  std::map<TaskId, int> starts;
  std::map<TaskId, int> crashes;

 private:
  using milliseconds = std::chrono::milliseconds;

  static constexpr milliseconds kTick{4};
  static constexpr milliseconds kDownTime{3500};
  /// A crashed worker leaves the list after this time.
  static constexpr milliseconds kListedTime{2000};
  static constexpr milliseconds kRunTime{1000};
  static constexpr milliseconds kTimeAfterEnd{3000};
  static constexpr milliseconds kCrashDelay{10};

  struct ActiveRun {
    StartOrder order;
    TimePoint started;
  };
  struct Worker {
    std::int64_t born = 1;
    std::vector<ActiveRun> runs;
    std::vector<EndedTask> ended;
    std::uint64_t last_end = 0;
    std::optional<TimePoint> lost_at;
  };
  struct Poll {
    PollOrder order;
    TimePoint sent;
  };

  auto Active() -> Scheduler& {
    return this->next ? *this->next : this->scheduler;
  }
  auto HasLeader() const -> bool { return !this->next_leader_at; }

  auto TakeOverIfDue() -> void {
    const auto now = this->clock.Now();
    if (this->HasLeader() || now < *this->next_leader_at) {
      return;
    }
    this->next_leader_at.reset();
    this->next.emplace(
        SchedulerOptions{.epoch = ++this->last_fence,
                         .previous_authority_end = this->lost_leader_at},
        now);
    this->next->OnConfiguration(this->configuration);
    for (const auto& [id, worker] : this->live) {
      if (!worker.lost_at || now - *worker.lost_at < kListedTime) {
        this->next->OnWorker(this->ReportOf(id, worker), now);
      }
    }
    for (const auto& [id, spec] : this->specs) {
      const auto found = this->stored.find(id);
      this->next->OnJob(spec,
                        found == this->stored.end()
                            ? JobProgress()
                            : *DecodeProgress(found->second),
                        now);
    }
  }

  auto ReportOf(const std::string& id, const Worker& worker) const
      -> WorkerReport {
    auto report = this->Report(id, 16'000);
    report.born_unix_ms = worker.born;
    return report;
  }

  auto Add(const std::string& id, std::int64_t born) -> void {
    this->live[id] = {.born = born};
    if (this->HasLeader()) {
      this->Active().OnWorker(this->ReportOf(id, this->live[id]),
                              this->clock.Now());
    }
  }

  auto Answer(const Poll& poll, OrderOutcome outcome) -> void {
    PollReply reply;
    reply.outcome = outcome;
    if (outcome == OrderOutcome::kDone) {
      auto& worker = this->live.at(poll.order.target.worker.Text());
      std::erase_if(worker.ended, [&poll](const EndedTask& end) {
        return end.number <= poll.order.acknowledged;
      });
      reply.worker_clock = std::chrono::floor<Milliseconds>(
          this->clock.Now().time_since_epoch());
      reply.born_unix_ms = worker.born;
      for (const auto& run : worker.runs) {
        const auto percent = 100 * (this->clock.Now() - run.started) / kRunTime;
        reply.running.push_back(
            RunningAs(run.order, static_cast<int>(percent)));
      }
      reply.ended = worker.ended;
    }
    this->Active().OnPollReply(poll.order, reply, poll.sent, this->clock.Now());
  }

  /// Returns whether the poll was answered or has failed.
  auto TryAnswer(const Poll& poll) -> bool {
    const auto now = this->clock.Now();
    const auto found = this->live.find(poll.order.target.worker.Text());
    if (found == this->live.end()) {
      this->Answer(poll, this->how == Return::kOtherId
                             ? OrderOutcome::kOtherIncarnation
                             : OrderOutcome::kNoAnswer);
      return true;
    }
    auto& worker = found->second;
    if (worker.lost_at) {
      const bool is_silent = this->how == Return::kCutOff;
      if (is_silent && now - poll.sent < poll.order.wait + milliseconds(500)) {
        return false;
      }
      this->Answer(poll, OrderOutcome::kNoAnswer);
      return true;
    }
    if (poll.order.wait > now - poll.sent && worker.ended.empty()) {
      return false;
    }
    this->Answer(poll, OrderOutcome::kDone);
    return true;
  }

  auto Start(const StartOrder& order) -> void {
    const auto found = this->live.find(order.target.worker.Text());
    if (found == this->live.end() || found->second.lost_at) {
      this->Active().OnStartReply(order, {OrderOutcome::kNoAnswer, {}},
                                  this->clock.Now());
      return;
    }
    auto& worker = found->second;
    const auto born = order.target.born_unix_ms;
    if (born != 0 && born != worker.born) {
      this->Active().OnStartReply(order, {OrderOutcome::kOtherIncarnation, {}},
                                  this->clock.Now());
      return;
    }
    this->starts[order.task]++;
    worker.runs.push_back({order, this->clock.Now()});
    const auto outcome = this->unanswered.contains(order.task)
                             ? OrderOutcome::kNoAnswer
                             : OrderOutcome::kDone;
    this->Active().OnStartReply(order, {outcome, {}}, this->clock.Now());
  }

  auto Stop(const StopOrder& order) -> void {
    const auto found = this->live.find(order.target.worker.Text());
    if (found == this->live.end() || found->second.lost_at) {
      this->Active().OnStopReply(order, {OrderOutcome::kNoAnswer, {}},
                                 this->clock.Now());
      return;
    }
    auto& worker = found->second;
    std::erase_if(worker.runs, [&](const ActiveRun& run) {
      const bool is_match = run.order.task == order.task;
      if (is_match) {
        worker.ended.push_back(
            Ended(run.order, EndKind::kStopped, ++worker.last_end));
      }
      return is_match;
    });
    this->Active().OnStopReply(order, {OrderOutcome::kDone, {}},
                               this->clock.Now());
  }

  /// Such a gang never has all of its members at work.
  auto IsInDeadlyGang(const TaskId& task) const -> bool {
    const auto& name = task.Text();
    const JobId job(name.substr(0, name.find('.')));
    return this->specs.at(job).steps[0].is_gang &&
           std::any_of(this->deadly.begin(), this->deadly.end(),
                       [&job](const TaskId& other) {
                         return other.Text().starts_with(job.Text() + '.');
                       });
  }

  auto AdvanceWorkers() -> void {
    const auto now = this->clock.Now();
    std::vector<std::string> back;
    std::vector<std::string> crashed;
    for (auto& [id, entry] : this->live) {
      auto& worker = entry;
      if (worker.lost_at && this->how != Return::kGone &&
          now - *worker.lost_at >= kDownTime) {
        back.push_back(id);
      }
      for (const auto& run : worker.runs) {
        if (this->deadly.contains(run.order.task) &&
            now - run.started >= kCrashDelay) {
          this->crashes[run.order.task]++;
          crashed.push_back(id);
        }
      }
      std::erase_if(worker.runs, [this, &worker, now](const ActiveRun& run) {
        const bool is_done = now - run.started >= kRunTime &&
                             !this->IsInDeadlyGang(run.order.task);
        if (is_done) {
          worker.ended.push_back(
              Ended(run.order, EndKind::kDone, ++worker.last_end));
        }
        return is_done;
      });
    }
    for (const auto& id : crashed) {
      this->Crash(id);
    }
    for (const auto& id : back) {
      this->BringBack(id);
    }
  }

  auto BringBack(const std::string& id) -> void {
    const auto born = this->live.at(id).born + 1;
    switch (this->how) {
      case Return::kSameId:
        this->Add(id, born);
        return;
      case Return::kOtherId:
        this->live.erase(id);
        if (this->HasLeader()) {
          this->Active().OnWorkerGone(WorkerId(id), this->clock.Now());
        }
        this->Add(id + "'", born);
        return;
      case Return::kGone:
      case Return::kCutOff:
        this->live.at(id).lost_at.reset();
        return;
    }
  }

  auto StoreDueBatches() -> void {
    const auto now = this->clock.Now();
    while (!this->batches.empty() && this->batches.front().first <= now) {
      const auto batch = std::move(this->batches.front().second);
      this->batches.pop_front();
      for (const auto& [job, bytes] : batch.records) {
        this->stored[job] = bytes;
      }
      this->Active().OnStored(batch.sequence, now);
    }
  }

  auto Tick() -> void {
    this->clock.Advance(kTick);
    this->AdvanceWorkers();
    this->TakeOverIfDue();
    if (!this->HasLeader()) {
      return;
    }
    std::erase_if(this->polls,
                  [this](const Poll& poll) { return this->TryAnswer(poll); });
    const auto now = this->clock.Now();
    auto decisions = this->Active().Decide(
        now, std::chrono::system_clock::time_point(), Authority{});
    if (decisions.batch) {
      this->batches.emplace_back(now + this->store_delay, *decisions.batch);
    }
    this->StoreDueBatches();
    for (const auto& order : decisions.starts) {
      this->Start(order);
    }
    for (const auto& order : decisions.stops) {
      this->Stop(order);
    }
    for (const auto& order : decisions.polls) {
      this->polls.push_back({order, now});
    }
  }

  const Return how;
  std::map<std::string, Worker> live;
  std::vector<Poll> polls;
  /// With the times at which they are stored.
  std::deque<std::pair<TimePoint, ProgressBatch>> batches;
  std::map<JobId, JobSpec> specs;
  std::optional<Scheduler> next;  ///< The leader after a change.
  Epoch last_fence = 1;
  TimePoint lost_leader_at;
  std::optional<TimePoint> next_leader_at;  ///< Unset while there is a leader.
};

inline auto FirstTask(const std::string& job) -> TaskId {
  return TaskName(JobId(job), 0, 0, 0);
}

}  // namespace shallotbank::cell
