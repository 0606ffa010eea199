#include "cluster/config/configuration.hpp"

#include <algorithm>
#include <optional>

namespace winchhall::cluster {

const Route* Configuration::find_route(std::string_view hostname, std::string_view path) const {
  const std::optional<std::size_t> position = route_index.find(hostname, path);
  return position ? &routes[*position] : nullptr;
}

const Service* Configuration::find_service(std::string_view name) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [name](const Service& service) { return service.name == name; });
  return found != services.end() ? &*found : nullptr;
}

}  // namespace winchhall::cluster
