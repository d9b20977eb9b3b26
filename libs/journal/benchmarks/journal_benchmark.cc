// Measures the cost of applying the log, the size of the state and the size of
// encoded records. Flags: --csv prints comma-separated lines only.

#include <getopt.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "journal/codec.h"
#include "journal/replica.h"
#include "journal/retention_planner.h"
#include "journal_support.h"

namespace shallotbank::journal {
namespace {

using configuration::ItemKind;
using Seconds = std::chrono::duration<double>;

bool is_csv = false;
std::uint64_t sequence = 0;

auto HeapBytes() -> double {
  return static_cast<double>(mallinfo2().uordblks);
}

auto Print(const char* what, std::size_t count, double value, const char* unit)
    -> void {
  std::printf(is_csv ? "%s,%zu,%.2f,%s\n" : "%-28s %7zu %14.2f %s\n", what,
              count, value, unit);
}

/// Applies one batch per record, and prints time and memory per record.
template <typename MakeRecord>
auto Measure(const char* what,
             Replica& replica,
             std::size_t count,
             const MakeRecord& make) -> void {
  std::vector<std::string> log;
  log.reserve(count);

  for (std::size_t i = 0; i < count; ++i) {
    log.push_back(EncodeOrEmpty("writer", ++sequence, {make(i)}));
  }
  const auto heap = HeapBytes();
  const auto start = std::chrono::steady_clock::now();
  for (const auto& bytes : log) {
    replica.Apply(replica.Next(), bytes);
  }
  const Seconds time = std::chrono::steady_clock::now() - start;
  const auto number = static_cast<double>(count);
  Print((std::string(what) + ".apply").c_str(), count,
        time.count() * 1e6 / number, "us/record");
  Print((std::string(what) + ".state").c_str(), count,
        (HeapBytes() - heap) / number, "bytes/item");
}

auto JobName(std::size_t i) -> std::string {
  return "entry-caxias-1-20261204-" + std::to_string(i);
}

auto Team(std::size_t i) -> Record {
  const auto name = "team-" + std::to_string(i);
  ConfigurationChanged record{i + 1, {}};
  if (i == 0) {
    record.expected_version = 0;
    record.changes = TeamChanges(1);
  } else {
    record.changes = {PutItem(
        ItemKind::kTeam, name,
        R"({"name":")" + name +
            R"(","organisation":"o","weight":3,"limit":{"cores_milli":400000,)"
            R"("memory_mib":1600000,"tasks":1000},"share":{"cores_milli":)"
            R"(200000,"memory_mib":800000}})")};
  }
  return record;
}

auto Intent(std::size_t i) -> Record {
  return RequestIntent{TeamId("team-1"), RequestId(JobName(i)),
                       std::string(64, 'd'), i};
}

auto RunSize(std::size_t teams, std::size_t jobs) -> void {
  Replica replica;
  replica.Apply(0, EncodeOrEmpty("first", 1, {}));
  // Each change is valid for the version that the previous change created.
  Measure("team", replica, teams, [](std::size_t i) {
    auto record = Team(i);
    std::get<ConfigurationChanged>(record).expected_version = i;
    return record;
  });
  Measure("job_accepted", replica, jobs, [](std::size_t i) -> Record {
    return JobAccepted{SmallJob(JobName(i))};
  });
  Measure("job_finished", replica, jobs, [](std::size_t i) -> Record {
    return JobFinished{JobId(JobName(i)), WorkOutcome::kSucceeded, ""};
  });
  Measure("request_id", replica, jobs, Intent);
  Print("valid.teams", teams,
        static_cast<double>(
            replica.State()->Configuration().Get().Teams().size()),
        "teams");
  const auto start = std::chrono::steady_clock::now();
  const auto pieces = MakeSnapshot(replica, 1);
  const Seconds time = std::chrono::steady_clock::now() - start;
  std::size_t bytes = 0;
  std::size_t largest = 0;
  for (const auto& piece : pieces) {
    const auto size = EncodedSize(piece);
    bytes += size;
    largest = std::max(largest, size);
  }
  Print("snapshot.size", jobs, static_cast<double>(bytes), "bytes");
  Print("snapshot.largest_piece", jobs, static_cast<double>(largest), "bytes");
  Print("snapshot.make", jobs, time.count() * 1e3, "ms");
}

auto Run() -> void {
  if (is_csv) {
    std::printf("what,count,value,unit\n");
  }
  Print("size.configuration_change", 1,
        static_cast<double>(EncodedSize(Team(1))), "bytes");
  Print("size.claim", 1,
        static_cast<double>(EncodedSize(Claim{ResourceId("shard-0"),
                                              ProcessId(JobName(1)),
                                              123456,
                                              {"127.0.0.1:7001"}})),
        "bytes");
  Print("size.job_accepted", 1,
        static_cast<double>(EncodedSize(JobAccepted{SmallJob(JobName(1))})),
        "bytes");
  RunSize(63, 6'700);
  RunSize(210, 22'000);
  RunSize(630, 67'000);
}

}  // namespace
}  // namespace shallotbank::journal

auto main(int argc, char** argv) -> int {
  const option options[] = {{"csv", no_argument, nullptr, 'c'},
                            {nullptr, 0, nullptr, 0}};
  int choice = 0;
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    if (choice != 'c') {
      return 2;
    }
    shallotbank::journal::is_csv = true;
  }
  shallotbank::journal::Run();
  return 0;
}
