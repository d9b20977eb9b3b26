#pragma once

#include <cstdio>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

namespace shallotbank::routing {

/// Prints each result as a table row and writes it to a CSV file.
class Report {
 public:
  /// Writes no file if `path` is empty.
  explicit Report(const std::string& path) {
    if (!path.empty()) {
      this->csv.open(path);
      this->csv << "part,case,metric,value\n";
    }
  }

  /// False if a write to the file failed.
  auto WriteSucceeded() const -> bool { return this->csv.good(); }

  auto Add(const std::string& part,
           const std::string& name,
           const std::string& metric,
           double value) -> void {
    std::cout << std::left << std::setw(12) << part << std::setw(50) << name
              << std::setw(30) << metric << std::right << std::setw(14)
              << std::fixed << std::setprecision(3) << value << "\n";
    if (this->csv.is_open()) {
      this->csv << part << "," << name << "," << metric << "," << value << "\n";
    }
  }

 private:
  std::ofstream csv;
};

}  // namespace shallotbank::routing
