#pragma once

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "base/clock.h"

namespace shallotbank::queueing {

/// Collects results, prints them as a table and writes them as CSV.
class Report {
 public:
  /// `inputs` describes the workload, `version` the implementation measured.
  auto Add(const std::string& section,
           const std::string& inputs,
           const std::string& version,
           const std::string& metric,
           double value,
           const std::string& unit) -> void {
    this->rows.push_back({section, inputs, version, metric, value, unit});
    std::printf("%-10s %-34s %-8s %-22s %14.3f %s\n", section.c_str(),
                inputs.c_str(), version.c_str(), metric.c_str(), value,
                unit.c_str());
    std::fflush(stdout);
  }

  /// Returns false if the file cannot be written.
  auto Write(const std::string& path) const -> bool {
    std::ofstream out(path);
    out << "section,inputs,version,metric,value,unit\n";
    for (const auto& row : this->rows) {
      out << row.section << ',' << row.inputs << ',' << row.version << ','
          << row.metric << ',' << row.value << ',' << row.unit << '\n';
    }
    return out.good();
  }

 private:
  struct Row {
    std::string section;
    std::string inputs;
    std::string version;
    std::string metric;
    double value = 0;
    std::string unit;
  };
  std::vector<Row> rows;
};

/// Measured times with exact quantiles.
class Samples {
 public:
  auto Add(Duration time) -> void { this->times.push_back(time); }
  auto Count() const -> std::size_t { return this->times.size(); }

  /// Returns the quantile in microseconds; 0 if there are no samples.
  auto Quantile(double fraction) -> double {
    if (this->times.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(this->times.size() - 1);
    const auto position = static_cast<std::ptrdiff_t>(last * fraction);
    std::nth_element(this->times.begin(), this->times.begin() + position,
                     this->times.end());
    return std::chrono::duration<double, std::micro>(
               this->times[static_cast<std::size_t>(position)])
        .count();
  }
  auto Total() const -> Duration {
    Duration total{};
    for (const auto time : this->times) {
      total += time;
    }
    return total;
  }

 private:
  std::vector<Duration> times;
};

}  // namespace shallotbank::queueing
