// One faulty minion crashes whenever it has started a task. Each lasting job
// that wants a task on every minion is given up on all of them, though no run
// of it ended `failed`.
#include "../stand-in-2/stand_in.h"

namespace {

using namespace review;

constexpr int kMinions = 8;
constexpr int kJobs = 3;
constexpr std::int64_t kCrashAfterMs = 60;
constexpr std::int64_t kDownMs = 1500;
constexpr std::int64_t kWatchMs = 20'000;

/// Crashes the minion soon after each start and lets it come back.
class Fault {
 public:
  explicit Fault(Worker& minion) : minion(minion) {
    this->minion.on_begin = [this](const std::string&, int) {
      this->has_begun = true;
    };
    this->thread = std::thread([this] { this->Run(); });
  }
  ~Fault() {
    this->is_over = true;
    this->thread.join();
  }
  Fault(const Fault&) = delete;
  auto operator=(const Fault&) -> Fault& = delete;

 private:
  auto Run() -> void {
    while (!this->is_over) {
      if (this->has_begun.exchange(false)) {
        SleepMs(kCrashAfterMs);
        this->minion.Crash();
        SleepMs(kDownMs);
        this->minion.Start();
      }
      SleepMs(2);
    }
  }

  Worker& minion;
  std::atomic<bool> has_begun{false};
  std::atomic<bool> is_over{false};
  std::thread thread;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  Begin(argc, argv);
  Installation site(kMinions, {{"r-services", "/services/"}},
                    {{"shops", "key-shops"}});
  std::unique_ptr<Fault> fault;
  if (HasTrouble()) {
    fault = std::make_unique<Fault>(*site.workers[0]);
  }
  Client client(*site.cell, kHost, "/services/", "key-shops");
  for (int i = 0; i < kJobs; i++) {
    const auto status = client.Submit(
        JobId(i), OneStep({{"lasts", true}}, {{"count", kMinions},
                                              {"cpu", 4000},
                                              {"memMb", 1000},
                                              {"estimateMs", 1000},
                                              {"antiAffinity", 1},
                                              {"longRunning", true}}));
    if (status != 200) {
      return kCouldNotRun;
    }
    SleepMs(500);
  }
  SleepMs(kWatchMs);
  int failed = 0;
  int ended_failed = 0;
  int stopped = 0;
  for (int i = 0; i < kJobs; i++) {
    failed += client.State(JobId(i)) == "failed" ? 1 : 0;
    stopped += site.ledger.CountEnds(JobId(i), "stopped");
    ended_failed += site.ledger.CountEnds(JobId(i), "failed");
  }
  return Finish(failed > 0 && ended_failed == 0,
                std::to_string(failed) + " of " + std::to_string(kJobs) +
                    " lasting jobs are shown as failed, and " +
                    std::to_string(stopped) +
                    " of their tasks on sound minions were stopped; " +
                    std::to_string(ended_failed) +
                    " runs ended `failed` and nobody cancelled");
}
