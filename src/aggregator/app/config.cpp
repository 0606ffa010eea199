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

constexpr std::size_t kSocketsLeast = 16;  // with fewer no client and leaf meet

std::string not_a(const char* key, const char* what) {
  return std::string("'") + key + "' in the configuration is no " + what;
}

const json& child(const json& parent, const char* key) {
  static const json none;
  auto it = parent.is_object() ? parent.find(key) : parent.end();
  return parent.is_object() && it != parent.end() ? *it : none;
}

double number(const json& parent, const char* key, double otherwise) {
  const json& v = child(parent, key);
  if (v.is_null()) return otherwise;
  if (!v.is_number() || !std::isfinite(v.get<double>())) throw std::runtime_error(not_a(key, "number"));
  return v.get<double>();
}

int whole(const json& parent, const char* key, int otherwise) {
  double n = number(parent, key, otherwise);
  if (std::abs(n) > 1e9) throw std::runtime_error(not_a(key, "number of use"));
  return static_cast<int>(n);
}

bool flag(const json& parent, const char* key) {
  const json& v = child(parent, key);
  if (!v.is_null() && !v.is_boolean()) throw std::runtime_error(not_a(key, "yes or no"));
  return v.is_boolean() && v.get<bool>();
}

std::string text(const json& parent, const char* key, const std::string& otherwise = {}) {
  const json& v = child(parent, key);
  if (!v.is_null() && !v.is_string()) throw std::runtime_error(not_a(key, "text"));
  return v.is_string() ? v.get<std::string>() : otherwise;
}

const json& list(const json& parent, const char* key) {
  const json& v = child(parent, key);
  if (!v.is_null() && !v.is_array()) throw std::runtime_error(not_a(key, "list"));
  return v;
}

double nth(const json& row, std::size_t i, double otherwise) {
  return i < row.size() && row[i].is_number() ? row[i].get<double>() : otherwise;
}

ReportField report_field(const std::string& name) {
  if (name == "pending") return ReportField::queued;
  if (name == "busy_reqs") return ReportField::in_flight;
  return name == "svc_ms" ? ReportField::service_ms : ReportField::other;
}

Settings read_settings(const json& from) {
  Settings s;
  const json &extra = child(from, "extra"), &permits = child(from, "permissions"),
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
    c.complete_share = nth(list(extra, "need_by_class"), i, 1);
    c.min_share = nth(list(extra, "floor_by_class"), i, c.complete_share);
    c.partial_value = nth(list(extra, "partial_earns"), i, 0);
    s.classes.push_back(c);
  }
  if (s.classes.empty()) throw std::runtime_error("settings name no class of query");
  for (const json& row : list(from, "tenants"))
    s.tenants.push_back({text(row, "name"), number(row, "quota_per_s", 0)});
  s.over_quota_value = number(from, "over_share_worth", 1);
  s.instances = whole(from, "balancers", 1);
  s.tick = number(from, "tick", 1);
  s.list_on_request = text(from, "membership_mode", "pushed") == "on_request";
  s.list_watched = true;
  s.cells = whole(extra, "positions", 1);
  s.cells_per_shard = whole(extra, "reach", 1);
  s.may_cancel = flag(permits, "cancel");
  s.may_probe = flag(permits, "probes");
  s.may_hedge = flag(permits, "second_copies");
  s.honors_retry_after = flag(permits, "retry_after");
  s.max_retry_after = number(permits, "max_retry_after", 0);
  s.max_attempts = whole(permits, "max_attempts", 1);
  s.max_open = whole(permits, "max_open", 0);
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

void require(bool holds, const char* what) {
  if (!holds) throw std::runtime_error(std::string("the configuration's ") + what);
}

bool is_address(const std::string& text) { return event_loop::parse_address(text).has_value(); }

// What no aggregator can run on, found before any of it is used.
void check(const Config& c) {
  require(c.sockets >= kSocketsLeast && c.sockets <= 1'000'000, "limit of sockets is of no use");
  require(c.discovery.empty() || is_address(c.discovery), "'discovery' is no address");
  require(c.control.empty() || is_address(c.control), "'control' is no address");
  require(c.settings.cells >= 1 && c.settings.cells_per_shard >= 1 && c.shards >= 0,
          "layout of shards is of no use");
  require(c.settings.max_open >= 0 && c.settings.max_attempts >= 1, "permissions are of no use");
  require(c.conn_idle > 0 && c.connect_timeout > 0, "times for connections are of no use");
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
  std::ostringstream all;
  all << file.rdbuf();
  return all.str();
}

}  // namespace

