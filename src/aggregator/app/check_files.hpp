// Checks a file without starting the program, for `winchhall check`.
#pragma once

#include <string>
#include <vector>

#include "aggregator/app/operator_file.hpp"

namespace winchhall::app {

// Result of checking one file.
struct CheckedFile {
  std::string kind{};  // "operator file", "configuration", "map of ranges", "old Flight file"
  std::vector<Fault> faults{};
};

// Recognizes the kind of a file by its content and checks it. The faults are empty if the file is valid.
CheckedFile check_file(const std::string& path);

// The content of a file. `why` gets the reason if it cannot be read.
std::string read_text(const std::string& path, std::string& why);

}  // namespace winchhall::app
