#include "cluster/common/settings.hpp"

#include <toml++/toml.h>

#include <limits>
#include <sstream>

namespace winchhall::cluster {

namespace {

constexpr std::string_view kSource = "settings";
constexpr std::size_t kMaxShownValueBytes = 80;  // bytes of a bad value that are shown
constexpr std::int64_t kHighestPort = 65535;

// Reads fields of one table; the first bad field is kept as the error of the whole.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  void text(const char* name, std::string& target, bool required = false) {
    const toml::node* node = table_.get(name);
    if (!node) return missing(name, required, "a text");
    if (const auto value = node->value_exact<std::string>()) {
      target = *value;
    } else {
      fail(name, *node, "a text");
    }
  }

  void flag(const char* name, bool& target) {
    const toml::node* node = table_.get(name);
    if (!node) return;
    if (const auto value = node->value_exact<bool>()) {
      target = *value;
    } else {
      fail(name, *node, "true or false");
    }
  }

  void millis(const char* name, Millis& target, double scale = 1) {
    double value = static_cast<double>(target.count()) / scale;
    number(name, value);
    target = Millis(static_cast<std::int64_t>(value * scale));
  }

  void number(const char* name, double& target) {
    const toml::node* node = table_.get(name);
    if (!node) return;
    const auto value = node->value<double>();
    if (value && *value >= 0) {
      target = *value;
    } else {
      fail(name, *node, "a number of 0 or more");
    }
  }

  void whole(const char* name, std::uint64_t& target) {
    const toml::node* node = table_.get(name);
    if (!node) return;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= 0) {
      target = static_cast<std::uint64_t>(*value);
    } else {
      fail(name, *node, "a whole number of 0 or more");
    }
  }

  // Zero is allowed: no port.
  void port(const char* name, std::uint16_t& target) {
    const toml::node* node = table_.get(name);
    if (!node) return;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= 0 && *value <= kHighestPort) {
      target = static_cast<std::uint16_t>(*value);
    } else {
      fail(name, *node, "a port number from 0 to 65535");
    }
  }

  void texts(const char* name, std::vector<std::string>& target) {
    const toml::node* node = table_.get(name);
    if (!node) return;
    const toml::array* list = node->as_array();
    if (!list) return fail(name, *node, "a list of texts");
    target.clear();
    for (const toml::node& item : *list) {
      const auto value = item.value_exact<std::string>();
      if (!value) return fail(name, item, "a list of texts");
      target.push_back(*value);
    }
  }

  void ports(const char* name, std::uint16_t& first, std::uint16_t& last) {
    const toml::node* node = table_.get(name);
    if (!node) return missing(name, true, "two port numbers");
    const toml::array* list = node->as_array();
    if (!list || list->size() != 2) return fail(name, *node, "two port numbers");
    const auto low = list->get(0)->value_exact<std::int64_t>();
    const auto high = list->get(1)->value_exact<std::int64_t>();
    if (!low || !high || *low < 1 || *high > kHighestPort || *low >= *high) {
      return fail(name, *node, "two rising port numbers from 1 to 65535");
    }
    first = static_cast<std::uint16_t>(*low);
    last = static_cast<std::uint16_t>(*high);
  }

  void fail(const char* name, const toml::node& node, std::string allowed) {
    std::ostringstream shown;
    node.visit([&shown](const auto& value) { shown << value; });
    set_error(name, shown.str(), std::move(allowed), node.source().begin.line);
  }
  void missing(const char* name, bool required, std::string allowed) {
    if (required) set_error(name, "", std::move(allowed), 0);
  }
  const std::optional<InvalidInput>& error() const { return error_; }

 private:
  void set_error(const char* name, const std::string& value, std::string allowed, std::uint32_t line) {
    if (error_) return;
    error_ = InvalidInput{std::string(kSource), path_ + name, value.substr(0, kMaxShownValueBytes),
                          std::move(allowed), line};
  }

  const toml::table& table_;
  std::string path_;
  std::optional<InvalidInput> error_;
};