Config parse_config(const std::string& all) {
  json from = json::parse(all, nullptr, false);
  if (!from.is_object()) throw std::runtime_error("the configuration is not a JSON object");
  Config c;
  c.name = text(from, "name");
  c.listen = text(from, "listen");
  c.discovery = text(from, "discovery");
  c.control = text(from, "control");
  c.seed = read_seed(from);
  c.sockets = static_cast<std::size_t>(std::max(0, whole(child(from, "limits"), "sockets", 1024)));
  if (!child(from, "known").is_null()) {
    auto known = http::read_members(child(from, "known").dump());
    c.known_read = known.has_value();
    if (known) {
      c.known = known->members;
      c.known_revision = known->revision;
    }
  }
  const json& settings = child(from, "settings");
  const json& permits = child(settings, "permissions");
  c.settings = read_settings(settings);
  c.shards = whole(child(settings, "extra"), "slabs", 0);
  c.batch = std::max(1, whole(child(settings, "extra"), "batch", 1));
  c.streams_per_conn = std::max(1, whole(permits, "streams_per_conn", 1));
  c.conn_idle = number(permits, "conn_idle", c.conn_idle);
  c.connect_timeout = number(permits, "connect_timeout", c.connect_timeout);
  check(c);
  return c;
}

void parse_flight_config(const std::string& all, FlightConfig& flight) {
  json from = json::parse(all, nullptr, false);
  if (!from.is_object()) throw std::runtime_error("the Flight file is not a JSON object");
  flight.enabled = flag(from, "enabled");
  flight.listen = text(from, "listen");
  flight.nodes = text(from, "nodes", "frames") == "flight";
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
  discovery_in_file_ = config_.discovery;
  if (auto v = environment("LB_NAME"); !v.empty()) config_.name = v;
  if (auto v = environment("LB_LISTEN"); !v.empty()) config_.listen = v;
  if (auto v = environment("LB_DISCOVERY"); !v.empty()) config_.discovery = v;
  if (auto v = environment("LB_CONTROL"); !v.empty()) config_.control = v;
  std::string ops = environment("WINCHHALL_OPERATOR");
  if (!ops.empty()) read_operator(ops);
  if (auto v = environment("WINCHHALL_FLIGHT"); !v.empty()) {
    if (!ops.empty())
      throw std::runtime_error("WINCHHALL_FLIGHT and an operator's file: one of them is wanted");
    spdlog::warn("WINCHHALL_FLIGHT is an old form: put it into an operator's file, see deploy/edge.xml");
    parse_flight_config(read_file(v), config_.ops.flight);
  }
}

void ConfigFile::read_operator(const std::string& path) {
  std::vector<Fault> faults = read_operator_file(path, config_.ops);
  for (std::size_t i = 0; i + 1 < faults.size(); ++i) spdlog::error("{}", faults[i].text());
  if (!faults.empty()) throw std::runtime_error(faults.back().text());
}

void ConfigFile::reload() {
  std::string all = read_file(path_);
  if (std::string wrong = incompatible_setting(text_, all); !wrong.empty())
    throw std::runtime_error(path_ + ": " + wrong);
  Config fresh = parse_config(all);
  if (!fresh.known_read) throw std::runtime_error(path_ + ": 'known' is no list");
  // LB_DISCOVERY is as old as the process: a file that names another address than it did is the later word.
  if (!fresh.discovery.empty() && fresh.discovery != discovery_in_file_) {
    discovery_in_file_ = fresh.discovery;
    config_.discovery = fresh.discovery;
  }
  config_.settings = fresh.settings;
  config_.shards = fresh.shards;
  config_.batch = fresh.batch;
  config_.streams_per_conn = fresh.streams_per_conn;
  config_.conn_idle = fresh.conn_idle;
  config_.connect_timeout = fresh.connect_timeout;
}

}  // namespace winchhall::app
