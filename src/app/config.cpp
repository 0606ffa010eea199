#include "app/config.hpp"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "platform/members.hpp"

namespace winchhall::app {
namespace {

using nlohmann::json;
using namespace pewterrill;

const json& child(const json& parent, const char* key) {
  static const json none;
  auto it = parent.is_object() ? parent.find(key) : parent.end();
  return parent.is_object() && it != parent.end() ? *it : none;
}

double number(const json& parent, const char* key, double otherwise) {
  const json& v = child(parent, key);
  return v.is_number() ? v.get<double>() : otherwise;
}

int whole(const json& parent, const char* key, int otherwise) {
  return static_cast<int>(number(parent, key, otherwise));
}

bool flag(const json& parent, const char* key) {
  const json& v = child(parent, key);
  return v.is_boolean() && v.get<bool>();
}

std::string text(const json& parent, const char* key, const std::string& otherwise = {}) {
  const json& v = child(parent, key);
  return v.is_string() ? v.get<std::string>() : otherwise;
}

double nth(const json& list, std::size_t i, double otherwise) {
  return list.is_array() && i < list.size() && list[i].is_number() ? list[i].get<double>() : otherwise;
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
  for (const json& row : child(from, "services")) {
    std::size_t i = s.classes.size();
    ClassSettings c;
    c.name = text(row, "name");
    std::string semantics = text(row, "semantics", "free");
    c.repeat = semantics == "free" ? Repeat::safe : semantics == "guarded" ? Repeat::keyed : Repeat::unsafe;
    c.aim = number(row, "objective", c.aim);
    c.deadline = number(row, "hard_limit", c.aim);
    c.late_worth = number(row, "late_share", 0);
    c.worth = number(row, "gain", 1);
    c.repeat_window = number(row, "window", 0);
    c.need = nth(child(extra, "need_by_class"), i, 1);
    c.floor = nth(child(extra, "floor_by_class"), i, c.need);
    c.partial_worth = nth(child(extra, "partial_earns"), i, 0);
    s.classes.push_back(c);
  }
  if (s.classes.empty()) throw std::runtime_error("settings name no class of query");
  for (const json& row : child(from, "tenants"))
    s.tenants.push_back({text(row, "name"), number(row, "quota_per_s", 0)});
  s.over_share_worth = number(from, "over_share_worth", 1);
  s.brokers = whole(from, "balancers", 1);
  s.tick = number(from, "tick", 1);
  s.list_on_request = text(from, "membership_mode", "pushed") == "on_request";
  s.cells = whole(extra, "positions", 1);
  s.reach = whole(extra, "reach", 1);
  s.may_cancel = flag(permits, "cancel");
  s.may_probe = flag(permits, "probes");
  s.may_hedge = flag(permits, "second_copies");
  s.retry_after_heard = flag(permits, "retry_after");
  s.max_retry_after = number(permits, "max_retry_after", 0);
  s.max_attempts = whole(permits, "max_attempts", 1);
  s.max_open = whole(permits, "max_open", 0);
  s.must_ask_in = number(rules, "must_ask_in", 0);
  s.answer_grace = number(rules, "grace_to_answer", 0);
  s.drain_grace = number(rules, "drain_grace", 0);
  s.cold_share = number(rules, "cold_from", 1);
  s.cold_time = number(rules, "cold", 0);
  s.fall_multiple = number(rules, "fall_multiple", 0);
  s.fall_time = number(rules, "fall", 0);
  s.budget_window = number(rules, "resend_span", 0);
  s.budget = s.budget_window > 0;
  s.budget_free = number(rules, "extra_floor", 0);
  s.budget_share = number(rules, "extra_share", 0);
  s.reports = text(child(from, "report"), "how", "off") != "off";
  for (const json& field : child(child(from, "report"), "fields"))
    s.report_fields.push_back(report_field(field.is_string() ? field.get<std::string>() : ""));
  return s;
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
  c.seed = read_seed(from);
  c.sockets = static_cast<std::size_t>(number(child(from, "limits"), "sockets", 1024));
  if (child(from, "known").is_object()) {
    if (auto known = platform::read_members(child(from, "known").dump())) {
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

Config load_config() {
  auto env = [](const char* name) {
    const char* v = std::getenv(name);
    return std::string(v ? v : "");
  };
  std::string path = env("LB_CONFIG");
  if (path.empty()) throw std::runtime_error("LB_CONFIG is not set");
  Config c = parse_config(read_file(path));
  if (auto v = env("LB_NAME"); !v.empty()) c.name = v;
  if (auto v = env("LB_LISTEN"); !v.empty()) c.listen = v;
  if (auto v = env("LB_DISCOVERY"); !v.empty()) c.discovery = v;
  if (auto v = env("WINCHHALL_FLIGHT"); !v.empty()) parse_flight_config(read_file(v), c.flight);
  return c;
}

}  // namespace winchhall::app
