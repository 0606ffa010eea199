#include "cluster/common/settings.hpp"

#include <toml++/toml.h>

#include <sstream>

#include "cluster/common/toml_table_reader.hpp"

namespace winchhall::cluster {

namespace {

constexpr double kMillisPerSecond = 1000;

std::optional<InvalidInput> read_bounds(const toml::table& root, Bounds& bounds) {
  const toml::table* table = root["bounds"].as_table();
  if (!table) return std::nullopt;
  TomlTableReader reader(*table, "bounds.");
  reader.read_duration("seed_lag_s", bounds.seed_lag, kMillisPerSecond);
  reader.read_duration("addr_reuse_s", bounds.addr_reuse, kMillisPerSecond);
  reader.read_duration("contact_ms", bounds.contact);
  reader.read_duration("ack_timeout_ms", bounds.ack_timeout);
  reader.read_duration("catch_up_s", bounds.catch_up, kMillisPerSecond);
  reader.read_duration("drain_timeout_ms", bounds.drain_timeout);
  reader.read_duration("grace_period_s", bounds.grace_period, kMillisPerSecond);
  reader.read_duration("config_apply_ms", bounds.config_apply);
  reader.read_duration("rollback_slack_ms", bounds.rollback_slack);
  reader.read_duration("recovery_s", bounds.recovery, kMillisPerSecond);
  reader.read_duration("hold_max_ms", bounds.hold_max);
  reader.read_duration("stop_ms", bounds.stop);
  reader.read_duration("gang_ms", bounds.gang);
  reader.read_duration("cancel_ms", bounds.cancel);
  reader.read_duration("visible_ms", bounds.visible);
  reader.read_duration("early_ms", bounds.early);
  reader.read_duration("status_s", bounds.status, kMillisPerSecond);
  reader.read_duration("save_s", bounds.save, kMillisPerSecond);
  reader.read_duration("restore_ms", bounds.restore);
  reader.read_number("far_x", bounds.far_factor);
  return reader.error();
}

std::optional<InvalidInput> read_addresses(const toml::table& root, NodeSettings& settings) {
  const toml::table* table = root["bind_addrs"].as_table();
  if (!table) return std::nullopt;
  TomlTableReader reader(*table, "bind_addrs.");
  reader.read_string("front", settings.front);
  reader.read_string("ready", settings.ready);
  reader.read_string("control", settings.control);
  return reader.error();
}

std::optional<InvalidInput> read_limits(const toml::table& root, NodeSettings& settings) {
  if (const toml::table* table = root["limits"].as_table()) {
    TomlTableReader reader(*table, "limits.");
    reader.read_integer("memory_mb", settings.memory_mb);
    reader.read_integer("max_fds", settings.max_fds);
    reader.read_integer("disk_mb", settings.disk_mb);
    if (reader.error()) return reader.error();
  }
  if (const toml::table* table = root["fault_tolerance"].as_table()) {
    TomlTableReader reader(*table, "fault_tolerance.");
    std::uint64_t machines = settings.tolerated_machines;
    reader.read_integer("machines", machines);
    settings.tolerated_machines = static_cast<unsigned>(machines);
    if (reader.error()) return reader.error();
  }
  return std::nullopt;
}

std::optional<InvalidInput> read_command_mode(TomlTableReader& reader, const toml::table& root,
                                              NodeSettings& settings) {
  std::string commands = "heartbeat";
  reader.read_string("commands", commands);
  if (commands == "invocation") {
    settings.commands = CommandMode::invocation;
  } else if (commands != "heartbeat") {
    reader.fail("commands", *root.get("commands"), "heartbeat or invocation");
  }
  return reader.error();
}

std::optional<InvalidInput> read_root(const toml::table& root, NodeSettings& settings) {
  TomlTableReader reader(root, "");
  reader.read_string("node_name", settings.node_name, true);
  reader.read_string("role", settings.role);
  reader.read_string("machine_class", settings.machine_class);
  reader.read_strings("serves", settings.serves);
  reader.read_string("ip", settings.ip, true);
  reader.read_string("zone", settings.zone);
  reader.read_string("region", settings.region);
  reader.read_port_range("internal_ports", settings.internal_port_first, settings.internal_port_last);
  reader.read_strings("seeds", settings.seeds);
  reader.read_bool("bootstrap", settings.bootstrap);
  reader.read_bool("counts_for_quorum", settings.counts_for_quorum);
  reader.read_string("data_dir", settings.data_dir);
  reader.read_duration("heartbeat_ms", settings.heartbeat);
  reader.read_string("app", settings.app);
  reader.read_string("backend", settings.backend);
  reader.read_port("metrics_port", settings.metrics_port);
  return read_command_mode(reader, root, settings);
}

void read_zones(const toml::table& root, NodeSettings& settings) {
  const toml::table* table = root["zones"].as_table();
  if (!table) return;
  for (const auto& [zone, region] : *table) {
    settings.zones[std::string(zone.str())] = region.value_or(std::string());
  }
}

}  // namespace

std::vector<Address> NodeSettings::seed_internal_addresses() const {
  std::vector<Address> listeners;
  for (const Address& seed : seeds) listeners.push_back(internal_address_of(seed));
  return listeners;
}

leaf::result<NodeSettings> load_settings(const std::string& path) {
  toml::table root;
  try {
    root = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream position;
    position << error.source().begin;
    return leaf::new_error(
        InvalidInput{path, position.str(), std::string(error.description()), "a TOML file"});
  }
  NodeSettings settings;
  settings.path = path;
  std::optional<InvalidInput> error = read_root(root, settings);
  if (!error) error = read_bounds(root, settings.bounds);
  if (!error) error = read_addresses(root, settings);
  if (!error) error = read_limits(root, settings);
  if (error) {
    error->source = path;
    return leaf::new_error(std::move(*error));
  }
  read_zones(root, settings);
  return settings;
}

}  // namespace winchhall::cluster
