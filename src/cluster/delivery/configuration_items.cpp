#include "cluster/delivery/configuration_items.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace winchhall::cluster {

namespace {

constexpr const char* kSource = "configuration item";

wire::ConfigurationItem item_of(wire::ConfigurationItemKind kind, const std::string& name,
                                const google::protobuf::MessageLite& content) {
  wire::ConfigurationItem item;
  item.set_kind(kind);
  item.set_name(name);
  content.SerializeToString(item.mutable_encoded());
  return item;
}

wire::ConfigurationItem item_of(const Service& service) {
  wire::ServiceItem content;
  content.set_health_check_path(service.health_check_path);
  content.set_max_connections(service.max_connections);
  content.set_preconditions(service.preconditions);
  return item_of(wire::CONFIGURATION_SERVICE, service.name, content);
}

wire::ConfigurationItem item_of(const Route& route) {
  wire::RouteItem content;
  content.set_hostname(route.hostname);
  content.set_path_prefix(route.path_prefix);
  content.set_route_type(route.route_type);
  content.set_timeout_ms(route.timeout_ms);
  content.set_target_latency_ms(route.target_latency_ms);
  content.set_priority(route.priority);
  content.set_backend(route.backend);
  content.set_max_retries(route.max_retries);
  content.set_stretch(route.stretch);
  return item_of(wire::CONFIGURATION_ROUTE, route.name, content);
}

wire::ConfigurationItem item_of(const RequestLimits& limits) {
  wire::LimitsItem content;
  content.set_max_header_bytes(limits.max_header_bytes);
  content.set_max_body_bytes(limits.max_body_bytes);
  content.set_header_timeout_ms(limits.header_timeout_ms);
  content.set_idle_timeout_ms(limits.idle_timeout_ms);
  return item_of(wire::CONFIGURATION_LIMITS, "", content);
}

template <typename Content>
leaf::result<Content> read_content(const wire::ConfigurationItem& item) {
  Content content;
  if (content.ParseFromString(item.encoded())) return content;
  return leaf::new_error(InvalidInput{kSource, item.name(), "", "an encoded item of its kind"});
}

}  // namespace

std::vector<wire::ConfigurationItem> items_of(const Configuration& configuration) {
  std::vector<wire::ConfigurationItem> items;
  items.reserve(configuration.services.size() + configuration.routes.size() + 1);
  for (const Service& service : configuration.services) items.push_back(item_of(service));
  for (const Route& route : configuration.routes) items.push_back(item_of(route));
  items.push_back(item_of(configuration.limits));
  return items;
}

std::vector<wire::ConfigurationItem> items_of(const ConfigurationEdit& edit) {
  std::vector<wire::ConfigurationItem> items;
  for (const Service& service : edit.services) items.push_back(item_of(service));
  for (const Route& route : edit.routes) items.push_back(item_of(route));
  for (const std::string& name : edit.removed_services) {
    items.push_back(removed_item(wire::CONFIGURATION_SERVICE, name));
  }
  for (const std::string& name : edit.removed_routes) {
    items.push_back(removed_item(wire::CONFIGURATION_ROUTE, name));
  }
  if (edit.limits) items.push_back(item_of(*edit.limits));
  return items;
}

std::vector<wire::ConfigurationItem> items_of(const FormerRoutes& former_routes) {
  std::map<std::string, wire::FormerRouteItem> contents;  // by name
  for (const FormerRoute& entry : former_routes.entries()) {
    wire::FormerRouteItem& content = contents[entry.hostname + entry.path_prefix];
    content.set_hostname(entry.hostname);
    content.set_path_prefix(entry.path_prefix);
    content.add_services(entry.service);
    content.set_ended_version(std::max<std::uint64_t>(content.ended_version(), entry.ended_version));
  }
  std::vector<wire::ConfigurationItem> items;
  items.reserve(contents.size());
  for (const auto& [name, content] : contents)
    items.push_back(item_of(wire::CONFIGURATION_FORMER_ROUTE, name, content));
  return items;
}

std::vector<wire::ConfigurationItem> item_changes_between(const FormerRoutes& before,
                                                          const FormerRoutes& after) {
  std::map<std::string, std::string> outdated;  // encoded items by name
  for (wire::ConfigurationItem& item : items_of(before))
    outdated.emplace(item.name(), std::move(*item.mutable_encoded()));
  std::vector<wire::ConfigurationItem> changes;
  for (wire::ConfigurationItem& item : items_of(after)) {
    const auto previous = outdated.extract(item.name());
    const bool unchanged = !previous.empty() && previous.mapped() == item.encoded();
    if (!unchanged) changes.push_back(std::move(item));
  }
  for (const auto& [name, encoded] : outdated)
    changes.push_back(removed_item(wire::CONFIGURATION_FORMER_ROUTE, name));
  return changes;
}

wire::ConfigurationItem removed_item(wire::ConfigurationItemKind kind, const std::string& name) {
  wire::ConfigurationItem item;
  item.set_kind(kind);
  item.set_name(name);
  item.set_removed(true);
  return item;
}

leaf::result<Route> read_route_item(const wire::ConfigurationItem& item) {
  BOOST_LEAF_AUTO(content, read_content<wire::RouteItem>(item));
  Route route;
  route.name = item.name();
  route.hostname = content.hostname();
  route.path_prefix = content.path_prefix();
  route.route_type = content.route_type();
  route.timeout_ms = content.timeout_ms();
  route.target_latency_ms = content.target_latency_ms();
  route.priority = content.priority();
  route.backend = content.backend();
  route.max_retries = content.max_retries();
  route.stretch = content.stretch();
  return route;
}

leaf::result<Service> read_service_item(const wire::ConfigurationItem& item) {
  BOOST_LEAF_AUTO(content, read_content<wire::ServiceItem>(item));
  Service service;
  service.name = item.name();
  service.health_check_path = content.health_check_path();
  service.max_connections = content.max_connections();
  service.preconditions = content.preconditions();
  return service;
}

leaf::result<std::vector<FormerRoute>> read_former_route_item(const wire::ConfigurationItem& item) {
  BOOST_LEAF_AUTO(content, read_content<wire::FormerRouteItem>(item));
  std::vector<FormerRoute> entries;
  for (const std::string& service : content.services())
    entries.push_back({content.hostname(), content.path_prefix(), service, 0, content.ended_version()});
  return entries;
}

leaf::result<RequestLimits> read_limits_item(const wire::ConfigurationItem& item) {
  BOOST_LEAF_AUTO(content, read_content<wire::LimitsItem>(item));
  RequestLimits limits;
  limits.max_header_bytes = content.max_header_bytes();
  limits.max_body_bytes = content.max_body_bytes();
  limits.header_timeout_ms = content.header_timeout_ms();
  limits.idle_timeout_ms = content.idle_timeout_ms();
  return limits;
}

}  // namespace winchhall::cluster
