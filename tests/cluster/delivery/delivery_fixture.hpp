// Fixtures for tests of configuration delivery: configurations of many routes, and processes that serve them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/delivery/configuration_fetcher.hpp"
#include "cluster/delivery/configuration_items.hpp"
#include "cluster/delivery/configuration_replica.hpp"
#include "cluster/delivery/configuration_transfer_server.hpp"
#include "tests/cluster/support/fake_runtime.hpp"

namespace winchhall::cluster::testing {

// A route of the host jobs.example to the service "first"; its path is /`prefix`/, or /`name`/ without a
// prefix.
inline Route route_named(const std::string& name, std::uint32_t timeout_ms, const std::string& prefix = {}) {
  Route route;
  route.name = name;
  route.hostname = "jobs.example";
  route.path_prefix = "/" + (prefix.empty() ? name : prefix) + "/";
  route.timeout_ms = timeout_ms;
  route.backend = "first";
  return route;
}

// The configuration as the operator edits it: its version and routes. It has one service, "first".
struct OperatorConfiguration {
  std::uint64_t version = 0;
  std::map<std::string, Route> routes;

  void put(const Route& route) { routes[route.name] = route; }
  void add_routes(std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
      put(route_named("r-" + std::to_string(number), 3000));
    }
  }
  Configuration make_configuration() const {
    Configuration configuration;
    configuration.version = version;
    Service service;
    service.name = "first";
    configuration.services.push_back(service);
    for (const auto& [name, route] : routes) configuration.routes.push_back(route);
    return configuration;
  }
};

// A process that holds the configuration and serves it.
struct ConfigurationSource {
  ConfigurationItemTable table;
  ConfigurationTransferServer server{table};

  void apply(const OperatorConfiguration& configuration) {
    table.apply(
        table.difference_to_items(configuration.version, items_of(configuration.make_configuration())));
  }
  // The server's reply to a request.
  wire::ConfigurationPart fetch(const wire::ConfigurationFetch& fetch) {
    wire::ConfigurationPart part;
    server.handle(fetch, [&](const wire::Envelope& answer) { part = answer.configuration_part(); });
    return part;
  }
};

// True if the replica has exactly these routes and finds each of them by its path.
inline bool equals(const ConfigurationReplica& replica, const OperatorConfiguration& expected) {
  const Configuration* const configuration = replica.configuration();
  if (configuration == nullptr || configuration->version != expected.version) return false;
  if (configuration->routes.size() != expected.routes.size()) return false;
  for (const auto& [name, route] : expected.routes) {
    const Route* const found = configuration->find_route(route.hostname, route.path_prefix + "x");
    if (found == nullptr || found->name != name || found->timeout_ms != route.timeout_ms) return false;
  }
  return true;
}

}  // namespace winchhall::cluster::testing
