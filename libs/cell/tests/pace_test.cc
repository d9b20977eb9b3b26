#include <boost/test/unit_test.hpp>

#include <set>

#include "scheduler_fixture.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 6;
constexpr milliseconds kTick{100};

/// Workers that run tasks at given paces, under a load of low-priority jobs
/// that keeps all of them busy.
struct PacedCell : SchedulerFixture {
  struct Run {
    StartOrder order;
    TimePoint started;
  };
  struct Worker {
    double slowdown = 1;
    std::map<std::string, Run> running;
    std::uint64_t ends = 0;
  };

  PacedCell() {
    this->queue.objective_stretch = 4;
    this->Configure();
    QueuePolicy urgent = this->queue;
    urgent.name = QueueName("urgent");
    urgent.priority = -1;
    urgent.objective_stretch = 1.5;
    this->configuration.queues[urgent.name] = urgent;
    this->scheduler.OnConfiguration(this->configuration);
    for (int i = 0; i < kWorkers; i++) {
      const auto id = "w" + std::to_string(i);
      this->workers[id];
      this->AddWorker(id, 8000);
    }
  }

  auto RunFor(Duration time) -> void {
    const auto end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      this->scheduler.OnJob(
          this->Job("patient" + std::to_string(this->jobs++), 2, 1000), {},
          this->clock.Now());
      this->Tick();
    }
  }

  /// Runs one round of starts and polls; returns the workers of urgent starts.
  auto Tick() -> std::set<std::string> {
    std::set<std::string> urgent;
    const auto decisions = this->Decide();
    if (decisions.batch) {
      this->Store();
    }
    for (const auto& order : decisions.starts) {
      this->Answer(order, OrderOutcome::kDone);
      auto& worker = this->workers[order.target.worker.Text()];
      worker.running[order.task.Text()] = {order, this->clock.Now()};
      if (order.task.Text().starts_with("urgent")) {
        urgent.insert(order.target.worker.Text());
      }
    }
    for (auto& [id, worker] : this->workers) {
      this->PollWorker(id, worker);
    }
    this->clock.Advance(kTick - milliseconds(30));
    return urgent;
  }

  auto PollWorker(const std::string& id, Worker& worker) -> void {
    constexpr int kFullPercent = 100;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    for (auto run = worker.running.begin(); run != worker.running.end();) {
      const auto& [order, started] = run->second;
      const std::chrono::duration<double> passed = this->clock.Now() - started;
      const int percent =
          static_cast<int>(kFullPercent * passed.count() / worker.slowdown);
      if (percent < kFullPercent) {
        running.push_back({order.task, order.run, "", percent});
        ++run;
      } else {
        ended.push_back(
            {++worker.ends, order.task, order.run, EndKind::kDone, ""});
        run = worker.running.erase(run);
      }
    }
    this->AnswerPoll(id, running, ended);
  }

  auto StartUrgent() -> std::set<std::string> {
    auto job = this->Job("urgent" + std::to_string(this->jobs++), 4, 500);
    job.queue = QueueName("urgent");
    this->scheduler.OnJob(job, {}, this->clock.Now());
    std::set<std::string> workers;
    for (int i = 0; i < 3; i++) {
      workers.merge(this->Tick());
    }
    return workers;
  }

  std::map<std::string, Worker> workers;
  int jobs = 0;
};

struct PaceCase {
  const char* name;
  double slowdown;  ///< Of two of the six workers.
  bool is_avoided;  ///< By urgent tasks.
};

// Urgent tasks are placed on workers that complete them in time.
BOOST_AUTO_TEST_CASE(urgent_tasks_avoid_slow_workers) {
  const PaceCase cases[] = {
      {"all alike", 1.0, false},
      {"older hardware", 1.3, true},
      {"a third of the pace", 3.0, true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      PacedCell cell;
      cell.workers["w0"].slowdown = test_case.slowdown;
      cell.workers["w1"].slowdown = test_case.slowdown;
      cell.RunFor(seconds(15));
      std::set<std::string> used;
      for (int i = 0; i < 8; i++) {
        used.merge(cell.StartUrgent());
      }
      BOOST_REQUIRE(!used.empty());
      BOOST_TEST((used.contains("w0") || used.contains("w1")) ==
                 !test_case.is_avoided);
    }
  }
}

// A stalling worker gets no new tasks for a while and is retried later.
BOOST_AUTO_TEST_CASE(a_stalling_worker_gets_no_tasks_for_a_while) {
  PacedCell cell;
  cell.RunFor(seconds(10));
  cell.workers["w0"].slowdown = 8;
  cell.RunFor(seconds(3));
  const auto before = cell.workers["w0"].running.size();
  cell.RunFor(seconds(2));
  BOOST_TEST(cell.workers["w0"].running.size() <= before);
  cell.workers["w0"].slowdown = 1;
  const auto ends = cell.workers["w0"].ends;
  cell.RunFor(seconds(25));
  BOOST_TEST(cell.workers["w0"].ends > ends + before + 10);
}

}  // namespace
}  // namespace shallotbank::cell
