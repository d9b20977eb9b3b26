// Measures the cost of monitoring workers and running tasks for the owner of a
// shard: CPU time and bytes of one heartbeat round for all workers, CPU time of
// a start, and memory.

#include <getopt.h>
#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "fake_cell.h"
#include "worker_protocol/worker_protocol.h"

namespace shallotbank::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasksPerWorker = 16;
constexpr Epoch kEpoch = 100;
constexpr int kRounds = 5;

struct Result {
  int workers = 0;
  double start_us = 0;      // CPU time of one start, with all steps.
  double heartbeat_us = 0;  // CPU time of one heartbeat, with its JSON.
  double heartbeat_bytes = 0;
  double bytes_per_worker = 0;  // Memory, including its tasks.
};

auto CpuMicroseconds() -> double {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

auto HeapBytes() -> double {
  return static_cast<double>(mallinfo2().uordblks);
}

// Encodes a heartbeat, decodes a response to it, and returns the number of
// bytes of both.
auto RoundTripBytes(const WorkerCommand& command) -> std::size_t {
  const auto* heartbeat = std::get_if<HeartbeatCommand>(&command.command);
  if (heartbeat == nullptr) {
    return 0;
  }
  const auto request = worker_protocol::EncodeHeartbeat(
      command.epoch, command.not_after, heartbeat->renew,
      heartbeat->acknowledge);
  std::string answer = R"({"now_ms":123456789,"epoch":100,"tasks":[)";
  for (std::size_t i = 0; i < heartbeat->renew.size(); ++i) {
    answer += (i > 0 ? R"(,{"task":")" : R"({"task":")") +
              heartbeat->renew[i].Text() +
              R"(","state":"running","usage":{"cores_milli":1000,)"
              R"("memory_mib":1024,"accelerators":0}})";
  }
  answer += "]}";
  const auto report = worker_protocol::DecodeReport(answer);
  return report ? request.size() + answer.size() : 0;
}

auto Measure(int workers) -> Result {
  Result result{.workers = workers};
  FakeCell cell;
  cell.AddWorkers(workers, {16'000, 65'536, 0});
  const auto heap_before = HeapBytes();
  auto scheduler = std::make_unique<ShardScheduler>(
      kEpoch, SchedulingOptions{.max_starts_per_tick = 1'000'000}, nullptr,
      cell.clock.Now());
  scheduler->SetWorkers(cell.Listed(), cell.clock.Now());
  const auto total = Times({16'000, 65'536, 0}, workers);
  if (!scheduler->SetPolicy(MakePolicy(1, total, queueing::kNoLimit))) {
    std::abort();
  }
  for (int i = 0; i < 4; ++i) {
    cell.Step(*scheduler);
    cell.clock.Advance(milliseconds(10));
  }
  auto spec = MakeJob("job", workers * kTasksPerWorker, cell.clock.Now());
  spec.accepted_at = kEpoch + 1;
  spec.run_time = std::chrono::hours(10);
  if (!scheduler->AddJob(spec, {}, cell.clock.Now())) {
    std::abort();
  }
  scheduler->SetAuthority(cell.clock.Now() + seconds(3));
  const auto before_start = CpuMicroseconds();
  auto output = scheduler->Tick(cell.clock.Now());
  result.start_us =
      (CpuMicroseconds() - before_start) / (workers * kTasksPerWorker);
  cell.Answer(*scheduler, output);
  cell.clock.Advance(seconds(2));
  result.bytes_per_worker = (HeapBytes() - heap_before) / workers;
  double spent = 0;
  double bytes = 0;
  int heartbeats = 0;
  for (int round = 0; round < kRounds; ++round) {
    scheduler->SetAuthority(cell.clock.Now() + seconds(3));
    const auto before = CpuMicroseconds();
    output = scheduler->Tick(cell.clock.Now());
    for (const auto& command : output.commands) {
      bytes += static_cast<double>(RoundTripBytes(command));
      ++heartbeats;
    }
    spent += CpuMicroseconds() - before;
    cell.Answer(*scheduler, output);
    cell.clock.Advance(seconds(1));
  }
  result.heartbeat_us = spent / heartbeats;
  result.heartbeat_bytes = bytes / heartbeats;
  return result;
}

auto Run(const std::string& csv) -> void {
  std::ofstream file;
  if (!csv.empty()) {
    file.open(csv);
  }
  const char* title =
      "workers,start_us,heartbeat_us,heartbeat_bytes,memory_bytes_per_worker";
  std::printf("%s\n", title);
  file << title << "\n";
  for (const int workers : {50, 100, 300, 1000, 3000}) {
    const auto result = Measure(workers);
    char line[160];
    std::snprintf(line, sizeof(line), "%d,%.2f,%.2f,%.0f,%.0f", result.workers,
                  result.start_us, result.heartbeat_us, result.heartbeat_bytes,
                  result.bytes_per_worker);
    std::printf("%s\n", line);
    file << line << "\n";
  }
}

}  // namespace
}  // namespace shallotbank::scheduling

auto main(int argc, char** argv) -> int {
  const option options[] = {{"csv", required_argument, nullptr, 'c'},
                            {nullptr, 0, nullptr, 0}};
  std::string csv;
  int choice = 0;
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    if (choice != 'c') {
      std::fprintf(stderr, "usage: scheduling_benchmark [--csv FILE]\n");
      return 2;
    }
    csv = optarg;
  }
  shallotbank::scheduling::Run(csv);
  return 0;
}
