// Looks a file over before a running program meets it.
#pragma once

#include <string>
#include <vector>

#include "aggregator/app/operator_file.hpp"

namespace winchhall::app {

struct Checked {
  std::string kind{};  // "operator file", "configuration", "map of ranges", "old Flight file"
  std::vector<Fault> faults{};
};

Checked check_file(const std::string& path);

// The whole text, or nothing and why.
std::string read_text(const std::string& path, std::string& why);

}  // namespace winchhall::app
