// Measures the cost of decisions, memory use, shares and waiting times of the
// fair queue. Usage: queueing_benchmark [--csv PATH]

#include <getopt.h>
#include <malloc.h>

#include <cstdlib>
#include <new>

#include "decision_cost.h"
#include "pool_figures.h"

namespace {

std::int64_t allocated_bytes = 0;

}  // namespace

auto operator new(std::size_t size) -> void* {
  auto* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  allocated_bytes += static_cast<std::int64_t>(malloc_usable_size(memory));
  return memory;
}

auto operator delete(void* memory) noexcept -> void {
  allocated_bytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

auto operator delete(void* memory, std::size_t /*size*/) noexcept -> void {
  operator delete(memory);
}

namespace shallotbank::queueing {

auto AllocatedBytes() -> std::int64_t {
  return allocated_bytes;
}

}  // namespace shallotbank::queueing

auto main(int argc, char** argv) -> int {
  using shallotbank::queueing::Report;
  static constexpr option kOptions[] = {
      {"csv", required_argument, nullptr, 'c'}, {nullptr, 0, nullptr, 0}};
  std::string path;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    if (choice != 'c') {
      std::fprintf(stderr, "usage: %s [--csv PATH]\n", argv[0]);
      return EXIT_FAILURE;
    }
    path = optarg;
  }
  Report report;
  for (const int teams : {6, 60, 630}) {
    for (const int jobs : {1'000, 10'000, 100'000}) {
      shallotbank::queueing::MeasureDecisions(report, teams, jobs);
    }
  }
  shallotbank::queueing::MeasureCancellations(report);
  for (const auto& policy : shallotbank::queueing::ScoringPolicies()) {
    for (const int teams : {6, 60, 630}) {
      for (const auto age :
           {std::chrono::seconds(0), std::chrono::seconds(120)}) {
        shallotbank::queueing::MeasureShares(report, policy, teams, age);
      }
    }
    for (const double load : {0.7, 0.95, 1.2}) {
      shallotbank::queueing::WaitingTimeModel(policy, load).Run(report);
    }
  }
  if (!path.empty() && !report.Write(path)) {
    std::fprintf(stderr, "cannot write %s\n", path.c_str());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
