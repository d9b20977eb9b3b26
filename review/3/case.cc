// REFUSED: the store carries out an append whose connection is then lost, and
// answers 503 to what follows. The client is told 503 for every attempt, and
// the job runs.

#include "../standin/cell.h"

namespace review {
namespace {

constexpr const char* kId = "00000000000000aa";
const std::string kJob = std::string("wear-report/") + kId;
/// platform_down of the site asg-sched: for_s = 4.5.
constexpr milliseconds kOutage(4500);

auto Run(Cell& cell, Record& record) -> void {
  std::atomic<int> starts{0};
  Minion::Listener listener;
  listener.on_start = [&](const Minion&, const std::string& task, int) {
    starts += task.starts_with(kId) ? 1 : 0;
  };
  for (int i = 1; i <= 3; i++) {
    Minion::Options options;
    options.id = "m-" + std::to_string(i);
    cell.AddMinion(options, listener);
  }
  std::mutex mutex;
  std::optional<Clock::time_point> down_until;
  const auto is_down = [&] {
    const std::lock_guard lock(mutex);
    return down_until && Clock::now() < *down_until;
  };
  const auto go_down = [&](const Request& request) {
    const bool is_chosen = request.path == wire::kLogAppend &&
                           request.Query("topic") == "keyed.jobs" &&
                           request.body.find(kId) != std::string::npos;
    const std::lock_guard lock(mutex);
    if (!is_chosen || down_until) {
      return false;
    }
    down_until = Clock::now() + kOutage;
    return true;
  };
  if (HasTrouble()) {
    cell.store.SetTrouble([&](Store& store, const Request& request) {
      if (is_down()) {
        return Response{503, "{}"};
      }
      if (go_down(request)) {
        store.Execute(request);
        record.Write(
            "store: carried out the append of the job; goes down, the answers "
            "to calls in progress are lost; answers 503 from now on");
        return Response{0, "", Response::How::kReset};
      }
      auto response = store.Execute(request);
      return is_down() ? Response{0, "", Response::How::kReset} : response;
    });
  }
  cell.Configure(1, 0);
  if (!cell.StartDaemons(3)) {
    cell.Finish(kCouldNotRun);
  }
  // Ordinary traffic before: the system works.
  for (int i = 0; i < 20; i++) {
    const auto job = "wear-report/00000000000001" + std::to_string(10 + i);
    cell.Ask(static_cast<std::size_t>(i) % 3, "POST", job,
             Cell::Job(1, 3900, 1000));
    std::this_thread::sleep_for(milliseconds(200));
  }
  if (!Cell::Eventually(milliseconds(10000), [&] {
        return cell.StateOf(0, "wear-report/0000000000000129") == "completed";
      })) {
    cell.Finish(kCouldNotRun);
  }

  // A client that follows Retry-After (1 s) until its time limit has passed.
  int rejected = 0;
  int other = 0;
  const auto limit = Clock::now() + milliseconds(3000);
  for (int attempt = 0; attempt < 5 && Clock::now() < limit; attempt++) {
    const auto reply = cell.Ask(static_cast<std::size_t>(attempt) % 3, "POST",
                                kJob, Cell::Job(1, 3900, 1000));
    if (reply.status != 503 && reply.status != 429) {
      other++;
      break;
    }
    rejected++;
    std::this_thread::sleep_for(milliseconds(1000));
  }
  record.Write("client: " + std::to_string(rejected) + " attempts rejected, " +
               std::to_string(other) + " with another outcome");
  Cell::Eventually(milliseconds(15000), [&] { return starts > 0; });
  cell.StateOf(0, kJob);
  record.Write("starts of the job's task: " + std::to_string(starts));
  if (HasTrouble() && !down_until) {
    cell.Finish(kCouldNotRun);
  }
  cell.Finish(other == 0 && starts > 0 ? kBroken : kHeld);
}

}  // namespace
}  // namespace review

auto main(int count, char** arguments) -> int {
  return review::RunCase(count, arguments, review::Run);
}
