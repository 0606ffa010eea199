// What the platform or an operator tells the program at its start, as plain values.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/coordination/exchange.hpp"

namespace winchhall::app {

struct Config {
  std::string name{}, listen{}, discovery{};
  std::string control{};  // the operators' door; empty: none
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::vector<core::Member> known{};
  long long known_revision = 0;
  bool known_read = true;  // false: the file's last list cannot be read
  winchhall::Settings settings{};
  int shards = 0;                // 0: not stated
  int batch = 1;                 // parts in one call
  int streams_per_conn = 1;      // parts on one connection
  double conn_idle = 30000;      // ms
  double connect_timeout = 250;  // ms
  OperatorSettings ops{};        // beyond the platform
};

// Throws std::runtime_error with a plain message where the text, as a whole, is no configuration.
Config parse_config(const std::string& text);
void parse_flight_config(const std::string& text, FlightConfig& flight);

// The file that LB_CONFIG names. Read at the start, when environment variables LB_* win over it, and again
// when an operator asks for that.
class ConfigFile {
 public:
  ConfigFile();  // throws std::runtime_error
  const Config& config() const { return config_; }
  // Takes over what may change in a running program: discovery's address, and the settings with what belongs
  // to them. Throws std::runtime_error and leaves all as it was where any of the file cannot be used.
  void reload();

 private:
  void read_operator(const std::string& path);

  std::string path_, text_, discovery_in_file_;  // text_: as the program began
  Config config_;
};

}  // namespace winchhall::app
