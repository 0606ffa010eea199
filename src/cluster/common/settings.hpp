// Settings file of a process (TOML), as the platform writes it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Time and size bounds that the platform promises or demands.
struct Bounds {
  Millis seed_lag{3000};
  Millis addr_reuse{2000};
  Millis contact{3000};
  Millis ack_timeout{4000};
  Millis catch_up{4000};
  Millis drain_timeout{2000};
  Millis grace_period{6000};
  Millis config_apply{2000};
  Millis rollback_slack{250};
  Millis recovery{12000};
  Millis hold_max{10000};
  Millis stop{400};
  Millis gang{3000};
  Millis cancel{3000};
  Millis visible{3000};
  Millis early{250};
  Millis status{120000};
  Millis save{2000};
  Millis restore{100};
  double far_factor = 1.5;

  bool operator==(const Bounds&) const = default;
};

// How leaves are told what to do.
enum class CommandMode { heartbeat, invocation };

struct NodeSettings {
  std::string path;  // file that the settings were read from; empty: none
  std::string node_name;
  std::string role;
  std::string machine_class;
  std::vector<std::string> serves;
  std::string ip;
  std::string zone;
  std::string region;
  std::uint16_t internal_port_first = 0;
  std::uint16_t internal_port_last = 0;
  std::vector<Address> seeds;  // `control` addresses
  bool bootstrap = false;
  bool counts_for_quorum = false;
  std::string data_dir;
  Millis heartbeat{1500};
  CommandMode commands = CommandMode::heartbeat;
  std::string app;                           // address of the leaf on this machine, on `side` machines
  std::string backend;                       // its service
  std::map<std::string, std::string> zones;  // zone -> region
  Address front;
  Address ready;
  Address control;
  std::uint64_t memory_mb = 0;
  std::uint64_t max_fds = 0;
  std::uint64_t disk_mb = 0;
  unsigned tolerated_machines = 1;
  std::uint16_t metrics_port = 0;  // on loopback; 0: no metrics
  Bounds bounds;

  bool operator==(const NodeSettings&) const = default;

  // Internal listener of this process (the first internal port) and of another machine's control process.
  Address internal_address() const { return ip + ":" + std::to_string(internal_port_first); }
  Address internal_address_of(const Address& control_address) const {
    return control_address.substr(0, control_address.rfind(':')) + ":" + std::to_string(internal_port_first);
  }
  // Internal listeners of the seeds.
  std::vector<Address> seed_internal_addresses() const;
  // Loopback listener of an agent for the ingress beside it (the second internal port).
  Address agent_listener_address() const { return "127.0.0.1:" + std::to_string(internal_port_first + 1); }
};

// Reads and checks a settings file. Errors: InvalidInput. Unknown fields are ignored.
leaf::result<NodeSettings> load_settings(const std::string& path);

}  // namespace winchhall::cluster
