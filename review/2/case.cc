// LOST: one job with some thousand tasks is accepted. The record of its
// progress becomes longer than the store allows, and from then on no job of
// the system goes on.

#include "../standin/cell.h"

namespace review {
namespace {

constexpr int kTasks = 7000;
constexpr int kTaskCpu = 8;  // Of a thousand for one core.

auto SmallJob(int number) -> std::string {
  return "wear-report/00000000000001" + std::to_string(10 + number);
}

auto Run(Cell& cell, Record& record) -> void {
  std::atomic<int> done{0};
  Minion::Listener listener;
  listener.on_end = [&](const Minion&, const std::string&, int,
                        const std::string& how) {
    done += how == "done" ? 1 : 0;
  };
  for (int i = 1; i <= 3; i++) {
    Minion::Options options;
    options.id = "i-5c0e7a21d94b36f" + std::to_string(i);
    options.names_tasks = false;
    cell.AddMinion(options, listener);
  }
  cell.Configure(1, 0);
  if (!cell.StartDaemons(3)) {
    cell.Finish(kCouldNotRun);
  }
  cell.Ask(0, "POST", SmallJob(0), Cell::Job(2, 3900, 1000));
  if (!Cell::Eventually(milliseconds(10000), [&] {
        return cell.StateOf(0, SmallJob(0)) == "completed";
      })) {
    cell.Finish(kCouldNotRun);
  }
  // The same tasks: in one job, or in twelve.
  const int jobs = HasTrouble() ? 1 : 12;
  int accepted = 0;
  for (int i = 0; i < jobs; i++) {
    const auto job = "wear-report/00000000000002" + std::to_string(10 + i);
    accepted +=
        cell.Ask(0, "POST", job, Cell::Job(kTasks / jobs, kTaskCpu, 1000))
                    .status == 200
            ? 1
            : 0;
  }
  if (accepted < jobs) {
    record.Write("not accepted: nothing is promised");
    cell.Finish(kHeld);
  }
  std::this_thread::sleep_for(milliseconds(1000));
  // Ordinary jobs of other clients, at every daemon.
  for (int i = 1; i <= 6; i++) {
    cell.Ask(static_cast<std::size_t>(i) % 3, "POST", SmallJob(i),
             Cell::Job(2, 3900, 1000));
  }
  // The traffic ends; jobs are asked for finish_s (14 s) later. Without a run
  // since then, under half of the capacity (0 of 192 cores) is in use and there
  // is room for every task twice over.
  std::this_thread::sleep_for(milliseconds(14000));
  const int before = done;
  std::this_thread::sleep_for(milliseconds(4000));
  const int after = done;
  int stuck = 0;
  for (int i = 1; i <= 6; i++) {
    stuck += cell.StateOf(static_cast<std::size_t>(i) % 3, SmallJob(i)) ==
                     "completed"
                 ? 0
                 : 1;
  }
  const bool is_big_done =
      cell.StateOf(0, "wear-report/0000000000000210") == "completed";
  record.Write("tasks done: " + std::to_string(before) + ", 4 s later " +
               std::to_string(after) + "; ordinary jobs not completed: " +
               std::to_string(stuck) + " of 6; first large job " +
               (is_big_done ? "completed" : "not completed"));
  const bool is_lost = before == after && (stuck > 0 || !is_big_done);
  cell.Finish(is_lost ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
  return review::RunCase(count, arguments, review::Run);
}
