// TWICE: the leader is killed, and more than 500 tasks of one minion end before
// the next one leads. The minion lists 500 of the ends at a time; the new
// leader takes the other runs for lost and starts their tasks again.

#include "../standin/cell.h"

namespace review {
namespace {

constexpr const char* kId = "00000000000000aa";
const std::string kJob = std::string("wear-report/") + kId;
constexpr int kTasks = 1000;
constexpr int kTaskCpu = 60;
/// node_kill of the site asg-sched, with power: for_s = 3.5.
constexpr milliseconds kDark(3500);

auto Run(Cell& cell, Record& record) -> void {
  std::mutex mutex;
  std::map<std::string, int> done;
  std::set<std::string> active;
  int starts = 0;
  int after_done = 0;
  int beside = 0;
  int lapsed = 0;
  std::set<std::string> repeated;  // Tasks that started after an end done.
  std::set<std::string> noted;     // Tasks of which such an end was noted.
  Minion::Listener listener;
  listener.on_start = [&](const Minion& minion, const std::string& task,
                          int run) {
    const std::lock_guard lock(mutex);
    starts++;
    if (done[task] > 0) {
      after_done++;
      repeated.insert(task);
    }
    beside += active.insert(task).second ? 0 : 1;
    if (done[task] > 0 && after_done <= 20) {
      record.Write("minion " + minion.Id() + ": start " + task + " run " +
                   std::to_string(run) + ", after an end done");
    }
  };
  listener.on_end = [&](const Minion&, const std::string& task, int,
                        const std::string& how) {
    const std::lock_guard lock(mutex);
    active.erase(task);
    done[task] += how == "done" ? 1 : 0;
    lapsed += how == "lapsed" ? 1 : 0;
  };
  listener.on_noted = [&](const Minion&, const std::string& task, int,
                          const std::string& how) {
    const std::lock_guard lock(mutex);
    if (how == "done") {
      noted.insert(task);
    }
  };
  for (int i = 1; i <= 3; i++) {
    Minion::Options options;
    options.id = "m-" + std::to_string(i);
    options.work = milliseconds(4000);
    options.names_tasks = false;
    cell.AddMinion(options, listener);
  }
  cell.Configure(1, 0);
  if (!cell.StartDaemons(3)) {
    cell.Finish(kCouldNotRun);
  }
  std::this_thread::sleep_for(milliseconds(4000));
  cell.Ask(0, "POST", kJob, Cell::Job(kTasks, kTaskCpu, 4000));
  if (!Cell::Eventually(milliseconds(10000), [&] {
        const std::lock_guard lock(mutex);
        return starts == kTasks;
      })) {
    cell.Finish(kCouldNotRun);
  }
  record.Write("all " + std::to_string(kTasks) + " tasks have been started");
  std::this_thread::sleep_for(milliseconds(3000));
  const auto leader = cell.Leader();
  if (!leader) {
    cell.Finish(kCouldNotRun);
  }
  if (HasTrouble()) {
    cell.Signal(*leader, SIGKILL);
    std::this_thread::sleep_for(kDark);
    cell.Restart(*leader);
  }
  std::string state;
  Cell::Eventually(milliseconds(30000), [&] {
    std::this_thread::sleep_for(milliseconds(500));
    state = cell.StateOf((*leader + 1) % 3, kJob);
    return state == "completed";
  });
  const std::lock_guard lock(mutex);
  // A start after a run has ended done, if that end is taken note of then or
  // later and no lease lapsed.
  const auto broken =
      std::count_if(repeated.begin(), repeated.end(),
                    [&](const auto& task) { return noted.contains(task); });
  record.Write("starts " + std::to_string(starts) + " of " +
               std::to_string(kTasks) + " tasks; after an end done " +
               std::to_string(after_done) + ", of these tasks with that end " +
               "taken note of " + std::to_string(broken) +
               "; beside another run " + std::to_string(beside) +
               "; lapsed runs " + std::to_string(lapsed) + "; state " + state);
  cell.Finish((broken > 0 && lapsed == 0) || beside > 0 ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
  return review::RunCase(count, arguments, review::Run);
}
