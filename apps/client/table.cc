#include "table.h"

#include <algorithm>

namespace shallotbank::client {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

Table::Table(std::vector<std::string> header) {
  this->rows.push_back(std::move(header));
}

auto Table::AddRow(std::vector<std::string> row) -> void {
  row.resize(this->rows.front().size());
  for (auto& cell : row) {
    if (cell.empty()) {
      cell.push_back('-');
    }
  }
  this->rows.push_back(std::move(row));
}

auto Table::Print(std::ostream& out) const -> void {
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

}  // namespace shallotbank::client