std::optional<InvalidInput> read_bounds(const toml::table& root, Bounds& bounds) {
  constexpr double kMillisPerSecond = 1000;
  const toml::table* table = root["bounds"].as_table();
  if (!table) return std::nullopt;
  TableReader reader(*table, "bounds.");
  reader.millis("seed_lag_s", bounds.seed_lag, kMillisPerSecond);
  reader.millis("addr_reuse_s", bounds.addr_reuse, kMillisPerSecond);
  reader.millis("contact_ms", bounds.contact);
  reader.millis("ack_timeout_ms", bounds.ack_timeout);
  reader.millis("catch_up_s", bounds.catch_up, kMillisPerSecond);
  reader.millis("drain_timeout_ms", bounds.drain_timeout);
  reader.millis("grace_period_s", bounds.grace_period, kMillisPerSecond);
  reader.millis("config_apply_ms", bounds.config_apply);
  reader.millis("rollback_slack_ms", bounds.rollback_slack);
  reader.millis("recovery_s", bounds.recovery, kMillisPerSecond);
  reader.millis("hold_max_ms", bounds.hold_max);
  reader.millis("stop_ms", bounds.stop);
  reader.millis("gang_ms", bounds.gang);
  reader.millis("cancel_ms", bounds.cancel);
  reader.millis("visible_ms", bounds.visible);
  reader.millis("early_ms", bounds.early);
  reader.millis("status_s", bounds.status, kMillisPerSecond);
  reader.millis("save_s", bounds.save, kMillisPerSecond);
  reader.millis("restore_ms", bounds.restore);
  reader.number("far_x", bounds.far_factor);
  return reader.error();
}

std::optional<InvalidInput> read_addresses(const toml::table& root, NodeSettings& settings) {
  const toml::table* table = root["bind_addrs"].as_table();
  if (!table) return std::nullopt;
  TableReader reader(*table, "bind_addrs.");
  reader.text("front", settings.front);
  reader.text("ready", settings.ready);
  reader.text("control", settings.control);
  return reader.error();
}

std::optional<InvalidInput> read_limits(const toml::table& root, NodeSettings& settings) {
  if (const toml::table* table = root["limits"].as_table()) {
    TableReader reader(*table, "limits.");
    reader.whole("memory_mb", settings.memory_mb);
    reader.whole("max_fds", settings.max_fds);
    reader.whole("disk_mb", settings.disk_mb);
    if (reader.error()) return reader.error();
  }
  if (const toml::table* table = root["fault_tolerance"].as_table()) {
    TableReader reader(*table, "fault_tolerance.");
    std::uint64_t machines = settings.tolerated_machines;
    reader.whole("machines", machines);
    settings.tolerated_machines = static_cast<unsigned>(machines);
    if (reader.error()) return reader.error();
  }
  return std::nullopt;
}

std::optional<InvalidInput> read_commands(TableReader& reader, const toml::table& root,
                                          NodeSettings& settings) {
  std::string commands = "heartbeat";
  reader.text("commands", commands);
  if (commands == "invocation") {
    settings.commands = CommandMode::invocation;
  } else if (commands != "heartbeat") {
    reader.fail("commands", *root.get("commands"), "heartbeat or invocation");
  }
  return reader.error();
}

std::optional<InvalidInput> read_root(const toml::table& root, NodeSettings& settings) {
  TableReader reader(root, "");
  reader.text("node_name", settings.node_name, true);
  reader.text("role", settings.role);
  reader.text("machine_class", settings.machine_class);
  reader.texts("serves", settings.serves);
  reader.text("ip", settings.ip, true);
  reader.text("zone", settings.zone);
  reader.text("region", settings.region);
  reader.ports("internal_ports", settings.internal_port_first, settings.internal_port_last);
  reader.texts("seeds", settings.seeds);
  reader.flag("bootstrap", settings.bootstrap);
  reader.flag("counts_for_quorum", settings.counts_for_quorum);
  reader.text("data_dir", settings.data_dir);
  reader.millis("heartbeat_ms", settings.heartbeat);
  reader.text("app", settings.app);
  reader.text("backend", settings.backend);
  reader.port("metrics_port", settings.metrics_port);
  return read_commands(reader, root, settings);
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
    std::ostringstream place;
    place << error.source().begin;
    return leaf::new_error(InvalidInput{path, place.str(), std::string(error.description()), "a TOML file"});
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
