// Configuration of the serving program, from the platform's file, the environment and an operator's file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/coordination/request_router.hpp"

namespace winchhall::app {

// Values of the configuration. Times are in ms.
struct Config {
  std::string name{}, listen{}, discovery{};
  std::string admin_address{};  // of the admin port; empty: none
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024;                       // for clients and servers together
  std::vector<coordination::Member> initial_members{};  // server list at the start
  long long initial_list_revision = 0;
  bool initial_list_valid = true;  // false if the file has a list that can't be read
  winchhall::Settings settings{};
  int shard_count = 0;                   // 0: not configured
  int max_parts_per_frame = 1;           // sent to a server in one frame
  int max_parts_per_connection = 1;      // in flight
  double idle_timeout = 30000;           // ms after which a server closes an idle connection
  double connect_timeout = 250;          // ms
  OperatorSettings operator_settings{};  // from the operator's file, unknown to the platform
};

// Decodes and validates a configuration (JSON). Throws std::runtime_error with the reason if it can't be
// used.
Config parse_config(const std::string& text);
// The same for a file of the older WINCHHALL_FLIGHT form.
void parse_flight_config(const std::string& text, FlightConfig& flight);

// The file named by LB_CONFIG. It is read at the start, when environment variables LB_* override its values,
// and again when an operator requests a reload.
class ConfigFile {
 public:
  ConfigFile();  // throws std::runtime_error
  const Config& config() const { return config_; }
  // Applies what may change in a running program: discovery's address, the settings and the limits that
  // belong to them. Throws std::runtime_error, and changes nothing, if any part of the file can't be used.
  void reload();

 private:
  void read_operator_settings(const std::string& path);

  // text_: the content at the start; file_discovery_: the address last read from the file, without
  // LB_DISCOVERY.
  std::string path_, text_, file_discovery_;
  Config config_;
};

}  // namespace winchhall::app
