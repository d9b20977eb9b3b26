#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace shallotbank::client {

/// A text table whose columns are as wide as their longest cell.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  /// Missing and empty cells are printed as `-`.
  auto AddRow(std::vector<std::string> row) -> void;
  auto Print(std::ostream& out) const -> void;

 private:
  std::vector<std::vector<std::string>> rows;
};

}  // namespace shallotbank::client
