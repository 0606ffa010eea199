#include "aggregator/app/config.hpp"

#include <spdlog/spdlog.h>

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "aggregator/app/settings_check.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/membership/member_list.hpp"

namespace winchhall::app {
namespace {

using nlohmann::json;
using namespace winchhall;

constexpr std::size_t kMinSockets = 16;  // with fewer there is no room for both client and leaf connections

std::string type_error(const char* key, const char* what) {
  return std::string("'") + key + "' in the configuration is no " + what;
}

const json& child(const json& parent, const char* key) {
  static const json none;
  auto it = parent.is_object() ? parent.find(key) : parent.end();
  return parent.is_object() && it != parent.end() ? *it : none;
}

double number(const json& parent, const char* key, double fallback) {
  const json& v = child(parent, key);
  if (v.is_null()) return fallback;
  if (!v.is_number() || !std::isfinite(v.get<double>())) throw std::runtime_error(type_error(key, "number"));
  return v.get<double>();
}

int integer(const json& parent, const char* key, int fallback) {
  double n = number(parent, key, fallback);
  if (std::abs(n) > 1e9) throw std::runtime_error(type_error(key, "number of use"));
  return static_cast<int>(n);
}

bool flag(const json& parent, const char* key) {
  const json& v = child(parent, key);
  if (!v.is_null() && !v.is_boolean()) throw std::runtime_error(type_error(key, "yes or no"));
  return v.is_boolean() && v.get<bool>();
}

std::string text(const json& parent, const char* key, const std::string& fallback = {}) {
  const json& v = child(parent, key);
  if (!v.is_null() && !v.is_string()) throw std::runtime_error(type_error(key, "text"));
  return v.is_string() ? v.get<std::string>() : fallback;
}

const json& list(const json& parent, const char* key) {
  const json& v = child(parent, key);
  if (!v.is_null() && !v.is_array()) throw std::runtime_error(type_error(key, "list"));
  return v;
}

double number_at(const json& row, std::size_t i, double fallback) {
  return i < row.size() && row[i].is_number() ? row[i].get<double>() : fallback;
}

ReportField report_field(const std::string& name) {
  if (name == "pending") return ReportField::queued;
  if (name == "busy_reqs") return ReportField::in_flight;
  return name == "svc_ms" ? ReportField::service_ms : ReportField::other;
}

Settings read_settings(const json& from) {
  Settings s;
  const json &extra = child(from, "extra"), &permissions = child(from, "permissions"),
             &rules = child(from, "rules");
  for (const json& row : list(from, "services")) {
    std::size_t i = s.classes.size();
    ClassSettings c;
    c.name = text(row, "name");
    std::string semantics = text(row, "semantics", "free");
    c.idempotency = semantics == "free"      ? Idempotency::safe
                    : semantics == "guarded" ? Idempotency::keyed
                                             : Idempotency::unsafe;
    c.latency_target = number(row, "objective", c.latency_target);
    c.deadline = number(row, "hard_limit", c.latency_target);
    c.late_value = number(row, "late_share", 0);
    c.value = number(row, "gain", 1);
    c.idempotency_window = number(row, "window", 0);
    c.complete_share = number_at(list(extra, "need_by_class"), i, 1);
    c.min_share = number_at(list(extra, "floor_by_class"), i, c.complete_share);
    c.partial_value = number_at(list(extra, "partial_earns"), i, 0);
    s.classes.push_back(c);
  }
  if (s.classes.empty()) throw std::runtime_error("settings name no class of query");
  for (const json& row : list(from, "tenants"))
    s.tenants.push_back({text(row, "name"), number(row, "quota_per_s", 0)});
  s.over_quota_value = number(from, "over_share_worth", 1);
  s.instances = integer(from, "balancers", 1);
  s.tick = number(from, "tick", 1);
  s.list_on_request = text(from, "membership_mode", "pushed") == "on_request";
  s.list_watched = true;
  s.cells = integer(extra, "positions", 1);
  s.cells_per_shard = integer(extra, "reach", 1);
  s.may_cancel = flag(permissions, "cancel");
  s.may_probe = flag(permissions, "probes");
  s.may_hedge = flag(permissions, "second_copies");
  s.honors_retry_after = flag(permissions, "retry_after");
  s.max_retry_after = number(permissions, "max_retry_after", 0);
  s.max_attempts = integer(permissions, "max_attempts", 1);
  s.max_open = integer(permissions, "max_open", 0);
  s.max_poll_interval = number(rules, "must_ask_in", 0);
  s.answer_grace = number(rules, "grace_to_answer", 0);
  s.drain_grace = number(rules, "drain_grace", 0);
  s.warm_up_initial_share = number(rules, "cold_from", 1);
  s.warm_up_time = number(rules, "cold", 0);
  s.overload_multiple = number(rules, "fall_multiple", 0);
  s.overload_time = number(rules, "fall", 0);
  s.budget_window = number(rules, "resend_span", 0);
  s.budget = s.budget_window > 0;
  s.budget_free = number(rules, "extra_floor", 0);
  s.budget_share = number(rules, "extra_share", 0);
  s.reports = text(child(from, "report"), "how", "off") != "off";
  for (const json& field : list(child(from, "report"), "fields"))
    s.report_fields.push_back(report_field(field.is_string() ? field.get<std::string>() : ""));
  return s;
}

void require(bool condition, const char* what) {
  if (!condition) throw std::runtime_error(std::string("the configuration's ") + what);
}

bool is_address(const std::string& text) { return event_loop::parse_address(text).has_value(); }

// Rejects values that no aggregator can run with, before any of them is used.
void validate(const Config& c) {
  require(c.max_sockets >= kMinSockets && c.max_sockets <= 1'000'000, "limit of sockets is of no use");
  require(c.discovery.empty() || is_address(c.discovery), "'discovery' is no address");
  require(c.admin_address.empty() || is_address(c.admin_address), "'control' is no address");
  require(c.settings.cells >= 1 && c.settings.cells_per_shard >= 1 && c.shard_count >= 0,
          "layout of shards is of no use");
  require(c.settings.max_open >= 0 && c.settings.max_attempts >= 1, "permissions are of no use");
  require(c.idle_timeout > 0 && c.connect_timeout > 0, "times for connections are of no use");
  for (const ClassSettings& k : c.settings.classes) {
    require(!k.name.empty(), "settings have a class without a name");
    require(k.latency_target > 0 && k.deadline > 0, "settings have a class without time");
    require(
        k.complete_share > 0 && k.complete_share <= 1 && k.min_share > 0 && k.min_share <= k.complete_share,
        "least shares are of no use");
  }
}

std::uint64_t read_seed(const json& from) {
  const json& v = child(from, "seed");
  if (v.is_number()) return v.get<std::uint64_t>();
  std::uint64_t seed = 0;
  std::string hex = text(from, "seed", "1");
  std::from_chars(hex.data(), hex.data() + hex.size(), seed, 16);
  return seed;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::ostringstream contents;
  contents << file.rdbuf();
  return contents.str();
}

}  // namespace

Config parse_config(const std::string& contents) {
  json from = json::parse(contents, nullptr, false);
  if (!from.is_object()) throw std::runtime_error("the configuration is not a JSON object");
  Config c;
  c.name = text(from, "name");
  c.listen = text(from, "listen");
  c.discovery = text(from, "discovery");
  c.admin_address = text(from, "control");
  c.seed = read_seed(from);
  c.max_sockets = static_cast<std::size_t>(std::max(0, integer(child(from, "limits"), "sockets", 1024)));
  if (!child(from, "known").is_null()) {
    auto known = http::read_members(child(from, "known").dump());
    c.initial_list_valid = known.has_value();
    if (known) {
      c.initial_members = known->members;
      c.initial_list_revision = known->revision;
    }
  }
  const json& settings = child(from, "settings");
  const json& permissions = child(settings, "permissions");
  c.settings = read_settings(settings);
  c.shard_count = integer(child(settings, "extra"), "slabs", 0);
  c.max_parts_per_frame = std::max(1, integer(child(settings, "extra"), "batch", 1));
  c.max_parts_per_connection = std::max(1, integer(permissions, "streams_per_conn", 1));
  c.idle_timeout = number(permissions, "conn_idle", c.idle_timeout);
  c.connect_timeout = number(permissions, "connect_timeout", c.connect_timeout);
  validate(c);
  return c;
}

void parse_flight_config(const std::string& contents, FlightConfig& flight) {
  json from = json::parse(contents, nullptr, false);
  if (!from.is_object()) throw std::runtime_error("the Flight file is not a JSON object");
  flight.enabled = flag(from, "enabled");
  flight.listen = text(from, "listen");
  flight.use_for_nodes = text(from, "nodes", "frames") == "flight";
  if (flight.enabled && flight.listen.empty())
    throw std::runtime_error("the Flight file names no address to listen on");
}

namespace {
std::string environment(const char* name) {
  const char* v = std::getenv(name);
  return std::string(v ? v : "");
}
}  // namespace

ConfigFile::ConfigFile() : path_(environment("LB_CONFIG")) {
  if (path_.empty()) throw std::runtime_error("LB_CONFIG is not set");
  text_ = read_file(path_);
  config_ = parse_config(text_);
  file_discovery_ = config_.discovery;
  if (auto v = environment("LB_NAME"); !v.empty()) config_.name = v;
  if (auto v = environment("LB_LISTEN"); !v.empty()) config_.listen = v;
  if (auto v = environment("LB_DISCOVERY"); !v.empty()) config_.discovery = v;
  if (auto v = environment("LB_CONTROL"); !v.empty()) config_.admin_address = v;
  std::string operator_path = environment("WINCHHALL_OPERATOR");
  if (!operator_path.empty()) read_operator_settings(operator_path);
  if (auto v = environment("WINCHHALL_FLIGHT"); !v.empty()) {
    if (!operator_path.empty())
      throw std::runtime_error("WINCHHALL_FLIGHT and an operator's file: one of them is wanted");
    spdlog::warn(
        "WINCHHALL_FLIGHT is deprecated: configure Flight in an operator's file, see deploy/edge.xml");
    parse_flight_config(read_file(v), config_.operator_settings.flight);
  }
}

void ConfigFile::read_operator_settings(const std::string& path) {
  std::vector<Fault> faults = read_operator_file(path, config_.operator_settings);
  for (std::size_t i = 0; i + 1 < faults.size(); ++i) spdlog::error("{}", faults[i].text());
  if (!faults.empty()) throw std::runtime_error(faults.back().text());
}

void ConfigFile::reload() {
  std::string contents = read_file(path_);
  if (std::string fault = incompatible_setting(text_, contents); !fault.empty())
    throw std::runtime_error(path_ + ": " + fault);
  Config reloaded = parse_config(contents);
  if (!reloaded.initial_list_valid) throw std::runtime_error(path_ + ": 'known' is no list");
  // LB_DISCOVERY dates from the start of the process, so an address that has changed in the file since is
  // newer and replaces it.
  if (!reloaded.discovery.empty() && reloaded.discovery != file_discovery_) {
    file_discovery_ = reloaded.discovery;
    config_.discovery = reloaded.discovery;
  }
  config_.settings = reloaded.settings;
  config_.shard_count = reloaded.shard_count;
  config_.max_parts_per_frame = reloaded.max_parts_per_frame;
  config_.max_parts_per_connection = reloaded.max_parts_per_connection;
  config_.idle_timeout = reloaded.idle_timeout;
  config_.connect_timeout = reloaded.connect_timeout;
}

}  // namespace winchhall::app
