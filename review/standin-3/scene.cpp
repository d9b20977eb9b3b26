/// Plays the cases of the review: `scene N FOLDER`, from the repository's root.
/// TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0
/// if it held, and 2 if the case could not run.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/process.h"
#include "cell.hpp"

namespace shallotbank::review {
namespace {

using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;
constexpr int kMinions = 48;
constexpr int kDaemons = 6;

/// The queues of a small site file, without advice.
auto SmallQueues() -> std::vector<Queue> {
  return {{"season-plan", "/lohu930/", 1, 2, 2.2, 1000},
          {"weather-resched", "/wepu114/", 2, 4, 4.0, 3000},
          {"shift-confirm", "/pule252/", 0, 4, 1.5, 250}};
}

auto HasTrouble() -> bool {
  const auto* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

auto Work(int ms, const char* rest = "") -> std::string {
  return R"({"ms":)" + std::to_string(ms) + rest + "}";
}

/// Waits as long as the rule says after the end of the traffic, then asks for
/// the jobs and watches those that are not completed.
auto Judge(Cell& cell, const std::vector<Job>& jobs) -> int {
  cell.record.Add("the traffic ends");
  std::this_thread::sleep_for(Cell::kFinish);
  cell.record.Add("finish_s after the end of the traffic");
  std::vector<Job> open;
  for (const auto& job : jobs) {
    if (cell.StateOf(job) != "completed") {
      open.push_back(job);
    }
  }
  const auto left = cell.LeftWaiting(open, seconds(10));
  cell.record.Add("result: " + std::to_string(jobs.size() - open.size()) +
                  " of " + std::to_string(jobs.size()) +
                  " jobs are completed, " + std::to_string(left.size()) +
                  " are left waiting");
  std::printf("%zu of %zu jobs are left waiting\n", left.size(), jobs.size());
  return left.empty() ? kHeld : kBroken;
}

/// LOST: a gang that fits nowhere, and patient jobs of a later priority.
auto PlayHopelessGang(const std::string& folder) -> int {
  Cell cell(folder, SmallQueues());
  cell.AddMinions(kMinions);
  cell.StartDaemons(kDaemons);
  std::vector<Job> jobs;
  constexpr int kJobs = 40;
  constexpr int kHopelessAt = 10;
  for (int i = 0; i < kJobs; i++) {
    if (i == kHopelessAt && HasTrouble()) {
      Job job{cell.NextId(), &cell.QueueAt(0)};
      job.step = {8, 17'000, 6400, 12'000, true, false};
      cell.Submit(job, Work(12'000));
    }
    Job job{cell.NextId(), &cell.QueueAt(1)};
    job.step = {4, 1000, 1400, 2700, false, false};
    jobs.push_back(cell.Submit(job, Work(2700)));
    if (!jobs.back().is_accepted) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
  return Judge(cell, jobs);
}

/// LOST: two lasting jobs whose tasks fail after each start, among plain jobs.
auto PlayCrashLoop(const std::string& folder) -> int {
  constexpr milliseconds kPause(500);
  constexpr std::size_t kHopelessAt = 20;
  constexpr int kHopelessJobs = 2;
  constexpr std::size_t kFewestJobs = 60;
  constexpr std::size_t kMostJobs = 160;
  /// The clients end the traffic once nothing of theirs was started for so
  /// long.
  constexpr std::size_t kUnstartedJobs = 20;
  Cell cell(folder, SmallQueues());
  cell.AddMinions(kMinions);
  cell.StartDaemons(kDaemons);
  std::vector<Job> jobs;
  std::size_t unstarted = 0;
  while (
      jobs.size() < kFewestJobs ||
      (HasTrouble() && unstarted < kUnstartedJobs && jobs.size() < kMostJobs)) {
    for (int i = 0; jobs.size() == kHopelessAt && i < kHopelessJobs; i++) {
      Job job{cell.NextId(), &cell.QueueAt(1)};
      job.step = {8, 1000, 1400, 2700, false, true};
      if (HasTrouble()) {
        cell.Submit(job, Work(200, R"(,"lasts":true,"fails":true)"));
      }
    }
    Job job{cell.NextId(), &cell.QueueAt(1)};
    job.step = {4, 1000, 1400, 2700, false, false};
    jobs.push_back(cell.Submit(job, Work(2700)));
    if (!jobs.back().is_accepted) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(kPause);
    unstarted = 0;
    while (unstarted < jobs.size() &&
           !cell.minions.HasBegun(jobs[jobs.size() - 1 - unstarted].id)) {
      unstarted++;
    }
  }
  return Judge(cell, jobs);
}

/// LOST: a task that lasts loses its minion while batch jobs fill the service.
auto PlayLastingTask(const std::string& folder) -> int {
  constexpr int kFewMinions = 12;
  constexpr milliseconds kPause(110);
  constexpr seconds kLoad(60);
  constexpr seconds kCrashAt(20);
  constexpr milliseconds kDown(500);
  Cell cell(folder, SmallQueues());
  cell.AddMinions(kFewMinions);
  cell.StartDaemons(kDaemons);
  Job lasting{cell.NextId(), &cell.QueueAt(2)};
  lasting.step = {1, 1000, 1400, 1000, false, true, ""};
  lasting = cell.Submit(lasting, Work(1000, R"(,"lasts":true)"));
  std::this_thread::sleep_for(seconds(1));
  if (!lasting.is_accepted || cell.minions.CountRunning(lasting.id) != 1) {
    return kCannotRun;
  }
  const auto begin = cell.record.Elapsed();
  std::thread load([&] {
    while (cell.record.Elapsed() - begin < kLoad) {
      Job job{cell.NextId(), &cell.QueueAt(1)};
      job.step = {10, 1000, 1400, 2700, false, false};
      cell.Submit(job, Work(2700));
      std::this_thread::sleep_for(kPause);
    }
  });
  std::this_thread::sleep_for(kCrashAt);
  if (HasTrouble()) {
    for (std::size_t i = 0; i < cell.minions.Size(); i++) {
      auto& minion = cell.minions.At(i);
      if (minion.CountRunning(lasting.id) > 0) {
        minion.Crash();
        std::this_thread::sleep_for(kDown);
        minion.Start();
        break;
      }
    }
  }
  // 6 s after its last run, and the 3 s and the 4 s before them are calm.
  std::this_thread::sleep_for(seconds(7));
  cell.record.Add("the check begins");
  constexpr milliseconds kSpan(3000);
  constexpr milliseconds kSample(20);
  const auto checked_until = begin + kLoad;
  constexpr int kTwiceOver = 2;
  auto last_seen = cell.record.Elapsed();
  int starts_before = cell.minions.CountStarts();
  auto longest = milliseconds(0);
  int starts_meanwhile = 0;
  while (cell.record.Elapsed() < checked_until) {
    if (cell.minions.CountRunning(lasting.id) > 0) {
      last_seen = cell.record.Elapsed();
      starts_before = cell.minions.CountStarts();
    }
    if (cell.record.Elapsed() - last_seen > longest) {
      longest = cell.record.Elapsed() - last_seen;
      starts_meanwhile = cell.minions.CountStarts() - starts_before;
    }
    std::this_thread::sleep_for(kSample);
  }
  load.join();
  cell.StateOf(lasting);
  const auto text = "from 7 s after the crash on, the task did not run for " +
                    std::to_string(longest.count()) + " ms on end; " +
                    std::to_string(starts_meanwhile) +
                    " tasks as large, of the last priority, were started "
                    "meanwhile";
  cell.record.Add("result: " + text);
  std::printf("%s\n", text.c_str());
  return longest >= kSpan && starts_meanwhile >= kTwiceOver ? kBroken : kHeld;
}

/// LOST: waves of crashed minions, and short jobs none of whose runs fails.
auto PlayCrashWaves(const std::string& folder) -> int {
  constexpr milliseconds kPause(20);
  constexpr seconds kTraffic(50);
  constexpr int kWaves = 40;
  constexpr std::size_t kCrashed = 6;  ///< Of 48: less than a share of 0.14.
  constexpr milliseconds kDown(500);
  Cell cell(folder, SmallQueues());
  cell.AddMinions(kMinions);
  cell.StartDaemons(kDaemons);
  std::vector<Job> jobs;
  const auto begin = cell.record.Elapsed();
  std::thread load([&] {
    while (cell.record.Elapsed() - begin < kTraffic) {
      Job job{cell.NextId(), &cell.QueueAt(2)};
      job.step = {8, 1400, 1000, 1000, false, false};
      jobs.push_back(cell.Submit(job, Work(1000)));
      std::this_thread::sleep_for(kPause);
    }
  });
  std::this_thread::sleep_for(seconds(2));
  std::mt19937 random(1);
  for (int wave = 0; HasTrouble() && wave < kWaves; wave++) {
    std::vector<std::size_t> order(cell.minions.Size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    order.resize(kCrashed);
    std::vector<std::thread> crashes;
    for (const auto index : order) {
      crashes.emplace_back([&cell, kDown, index] {
        auto& minion = cell.minions.At(index);
        minion.Crash();
        std::this_thread::sleep_for(kDown);
        minion.Start();
        cell.minions.Beat(minion);
      });
    }
    for (auto& crash : crashes) {
      crash.join();
    }
    // The pause is 0.2 to 0.9 s long.
    std::this_thread::sleep_for(milliseconds(200 + random() % 700));
  }
  load.join();
  cell.record.Add("the traffic ends");
  std::this_thread::sleep_for(Cell::kFinish);
  int accepted = 0;
  int completed = 0;
  int without_cause = 0;
  for (const auto& job : jobs) {
    if (!job.is_accepted) {
      continue;
    }
    accepted++;
    const auto state = cell.StateOf(job);
    completed += state == "completed" ? 1 : 0;
    if (state == "failed" && cell.minions.EndsOf(job.id, "failed") == 0) {
      without_cause++;
      cell.record.Add("check: job " + job.id +
                      " is shown as failed, none of its runs ended so, " +
                      std::to_string(cell.minions.EndsOf(job.id, "crash")) +
                      " were lost in crashes");
    }
  }
  const auto text = std::to_string(accepted) + " jobs accepted, " +
                    std::to_string(completed) + " completed, " +
                    std::to_string(without_cause) + " failed without cause";
  cell.record.Add("result: " + text);
  std::printf("%s\n", text.c_str());
  return without_cause > 0 ? kBroken : kHeld;
}

/// LOST: a minion that starts again while its time of day is stepped back.
auto PlayClockStep(const std::string& folder) -> int {
  constexpr milliseconds kStep(2000);
  constexpr milliseconds kFirstLife(1200);
  constexpr milliseconds kDown(500);
  Cell cell(folder, SmallQueues());
  cell.AddMinions(kMinions);
  cell.StartDaemons(kDaemons);
  // All minions but one are full, so that the job comes to that one.
  auto& minion = cell.minions.At(0);
  minion.Crash();
  std::this_thread::sleep_for(kDown);
  Job filler{cell.NextId(), &cell.QueueAt(1)};
  filler.step = {kMinions - 1, 16'000, 1400, 12'000, false, false};
  filler = cell.Submit(filler, Work(12'000));
  for (int i = 0; cell.minions.CountRunning(filler.id) < kMinions - 1; i++) {
    if (i == 50) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  Job job{cell.NextId(), &cell.QueueAt(0)};
  job.step = {1, 4500, 1400, 5000, false, false};
  job = cell.Submit(job, Work(5000));
  minion.Start();
  cell.minions.Beat(minion);
  std::this_thread::sleep_for(kFirstLife);
  if (!job.is_accepted || cell.minions.CountRunning(job.id) != 1) {
    return kCannotRun;
  }
  minion.Crash();
  std::this_thread::sleep_for(kDown);
  minion.Start(HasTrouble() ? -kStep : milliseconds(0));
  cell.minions.Beat(minion);
  std::this_thread::sleep_for(seconds(12));
  return Judge(cell, {job, filler});
}

/// LOST: a rack with the only minions of a kind is lost for good, and jobs for
/// any minion come beside those for that kind.
auto PlayLostRack(const std::string& folder) -> int {
  constexpr int kRack = 6;
  constexpr milliseconds kPause(40);
  constexpr seconds kLostAt(5);
  constexpr seconds kTraffic(35);
  constexpr int kPlainEvery = 10;
  Cell cell(folder, SmallQueues());
  cell.AddMinions(kMinions, kMinions - kRack);
  cell.StartDaemons(kDaemons);
  std::vector<Job> plain;
  const auto begin = cell.record.Elapsed();
  bool is_lost = false;
  for (int i = 0; cell.record.Elapsed() - begin < kTraffic; i++) {
    if (HasTrouble() && !is_lost && cell.record.Elapsed() - begin > kLostAt) {
      is_lost = true;
      for (int one = kMinions - kRack; one < kMinions; one++) {
        cell.minions.At(static_cast<std::size_t>(one)).Crash();
      }
    }
    Job special{cell.NextId(), &cell.QueueAt(0)};
    special.step = {1, 1000, 1400, 5000, false, false, "b"};
    cell.Submit(special, Work(2500));
    if (i % kPlainEvery == 0) {
      Job job{cell.NextId(), &cell.QueueAt(1)};
      job.step = {4, 1000, 1400, 2700, false, false, ""};
      plain.push_back(cell.Submit(job, Work(2700)));
    }
    std::this_thread::sleep_for(kPause);
  }
  return Judge(cell, plain);
}

auto Play(const std::string& name, const std::string& folder) -> int {
  if (name == "hopeless-gang") {
    return PlayHopelessGang(folder);
  }
  if (name == "lasting-task") {
    return PlayLastingTask(folder);
  }
  if (name == "crash-waves") {
    return PlayCrashWaves(folder);
  }
  if (name == "clock-step") {
    return PlayClockStep(folder);
  }
  if (name == "lost-rack") {
    return PlayLostRack(folder);
  }
  if (name == "crash-loop") {
    return PlayCrashLoop(folder);
  }
  return kCannotRun;
}

}  // namespace
}  // namespace shallotbank::review

auto main(int argc, char** argv) -> int {
  if (argc != 3) {
    return 2;
  }
  shallotbank::BlockStopSignals();
  const int code = shallotbank::review::Play(argv[1], argv[2]);
  std::fflush(nullptr);
  std::_Exit(code);
}
