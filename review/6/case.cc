// A large job that spreads its tasks keeps each daemon that leads in one
// placing pass for longer than it may lead; soon no daemon answers.
#include "../stand-in-2/stand_in.h"

namespace {

using namespace review;

constexpr int kMinions = 48;
constexpr int kTasks = 10'000;
constexpr int kTasksOnMinion = 250;
constexpr int kLargeJob = 1;
constexpr int kFirstJob = 10;
constexpr int kJobs = 5;
/// `finish_s` after the end of the traffic.
constexpr std::int64_t kFinishMs = 14'000;

}  // namespace

auto main(int argc, char** argv) -> int {
  Begin(argc, argv);
  Installation site(kMinions,
                    {{"r-grind", "/grind/", 1, 2}, {"r-wear", "/wear/", 2, 3}},
                    {{"shops", "key-shops"}, {"office", "key-office"}});
  Client shops(*site.cell, kHost, "/grind/", "key-shops");
  Client office(*site.cell, kHost, "/wear/", "key-office");
  if (HasTrouble()) {
    const auto status = shops.Submit(
        JobId(kLargeJob),
        OneStep({{"ms", 4000}}, {{"count", kTasks},
                                 {"cpu", 100},
                                 {"memMb", 10},
                                 {"estimateMs", 4000},
                                 {kMostOnMinion, kTasksOnMinion}}));
    if (status != 200) {
      return kCouldNotRun;
    }
  }
  std::vector<std::string> accepted;
  for (int i = 0; i < kJobs; i++) {
    const auto status = office.Submit(
        JobId(kFirstJob + i), OneStep({{"ms", 800}}, {{"count", 2},
                                                      {"cpu", 4000},
                                                      {"memMb", 1000},
                                                      {"estimateMs", 800}}));
    if (status == 200) {
      accepted.push_back(JobId(kFirstJob + i));
    }
  }
  SleepMs(kFinishMs);
  // The client asks each daemon once, for 3 s each.
  int lost = 0;
  for (const auto& id : accepted) {
    const auto state = office.State(id);
    lost += state != "completed" && site.ledger.CountBegins(id) == 0 ? 1 : 0;
  }
  std::string large = "not sent";
  if (HasTrouble()) {
    large = shops.State(JobId(kLargeJob));
    lost += large == "0" ? 1 : 0;
  }
  return Finish(lost > 0,
                "of " + std::to_string(accepted.size()) +
                    " accepted small jobs and the large one " +
                    std::to_string(lost) +
                    " have no start or get no answer 14 s after the last was "
                    "sent; state of the large job: " +
                    large + " (0: five calls without an answer); starts: " +
                    std::to_string(site.ledger.CountBegins("5c0e")));
}
