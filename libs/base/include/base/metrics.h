#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/latency_histogram.h"

namespace shallotbank {

/// Counters, gauges and latency histograms of one process, by name and label.
/// Thread-safe.
class Metrics {
 public:
  /// Adds to the counter `name{reason="reason"}`; no label if `reason` is
  /// empty.
  auto Add(const std::string& name,
           const std::string& reason = "",
           std::uint64_t amount = 1) -> void;
  auto Set(const std::string& name, double value) -> void;
  auto Observe(const std::string& name, Duration latency) -> void;

  auto Value(const std::string& name, const std::string& reason = "") const
      -> std::uint64_t;

  /// All values in the Prometheus text format.
  auto Expose() const -> std::string;

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::map<std::string, std::uint64_t>> counters;
  std::map<std::string, double> gauges;
  std::map<std::string, LatencyHistogram> histograms;
};

}  // namespace shallotbank
