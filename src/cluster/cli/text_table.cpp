#include "cluster/cli/text_table.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr std::size_t kColumnGap = 2;

std::vector<std::size_t> column_widths(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths(rows.front().size(), 0);
  for (const auto& row : rows) {
    for (std::size_t column = 0; column < widths.size() && column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  return widths;
}

}  // namespace

void TextTable::print(std::ostream& out) const {
  const std::vector<std::size_t> widths = column_widths(rows_);
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      if (column + 1 < row.size()) line.append(widths[column] + kColumnGap - row[column].size(), ' ');
    }
    out << line << '\n';
  }
}

}  // namespace winchhall::cluster
