// Measures speed, memory use and packing of the placer and of the reference
// placer, a full scan, on the same input. Prints a table and writes it as CSV.

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>
#include <string>
#include <vector>

#include "base/settings.h"
#include "bench_cell.h"

namespace shallotbank::placement {
namespace {

constexpr std::array<std::size_t, 4> kWorkerCounts{50, 1000, 3000, 11'000};
constexpr std::array<double, 2> kFills{0.70, 0.97};
// Number of decisions of each kind that the reference placer makes as well, by
// worker count. Bounds the duration of the run.
constexpr std::array<std::size_t, 4> kReferenceDecisions{2000, 300, 100, 30};
constexpr std::size_t kDecisions = 20'000;
// Tasks are released at random so that this share of the cell is free, in
// addition to fragments that nothing fits into. One more task is released after
// `kRefusalsToRelease` refusals.
constexpr double kScatteredFreeShare = 0.002;
constexpr std::size_t kRefusalsToRelease = 4;
// More than the free capacity of most workers.
constexpr Resources kUrgentNeed{24'000, 96 * 1024, 0};

class Report {
 public:
  explicit Report(const std::string& path) {
    if (!path.empty()) {
      this->csv.open(path);
      if (!this->csv) {
        std::cerr << "cannot open file for writing: " << path << "\n";
        std::exit(EXIT_FAILURE);
      }
    }
    this->Line({"workers", "fill", "placer", "kind", "measure", "value"});
  }
  auto Line(const std::vector<std::string>& cells) -> void {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      std::cout << std::left << std::setw(i == 4 ? 24 : 12) << cells[i];
      this->csv << cells[i] << (i + 1 < cells.size() ? "," : "\n");
    }
    std::cout << std::endl;
  }

 private:
  std::ofstream csv;
};

auto Format(double value) -> std::string {
  std::ostringstream out;
  out << std::fixed << std::setprecision(value < 100 ? 3 : 0) << value;
  return out.str();
}

struct Context {
  Report& report;
  std::size_t workers;
  double fill;

  auto Add(const std::string& placer,
           const std::string& kind,
           const std::string& measure,
           double value) const -> void {
    this->report.Line({std::to_string(this->workers), Format(this->fill),
                       placer, kind, measure, Format(value)});
  }
  auto AddTimes(const std::string& placer,
                const std::string& kind,
                DecisionTimes times) const -> void {
    if (times.cpu.empty()) {
      return;
    }
    const auto count = static_cast<double>(times.cpu.size());
    const auto sum =
        std::accumulate(times.cpu.begin(), times.cpu.end(), Duration{});
    std::sort(times.cpu.begin(), times.cpu.end());
    std::sort(times.wall.begin(), times.wall.end());
    this->Add(placer, kind, "decisions", count);
    this->Add(placer, kind, "decisions/s",
              count * 1e9 / static_cast<double>(sum.count()));
    this->Add(placer, kind, "p50 us", MicrosecondsAt(times.cpu, 0.5));
    this->Add(placer, kind, "p99 us", MicrosecondsAt(times.cpu, 0.99));
    this->Add(placer, kind, "max us", MicrosecondsAt(times.cpu, 1));
    this->Add(placer, kind, "wall p99 us", MicrosecondsAt(times.wall, 0.99));
  }
  static auto MicrosecondsAt(const std::vector<Duration>& sorted,
                             double quantile) -> double {
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto at = static_cast<std::size_t>(quantile * last);
    return static_cast<double>(sorted[at].count()) / 1000;
  }
};

/// Decisions of one kind, made at a constant fill.
struct DecisionKind {
  const char* name;
  std::size_t decisions;
  /// Share of the cell that is released at random beforehand and kept free.
  double scattered_free_share;
  /// Makes one decision. Returns true if work was placed.
  std::function<bool(BenchCell&, DecisionTimes& real, DecisionTimes* reference)>
      decide;
};

auto RequireSame(bool same) -> void {
  if (!same) {
    std::cerr << "the placer and the reference placer disagree\n";
    std::exit(EXIT_FAILURE);
  }
}

auto DecideTask(BenchCell& cell,
                const TaskRequest& request,
                DecisionTimes& real,
                DecisionTimes* reference) -> bool {
  std::optional<std::size_t> expected;
  if (reference != nullptr) {
    expected =
        MeasureTime(*reference, [&] { return cell.reference->Place(request); });
  }
  const auto decision =
      MeasureTime(real, [&] { return cell.placer.Place(request, cell.now); });
  if (reference != nullptr) {
    RequireSame(static_cast<bool>(decision) == expected.has_value());
    RequireSame(!expected ||
                decision.Value() == cell.model.Workers()[*expected].id);
  }
  if (decision) {
    cell.Commit(request, decision.Value());
  }
  return static_cast<bool>(decision);
}

auto DecideGang(BenchCell& cell, DecisionTimes& real, DecisionTimes* reference)
    -> bool {
  auto gang = cell.model.NextGang();
  // A starving gang would reserve workers, which are then missing from the
  // comparison.
  gang.waiting_since = cell.now;
  std::optional<std::vector<std::size_t>> expected;
  if (reference != nullptr) {
    expected =
        MeasureTime(*reference, [&] { return cell.reference->FindGang(gang); });
  }
  const auto decision =
      MeasureTime(real, [&] { return cell.placer.PlaceGang(gang, cell.now); });
  if (reference != nullptr) {
    RequireSame(static_cast<bool>(decision) == expected.has_value());
  }
  if (decision) {
    cell.Commit(gang, decision.Value());
  }
  return static_cast<bool>(decision);
}

const std::vector<DecisionKind> kDecisionKinds{
    {"stop-advice", kDecisions / 10, 0,
     [](BenchCell& cell, auto& real, auto*) {
       auto request = cell.model.NextBatch();
       request.need = kUrgentNeed;
       request.is_urgent = true;
       const auto plan = MeasureTime(
           real, [&] { return cell.placer.PlanPreemption(request, cell.now); });
       return static_cast<bool>(plan);
     }},
    {"batch", kDecisions, kScatteredFreeShare,
     [](BenchCell& cell, auto& real, auto* reference) {
       return DecideTask(cell, cell.model.NextBatch(), real, reference);
     }},
    {"service", kDecisions, kScatteredFreeShare,
     [](BenchCell& cell, auto& real, auto* reference) {
       return DecideTask(cell, cell.model.NextService(), real, reference);
     }},
    {"gang", kDecisions / 10, kScatteredFreeShare,
     [](BenchCell& cell, auto& real, auto* reference) {
       return DecideGang(cell, real, reference);
     }},
};

auto MeasureDecisions(BenchCell& cell,
                      const DecisionKind& kind,
                      std::size_t reference_decisions,
                      const Context& context) -> void {
  DecisionTimes real;
  DecisionTimes reference;
  std::size_t placed = 0;
  std::size_t refused = 0;
  const auto fill = cell.Fill() - kind.scattered_free_share;
  for (std::size_t i = 0; i < kind.decisions; ++i) {
    if (i == reference_decisions) {
      cell.reference.reset();
    }
    while (cell.Fill() > fill || refused == kRefusalsToRelease) {
      cell.ReleaseRandom();
      refused = 0;
    }
    cell.now += std::chrono::milliseconds(1);
    const bool is_placed =
        kind.decide(cell, real, cell.reference ? &reference : nullptr);
    placed += is_placed ? 1 : 0;
    refused += is_placed ? 0 : 1;
  }
  context.Add(
      "real", kind.name, "placed share",
      static_cast<double>(placed) / static_cast<double>(kind.decisions));
  context.AddTimes("real", kind.name, real);
  if (kind.name != std::string("stop-advice")) {
    context.AddTimes("naive", kind.name, reference);
  }
}

auto MeasureMemory(const BenchCell& cell, const Context& context) -> void {
  const auto workers = static_cast<double>(cell.model.Workers().size());
  const auto tasks = static_cast<double>(cell.tasks.size());
  const auto before = static_cast<double>(AllocatedBytes());
  WorkerIndex index;
  for (const auto& worker : cell.model.Workers()) {
    RequireSame(static_cast<bool>(index.PutWorker(worker)));
  }
  const auto with_workers = static_cast<double>(AllocatedBytes());
  for (const auto& placed : cell.tasks) {
    RequireSame(static_cast<bool>(index.RecordRunning(
        cell.model.Workers()[placed.worker].id, placed.task)));
  }
  const auto with_tasks = static_cast<double>(AllocatedBytes());
  context.Add("real", "memory", "bytes/worker",
              (with_workers - before) / workers);
  context.Add("real", "memory", "bytes/task",
              (with_tasks - with_workers) / tasks);
  context.Add("real", "memory", "MiB in all", (with_tasks - before) / 1048576);
  context.Add("real", "memory", "tasks/worker", tasks / workers);
}

using Choose = std::function<std::optional<std::size_t>(const TaskRequest&)>;

/// Selects the worker that has the smallest dominant share of free capacity
/// after the placement.
auto FindBestDominantFit(const ReferencePlacer& reference,
                         const Resources& need) -> std::optional<std::size_t> {
  std::optional<std::pair<double, std::size_t>> best;
  for (std::size_t i = 0; i < reference.workers.size(); ++i) {
    const auto& worker = reference.workers[i];
    if (worker.HasCapacityFor(need)) {
      const std::pair key(
          DominantShare(worker.FreeCapacity() - need, worker.known.capacity),
          i);
      best = best ? std::min(*best, key) : key;
    }
  }
  return best ? std::optional(best->second) : std::nullopt;
}

/// Fills an empty cell with a stream of tasks and gangs until 300 consecutive
/// ones are refused. Of 100 requests, 3 are gangs and `services` are tasks of
/// services. Returns the allocated resources.
template <typename PlaceTask, typename PlaceGang>
auto FillCompletely(CellModel& model,
                    std::uint64_t services,
                    const PlaceTask& place_task,
                    const PlaceGang& place_gang) -> Resources {
  constexpr int kRefusals = 300;
  Resources used;
  for (int refused = 0; refused < kRefusals;) {
    bool placed = false;
    const auto kind = model.Pick(100);
    if (kind < 3) {
      const auto gang = model.NextGang();
      placed = place_gang(gang);
      for (const auto& task : gang.tasks) {
        used += placed ? task.need : Resources{};
      }
    } else {
      const auto request =
          kind < 3 + services ? model.NextService() : model.NextBatch();
      placed = place_task(request);
      used += placed ? request.need : Resources{};
    }
    refused = placed ? 0 : refused + 1;
  }
  return used;
}

auto AddPacking(const Context& context,
                const std::string& placer,
                const CellModel& model,
                const Resources& used) -> void {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
  };
  context.Add(placer, "packing", "cores allocated",
              share(used.cores_milli, model.Total().cores_milli));
  context.Add(placer, "packing", "memory allocated",
              share(used.memory_mib, model.Total().memory_mib));
  context.Add(placer, "packing", "accelerators allocated",
              share(used.accelerators, model.Total().accelerators));
}

auto PackReal(CellModel& model, const Context& context, std::uint64_t services)
    -> void {
  BenchCell cell(model);
  const auto used = FillCompletely(
      model, services,
      [&](const TaskRequest& request) {
        return static_cast<bool>(cell.placer.Place(request, kBenchStart));
      },
      [&](const GangRequest& gang) {
        auto waiting = gang;
        waiting.waiting_since = kBenchStart;
        return static_cast<bool>(cell.placer.PlaceGang(waiting, kBenchStart));
      });
  AddPacking(context, services == 0 ? "real" : "real-spread", model, used);
}

auto PackReference(CellModel& model, const Context& context, bool dominant)
    -> void {
  ReferencePlacer reference;
  for (const auto& worker : model.Workers()) {
    reference.workers.push_back({.known = worker});
  }
  const auto commit = [&reference](std::size_t position, const TaskId& task,
                                   const Resources& need) {
    reference.Commit(position,
                     {.task = task, .job = JobId(), .declared = need});
  };
  const auto find = [&](const Resources& need) {
    TaskRequest request;
    request.need = need;
    return dominant ? FindBestDominantFit(reference, need)
                    : reference.FindPacked(request);
  };
  const auto used = FillCompletely(
      model, 0,
      [&](const TaskRequest& request) {
        const auto found = find(request.need);
        if (found) {
          commit(*found, request.task, request.need);
        }
        return found.has_value();
      },
      [&](const GangRequest& gang) {
        for (std::size_t i = 0; i < gang.tasks.size(); ++i) {
          const auto found = find(gang.tasks[i].need);
          if (!found) {
            for (std::size_t j = 0; j < i; ++j) {
              reference.Release(gang.tasks[j].task.Text());
            }
            return false;
          }
          commit(*found, gang.tasks[i].task, gang.tasks[i].need);
        }
        return true;
      });
  AddPacking(context, dominant ? "naive-dom" : "naive", model, used);
}

auto Run(Report& report, std::uint64_t seed, std::size_t reference_packing)
    -> void {
  for (std::size_t size = 0; size < kWorkerCounts.size(); ++size) {
    const auto workers = kWorkerCounts[size];
    for (const auto fill : kFills) {
      const Context context{report, workers, fill};
      CellModel model(workers, fill, seed);
      BenchCell cell(model);
      cell.FillUpTo(fill);
      // Releases tasks and fills the cell again, so that free capacity is
      // fragmented as in a cell in use.
      const auto releases = cell.tasks.size() / 3;
      for (std::size_t i = 0; i < releases; ++i) {
        cell.ReleaseRandom();
      }
      cell.FillUpTo(fill);
      context.Add("real", "state", "allocated", cell.Fill());
      MeasureMemory(cell, context);
      for (const auto& kind : kDecisionKinds) {
        cell.StartReference();
        MeasureDecisions(cell, kind, kReferenceDecisions.at(size), context);
      }
    }
    const Context context{report, workers, 1};
    const auto pack = [&](auto method) {
      CellModel model(workers, 0.97, seed);
      method(model);
    };
    pack([&](CellModel& model) { PackReal(model, context, 0); });
    pack([&](CellModel& model) { PackReal(model, context, 20); });
    if (workers <= reference_packing) {
      pack([&](CellModel& model) { PackReference(model, context, false); });
      pack([&](CellModel& model) { PackReference(model, context, true); });
    }
  }
}

}  // namespace
}  // namespace shallotbank::placement

auto main(int argc, char** argv) -> int {
  namespace leaf = boost::leaf;
  using shallotbank::SettingsError;
  shallotbank::SettingsBuilder builder(
      "placement_benchmark",
      "Measures the placer and a naive full scan on the same input.");
  builder.Text("csv", "", "CSV file for the results")
      .Integer("seed", 20261204, 0, 1LL << 62, "seed of the input")
      .Integer("naive-packing", 3000, 0, 11'000,
               "largest number of workers that the naive full scan fills; "
               "11,000 take a minute or more");
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, builder.Parse(argc, argv, environ));
        if (settings.IsHelp()) {
          std::cout << builder.Help();
          return EXIT_SUCCESS;
        }
        shallotbank::placement::Report report(settings.Text("csv"));
        shallotbank::placement::Run(
            report, static_cast<std::uint64_t>(settings.Integer("seed")),
            static_cast<std::size_t>(settings.Integer("naive-packing")));
        return EXIT_SUCCESS;
      },
      [](const SettingsError& error) {
        std::cerr << error.setting << ": " << error.message << "\n";
        return EXIT_FAILURE;
      },
      [] { return EXIT_FAILURE; });
}
