// Recorded lists of lines, which tests compare with the results of the current code.
#pragma once

#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <string>

namespace winchhall::compatibility {

// The lines of a recorded list, without comments (lines that begin with '#') and empty lines. Throws
// std::runtime_error if the file can't be read.
inline std::set<std::string> read_recorded_lines(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path.string() + ": cannot be read");
  std::set<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    if (!line.empty() && line.front() != '#') lines.insert(line);
  }
  return lines;
}

// The lines of `some` that are not in `others`, each followed by a line break.
inline std::string lines_missing(const std::set<std::string>& some, const std::set<std::string>& others) {
  std::string missing;
  for (const std::string& line : some) {
    if (others.count(line) == 0) missing += line + "\n";
  }
  return missing;
}

}  // namespace winchhall::compatibility
