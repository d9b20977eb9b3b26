// Benchmarks of the routing library: cost of a decision, shared against
// partitioned slots, retry storm, ejection and admission control.

#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "report.h"
#include "router_fixture.h"
#include "router_simulation.h"
#include "slot_model.h"

namespace shallotbank::routing {
namespace {

constexpr int kDecisions = 200000;

auto Quantile(std::vector<double> values, double fraction) -> double {
  if (values.empty()) {
    return 0;
  }
  const auto place = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(place),
                   values.end());
  return values[place];
}

/// Measures `Submit` and `Complete` with 80% of the slots in use. The router
/// runs on a manual clock, so that only its decisions take time.
auto MeasureDecisions(int minions, std::uint64_t seed, Report& report) -> void {
  std::vector<Minion> list;
  for (int k = 0; k < minions; ++k) {
    list.push_back(MakeMinion(k, 8, std::string(1, "abcd"[k % 4])));
  }
  RouterPolicy policy;
  policy.seed = seed;
  RouterFixture fixture(list, policy);
  std::mt19937_64 random(seed);
  std::vector<AttemptId> running;
  std::vector<double> submits;
  std::vector<double> completes;
  const auto target_running = static_cast<std::size_t>(minions) * 8 * 4 / 5;
  const auto started = std::chrono::steady_clock::now();
  for (int k = 0; k < kDecisions; ++k) {
    fixture.clock.Advance(std::chrono::microseconds(100));
    auto request = fixture.MakeRequest();
    request.team = TeamId("t" + std::to_string(k % 20));
    request.domain = FailureDomain(std::string(1, "abcd"[k % 4]));
    const auto before = std::chrono::steady_clock::now();
    const auto actions = fixture.Submit(request);
    const auto after = std::chrono::steady_clock::now();
    submits.push_back(
        std::chrono::duration<double, std::micro>(after - before).count());
    if (const auto* sent = FindAction<Dispatch>(actions)) {
      running.push_back(sent->attempt);
    }
    if (running.size() > target_running) {
      std::swap(running[random() % running.size()], running.back());
      const auto from = std::chrono::steady_clock::now();
      fixture.Complete(running.back(), SuccessfulOutcome());
      completes.push_back(std::chrono::duration<double, std::micro>(
                              std::chrono::steady_clock::now() - from)
                              .count());
      running.pop_back();
    }
  }
  const std::chrono::duration<double> total =
      std::chrono::steady_clock::now() - started;
  const auto name = std::to_string(minions) + " minions";
  report.Add("decisions", name, "decisions_per_s", kDecisions / total.count());
  report.Add("decisions", name, "submit_p50_us", Quantile(submits, 0.5));
  report.Add("decisions", name, "submit_p99_us", Quantile(submits, 0.99));
  report.Add("decisions", name, "complete_p50_us", Quantile(completes, 0.5));
  report.Add("decisions", name, "complete_p99_us", Quantile(completes, 0.99));
}

auto MeasureSlots(std::uint64_t seed, Report& report) -> void {
  struct Variant {
    const char* name;
    SlotModel model;
  };
  std::vector<Variant> variants = {
      {"owned whole, overflow 4 ms", {.overflow = true}},
      {"split, 1 slot a host, 2 of 8 idle", {.usable_per_host = 48}},
      {"split, left-over slots dealt out", {}},
  };
  for (const double weight : {1.0, 2.0}) {
    for (auto& variant : variants) {
      variant.model.first_host_weight = weight;
      for (const int load : {50, 70, 80, 90, 95}) {
        const auto result = variant.model.Run(load / 100.0, seed);
        const auto name =
            std::string(variant.name) + (weight > 1 ? " (skewed)" : "");
        const auto suffix = "_at_" + std::to_string(load);
        report.Add("slots", name, "mean_wait_ms" + suffix, result.mean_wait);
        report.Add("slots", name, "p99_wait_ms" + suffix, result.p99_wait);
        report.Add("slots", name, "utilisation" + suffix, result.utilisation);
        report.Add("slots", name, "overflowed" + suffix, result.overflowed);
      }
    }
  }
}

auto MeasureRetryStorm(std::uint64_t seed, Report& report) -> void {
  for (const int failing : {30, 100}) {
    for (const bool budget : {true, false}) {
      RouterScenario scenario{
          .load = 0.3, .failure_rate = failing / 100.0, .seed = seed};
      if (!budget) {
        scenario.policy.retry_fraction = 1e6;
      }
      const auto result = RouterSimulation(scenario).Run();
      const auto name = std::to_string(failing) + "% fail, " +
                        (budget ? "budget 10%" : "no budget");
      report.Add("retries", name, "load_factor",
                 static_cast<double>(result.dispatches) / scenario.requests);
      report.Add("retries", name, "good_answers",
                 static_cast<double>(result.met_deadline) / scenario.requests);
    }
  }
}

auto MeasureEjectionAt(int minions,
                       int load,
                       std::uint64_t seed,
                       Report& report) -> void {
  for (const int slow : {-1, 7}) {
    for (const double fraction : {0.3, 0.0}) {
      RouterScenario scenario{.minions = minions,
                              .load = load / 100.0,
                              .slow_minion = slow,
                              .seed = seed};
      scenario.policy.max_ejected_fraction = fraction;
      const auto result = RouterSimulation(scenario).Run();
      const auto name = std::to_string(minions) + " minions at " +
                        std::to_string(load) + "%, " +
                        (slow < 0 ? "all equal" : "one 10x slower") +
                        (fraction > 0 ? ", ejection" : "");
      report.Add("ejection", name, "p50_ms", Quantile(result.latencies, 0.5));
      report.Add("ejection", name, "p99_ms", Quantile(result.latencies, 0.99));
      report.Add("ejection", name, "p999_ms",
                 Quantile(result.latencies, 0.999));
      report.Add("ejection", name, "ejections", result.ejections);
    }
  }
}

auto MeasureEjection(std::uint64_t seed, Report& report) -> void {
  for (const int minions : {50, 8}) {
    for (const int load : {60, 80, 90}) {
      MeasureEjectionAt(minions, load, seed, report);
    }
  }
}

/// The queue limit is high, so that only admission control bounds the queue. A
/// refusal counts as `refused_in_vain` if this request alone, all else being
/// equal, would have met its deadline.
auto MeasureAdmission(std::uint64_t seed, Report& report) -> void {
  for (const int shortest : {200, 60}) {
    for (const int load : {80, 95, 120, 200}) {
      for (const bool admission : {true, false}) {
        RouterScenario scenario{.load = load / 100.0,
                                .deadline_from = shortest,
                                .deadline_to = shortest == 200 ? 200 : 340,
                                .requests = 60000,
                                .seed = seed};
        scenario.policy.admission_control = admission;
        scenario.policy.queue_limit = 100000;
        const auto result = RouterSimulation(scenario).Run();
        const double all = scenario.requests;
        const auto name = std::to_string(load) + "% load, deadlines " +
                          std::to_string(scenario.deadline_from) + "-" +
                          std::to_string(scenario.deadline_to) + " ms, " +
                          (admission ? "on" : "off");
        report.Add("admission", name, "met", result.met_deadline / all);
        report.Add("admission", name, "refused_at_once",
                   result.refused_at_once / all);
        report.Add("admission", name, "refused_in_vain",
                   result.needless_refusals / all);
        report.Add("admission", name, "admitted_in_vain",
                   result.missed_after_admission / all);
      }
    }
  }
}

auto Run(std::uint64_t seed, const std::string& csv) -> int {
  Report report(csv);
  MeasureDecisions(50, seed, report);
  MeasureDecisions(2000, seed, report);
  MeasureSlots(seed, report);
  MeasureRetryStorm(seed, report);
  MeasureEjection(seed, report);
  MeasureAdmission(seed, report);
  if (!report.WriteSucceeded()) {
    std::cerr << "cannot write " << csv << "\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace shallotbank::routing

auto main(int argc, char** argv) -> int {
  const option options[] = {{"csv", required_argument, nullptr, 'c'},
                            {"seed", required_argument, nullptr, 's'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  std::string csv;
  std::uint64_t seed = 20261204;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    switch (flag) {
      case 'c':
        csv = optarg;
        break;
      case 's':
        seed = std::strtoull(optarg, nullptr, 10);
        break;
      default:
        std::cerr << "usage: routing_benchmark [--csv PATH] [--seed NUMBER]\n";
        return flag == 'h' ? 0 : 2;
    }
  }
  return shallotbank::routing::Run(seed, csv);
}
