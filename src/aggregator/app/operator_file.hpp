// The operator's file: XML, checked against deploy/winchhall.xsd, which is built in. Everything in it is off
// where there is no such file.
//
// The XML library stays out of the program that has no such file: reading is done by a module of its own
// (winchhall_operator.so, beside the program), which is loaded only when there is one.
#pragma once

#include <string>
#include <vector>

#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::app {

struct Fault {
  std::string file{};
  long line = 0;  // 0: of the file as a whole
  std::string what{};
  std::string text() const { return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + what; }
};

struct FlightConfig {  // the second front; off unless an operator's file sets it up
  bool enabled = false;
  std::string listen{};  // where Flight clients connect
  bool nodes = false;    // ledger nodes are called over Flight too
};

struct RangesConfig {  // moving ranges; off unless an operator's file sets them up
  bool enabled = false;
  std::string directory{};        // its address
  std::size_t most = 2'000'000;   // ranges held at most
  double connect_timeout = 1000;  // ms
};

struct FilesConfig {  // watched files; off unless an operator's file sets them up
  bool enabled = false;
  std::string folder{};
  std::string store{};                // a file of its own for what must outlive the process; empty: none
  double drop_share = 0.25;           // a set that drops more of the nodes waits for an operator's word
  double drain_time = 10000;          // ms that a dropped node goes on with what it has
  std::size_t most_bytes = 32 << 20;  // of one file
  std::vector<std::string> zones{};   // known ones; empty: any
  long long cells = 0;                // known ones: from 0 up to, without, this; 0: any
};

struct OperatorSettings {
  FlightConfig flight{};
  RangesConfig ranges{};
  FilesConfig files{};
};

// Every fault of the file, with its line. Settings are of use only where there is none.
std::vector<Fault> read_operator_file(const std::string& path, OperatorSettings& settings);

// Reads a set of watched files: rows, and every fault of reading. May run on any thread, one at a time.
void read_config_files(const dynamic_config::Bytes& bytes, dynamic_config::Rows& rows,
                       std::vector<dynamic_config::Fault>& faults);

// What the module offers; called through the loader only.
using OperatorReader = void (*)(const std::string& path, OperatorSettings& settings,
                                std::vector<Fault>& faults);
using SetReader = void (*)(const dynamic_config::Bytes& bytes, dynamic_config::Rows& rows,
                           std::vector<dynamic_config::Fault>& faults);

}  // namespace winchhall::app
