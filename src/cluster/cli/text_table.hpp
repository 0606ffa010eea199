// Plain-text tables for the terminal.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace winchhall::cluster {

// A table with a row of headings; each column is as wide as its widest text.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> headings) : rows_{std::move(headings)} {}

  // `row`: one text for each heading.
  void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  // Writes the headings and rows, one line each.
  void print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace winchhall::cluster
