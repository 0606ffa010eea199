// The operator's file: XML, validated against deploy/winchhall.xsd, which is built in. Without such a file
// all its features are off.
//
// A module of its own (winchhall_operator.so, next to the program) parses XML. It is loaded only if there is
// such a file, so that the program otherwise doesn't load the XML library.
#pragma once

#include <string>
#include <vector>

#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::app {

// A fault of a checked file.
struct Fault {
  std::string file{};
  long line = 0;  // 0: the file as a whole
  std::string what{};
  std::string text() const { return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + what; }
};

// Arrow Flight front end; off unless an operator's file enables it.
struct FlightConfig {
  bool enabled = false;
  std::string listen{};        // address for Flight clients
  bool use_for_nodes = false;  // call ledger nodes over Flight instead of frames
};

// Range directory; off unless an operator's file enables it.
struct RangesConfig {
  bool enabled = false;
  std::string directory{};             // address of the directory
  std::size_t max_ranges = 2'000'000;  // of the range map
  double connect_timeout = 1000;       // ms
};

// Configuration from watched files; off unless an operator's file enables it.
struct FilesConfig {
  bool enabled = false;
  std::string folder{};
  std::string store{};  // database file for what must outlive the process; empty: none
  // Share of the nodes. A change that removes more of them is held until an operator accepts it.
  double max_removed_share = 0.25;
  double drain_time = 10000;              // ms in which a removed node may finish its open work
  std::size_t max_file_bytes = 32 << 20;  // of one file
  std::vector<std::string> zones{};       // valid zones; empty: any
  long long cell_count = 0;               // valid cells are 0 to cell_count - 1; 0: any
};

// All settings of the operator's file.
struct OperatorSettings {
  FlightConfig flight{};
  RangesConfig ranges{};
  FilesConfig files{};
};

// Reads the file into `settings` and returns every fault with its line. The settings may be used only if
// there is no fault.
std::vector<Fault> read_operator_file(const std::string& path, OperatorSettings& settings);

// Parses the watched files into rows, and appends every fault. May run on any thread, but on one at a time.
void read_config_files(const dynamic_config::Bytes& bytes, dynamic_config::Rows& rows,
                       std::vector<dynamic_config::Fault>& faults);

// Functions of the module, found by name when it is loaded.
using OperatorFileReader = void (*)(const std::string& path, OperatorSettings& settings,
                                    std::vector<Fault>& faults);
using ConfigFilesReader = void (*)(const dynamic_config::Bytes& bytes, dynamic_config::Rows& rows,
                                   std::vector<dynamic_config::Fault>& faults);

}  // namespace winchhall::app
