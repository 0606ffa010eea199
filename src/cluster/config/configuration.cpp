#include "cluster/config/configuration.hpp"

#include <algorithm>
#include <unordered_set>

#include "cluster/config/json_fields.hpp"

namespace winchhall::cluster {
namespace {

constexpr std::uint64_t kLongestMillis = 604'800'000;  // a week
constexpr std::uint64_t kLargestCount = 1'000'000'000;
constexpr double kLargestStretch = 1e6;

constexpr IntegerRange kVersionRange{1, kLargestVersion, std::nullopt};
constexpr IntegerRange kTimeoutRange{1, kLongestMillis, std::nullopt};
constexpr IntegerRange kOptionalTimeoutRange{1, kLongestMillis, 1};
constexpr IntegerRange kMillisRange{0, kLongestMillis, 0};
constexpr IntegerRange kCountRange{0, kLargestCount, 0};

leaf::result<std::uint32_t> small_number(const FieldScope& scope, const Json::Value& object, const char* name,
                                         const IntegerRange& range) {
  BOOST_LEAF_AUTO(number, integer_field(scope, object, name, range));
  return static_cast<std::uint32_t>(number);
}

leaf::result<void> read_services(const FieldScope& scope, const Json::Value& items,
                                 Configuration& configuration) {
  std::unordered_set<std::string> names;
  for (Json::ArrayIndex position = 0; position < items.size(); ++position) {
    const FieldScope item_scope = scope.item(position);
    BOOST_LEAF_AUTO(service, read_service(item_scope, items[position]));
    if (!names.insert(service.name).second) {
      return invalid_field(item_scope, "name", service.name, "a name that no other service has");
    }
    configuration.services.push_back(std::move(service));
  }
  return {};
}

// Adds a route to the configuration, whose services are known by now.
leaf::result<void> add_route(const FieldScope& scope, Route route, std::unordered_set<std::string>& names,
                             Configuration& configuration) {
  if (!names.insert(route.name).second) {
    return invalid_field(scope, "name", route.name, "a name that no other route has");
  }
  if (configuration.find_service(route.backend) == nullptr) {
    return invalid_field(scope, "backend", route.backend, "the name of one of the services");
  }
  if (!configuration.route_index.add(route.hostname, route.path_prefix, configuration.routes.size())) {
    return invalid_field(scope, "path_prefix", route.path_prefix,
                         "a prefix that no other route of its host has");
  }
  configuration.routes.push_back(std::move(route));
  return {};
}

leaf::result<void> read_routes(const FieldScope& scope, const Json::Value& items,
                               Configuration& configuration) {
  std::unordered_set<std::string> names;
  for (Json::ArrayIndex position = 0; position < items.size(); ++position) {
    const FieldScope item_scope = scope.item(position);
    BOOST_LEAF_AUTO(route, read_route(item_scope, items[position]));
    BOOST_LEAF_CHECK(add_route(item_scope, std::move(route), names, configuration));
  }
  return {};
}

leaf::result<void> read_limit(const FieldScope& scope, const Json::Value& object, const char* name,
                              std::uint64_t most, std::uint32_t& limit) {
  BOOST_LEAF_ASSIGN(limit, small_number(scope, object, name, IntegerRange{1, most, limit}));
  return {};
}

Json::Value json_of(const Route& route) {
  Json::Value item;
  item["name"] = route.name;
  item["hostname"] = route.hostname;
  item["path_prefix"] = route.path_prefix;
  item["route_type"] = route.route_type;
  item["timeout_ms"] = route.timeout_ms;
  item["target_latency_ms"] = route.target_latency_ms;
  item["priority"] = route.priority;
  item["backend"] = route.backend;
  item["max_retries"] = route.max_retries;
  item["stretch"] = route.stretch;
  return item;
}

Json::Value json_of(const Service& service) {
  Json::Value item;
  item["name"] = service.name;
  item["health_check_path"] = service.health_check_path;
  item["max_connections"] = service.max_connections;
  item["preconditions"] = service.preconditions;
  return item;
}

Json::Value json_of(const RequestLimits& limits) {
  Json::Value item;
  item["max_header_bytes"] = limits.max_header_bytes;
  item["max_body_bytes"] = limits.max_body_bytes;
  item["header_timeout_ms"] = limits.header_timeout_ms;
  item["idle_timeout_ms"] = limits.idle_timeout_ms;
  return item;
}

}  // namespace

leaf::result<Service> read_service(const FieldScope& scope, const Json::Value& item) {
  if (!item.isObject()) return invalid_field(scope, "", item, "an object");
  Service service;
  BOOST_LEAF_ASSIGN(service.name, required_string(scope, item, "name"));
  BOOST_LEAF_ASSIGN(service.health_check_path, optional_string(scope, item, "health_check_path"));
  BOOST_LEAF_ASSIGN(service.max_connections, small_number(scope, item, "max_connections", kCountRange));
  BOOST_LEAF_ASSIGN(service.preconditions, optional_bool(scope, item, "preconditions", false));
  BOOST_LEAF_CHECK(integer_field(scope, item, "timeout_ms", kOptionalTimeoutRange));
  return service;
}

leaf::result<Route> read_route(const FieldScope& scope, const Json::Value& item) {
  if (!item.isObject()) return invalid_field(scope, "", item, "an object");
  Route route;
  BOOST_LEAF_ASSIGN(route.name, required_string(scope, item, "name"));
  BOOST_LEAF_ASSIGN(route.hostname, required_string(scope, item, "hostname"));
  BOOST_LEAF_ASSIGN(route.path_prefix, required_string(scope, item, "path_prefix"));
  if (route.path_prefix.front() != '/') {
    return invalid_field(scope, "path_prefix", item["path_prefix"], "a path that begins with /");
  }
  BOOST_LEAF_ASSIGN(route.route_type, optional_string(scope, item, "route_type"));
  BOOST_LEAF_ASSIGN(route.timeout_ms, small_number(scope, item, "timeout_ms", kTimeoutRange));
  BOOST_LEAF_ASSIGN(route.target_latency_ms, small_number(scope, item, "target_latency_ms", kMillisRange));
  BOOST_LEAF_ASSIGN(route.priority, small_number(scope, item, "priority", kCountRange));
  BOOST_LEAF_ASSIGN(route.backend, required_string(scope, item, "backend"));
  BOOST_LEAF_ASSIGN(route.max_retries, small_number(scope, item, "max_retries", kCountRange));
  BOOST_LEAF_ASSIGN(route.stretch, optional_number(scope, item, "stretch", kLargestStretch, 1));
  return route;
}

leaf::result<RequestLimits> read_limits(const FieldScope& scope, const Json::Value& object) {
  RequestLimits limits;
  BOOST_LEAF_CHECK(read_limit(scope, object, "max_header_bytes", kLargestCount, limits.max_header_bytes));
  BOOST_LEAF_CHECK(read_limit(scope, object, "max_body_bytes", kLargestCount, limits.max_body_bytes));
  BOOST_LEAF_CHECK(read_limit(scope, object, "header_timeout_ms", kLongestMillis, limits.header_timeout_ms));
  BOOST_LEAF_CHECK(read_limit(scope, object, "idle_timeout_ms", kLongestMillis, limits.idle_timeout_ms));
  return limits;
}

leaf::result<Configuration> read_configuration(const FieldScope& scope, const Json::Value& root) {
  Configuration configuration;
  BOOST_LEAF_ASSIGN(configuration.version, integer_field(scope, root, "version", kVersionRange));
  BOOST_LEAF_AUTO(services, list_field(scope, root, "services", true));
  BOOST_LEAF_CHECK(read_services(scope.child("services"), *services, configuration));
  BOOST_LEAF_AUTO(routes, list_field(scope, root, "routes", true));
  BOOST_LEAF_CHECK(read_routes(scope.child("routes"), *routes, configuration));
  BOOST_LEAF_AUTO(limits, object_field(scope, root, "limits"));
  if (limits != nullptr) {
    BOOST_LEAF_ASSIGN(configuration.limits, read_limits(scope.child("limits"), *limits));
  }
  return configuration;
}

std::string configuration_json(const Configuration& configuration) {
  Json::Value root;
  root["version"] = Json::UInt64{configuration.version};
  root["limits"] = json_of(configuration.limits);
  Json::Value& services = root["services"] = Json::Value(Json::arrayValue);
  for (const Service& service : configuration.services) services.append(json_of(service));
  Json::Value& routes = root["routes"] = Json::Value(Json::arrayValue);
  for (const Route& route : configuration.routes) routes.append(json_of(route));
  return write_json(root);
}

const Route* Configuration::find_route(std::string_view hostname, std::string_view path) const {
  const std::optional<std::size_t> position = route_index.find(hostname, path);
  return position ? &routes[*position] : nullptr;
}

const Service* Configuration::find_service(std::string_view name) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [name](const Service& service) { return service.name == name; });
  return found != services.end() ? &*found : nullptr;
}

leaf::result<Configuration> parse_configuration(std::string_view json, std::string_view source) {
  BOOST_LEAF_AUTO(root, parse_json_object(json, source));
  BOOST_LEAF_AUTO(configuration, read_configuration(FieldScope{std::string(source), ""}, root));
  configuration.json = json;
  return configuration;
}

}  // namespace winchhall::cluster
