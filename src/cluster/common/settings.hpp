// Settings of a process, read from the TOML file that the platform writes for it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Timing bounds that the platform guarantees or requires: table `bounds` of the settings file, keys with the
// unit as a suffix (_s, _ms). Bounds that no code refers to are read nevertheless, so that invalid values are
// reported.
struct Bounds {
  Millis seed_lag{3000};
  Millis addr_reuse{2000};
  Millis contact{3000};
  Millis ack_timeout{4000};
  Millis catch_up{4000};  // until a returning control node has all state
  Millis drain_timeout{2000};
  Millis grace_period{6000};  // from SIGTERM to SIGKILL
  Millis config_apply{2000};
  Millis rollback_slack{250};
  Millis recovery{12000};
  Millis hold_max{10000};  // longest lease of a leaf on its running tasks
  Millis stop{400};        // longest time that a leaf takes to stop a task
  Millis gang{3000};
  Millis cancel{3000};
  Millis visible{3000};
  Millis early{250};
  Millis status{120000};  // how long the state of an ended job can be queried
  Millis save{2000};
  Millis restore{100};
  // Run time of a task on a leaf remote from its data, relative to a local one. Key `far_x`.
  double far_factor = 1.5;

  bool operator==(const Bounds&) const = default;
};

// How orders reach the leaves: in the responses to their heartbeats, or by calls to the leaves (not
// implemented).
enum class CommandMode { heartbeat, invocation };

// Settings of one process. Fields are top-level keys of the settings file unless noted; a field that is
// missing from the file keeps the default given here.
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
  std::vector<Address> seeds;  // control nodes to contact first: their `bind_addrs.control`
  bool bootstrap = false;
  bool counts_for_quorum = false;
  std::string data_dir;
  Millis heartbeat{1500};
  CommandMode commands = CommandMode::heartbeat;
  std::string app;                           // address of the leaf on this machine, on `side` machines
  std::string backend;                       // service of that leaf
  std::map<std::string, std::string> zones;  // table `zones`: region by zone
  Address front;                             // table `bind_addrs`: clients' HTTP requests
  Address ready;                             // table `bind_addrs`: the platform's readiness probes
  Address control;                           // table `bind_addrs`: operator API, or the leaf's heartbeats
  std::uint64_t memory_mb = 0;               // table `limits`
  std::uint64_t max_fds = 0;                 // table `limits`
  std::uint64_t disk_mb = 0;                 // table `limits`
  unsigned tolerated_machines = 1;           // `fault_tolerance.machines`
  std::uint16_t metrics_port = 0;            // on loopback; 0: no metrics
  Bounds bounds;

  bool operator==(const NodeSettings&) const = default;

  // Address of this process's RPC listener (the first internal port).
  Address internal_address() const { return ip + ":" + std::to_string(internal_port_first); }
  // RPC listener of the control node whose operator API has the given address.
  Address internal_address_of(const Address& control_address) const {
    return control_address.substr(0, control_address.rfind(':')) + ":" + std::to_string(internal_port_first);
  }
  // RPC listeners of the seeds.
  std::vector<Address> seed_internal_addresses() const;
  // RPC listener of an agent for the ingress on the same machine: loopback, second internal port.
  Address agent_listener_address() const { return "127.0.0.1:" + std::to_string(internal_port_first + 1); }
};

// Reads and validates a settings file. Unknown fields are ignored. Errors: InvalidInput with the path as
// source.
leaf::result<NodeSettings> load_settings(const std::string& path);

}  // namespace winchhall::cluster
