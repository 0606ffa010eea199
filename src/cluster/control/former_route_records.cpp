#include "cluster/control/former_route_records.hpp"

#include <vector>

namespace winchhall::cluster {

FormerRoutes read_former_routes(const wire::ConfigurationRecord& record) {
  std::vector<FormerRoute> entries;
  for (const wire::FormerRoute& entry : record.former_routes())
    entries.push_back({entry.hostname(), entry.path_prefix(), entry.service(), entry.ended_wall_ms(),
                       entry.ended_version()});
  return FormerRoutes(entries);
}

void write_former_routes(const FormerRoutes& former_routes, wire::ConfigurationRecord& record) {
  record.clear_former_routes();
  for (const FormerRoute& former : former_routes.entries()) {
    wire::FormerRoute& entry = *record.add_former_routes();
    entry.set_hostname(former.hostname);
    entry.set_path_prefix(former.path_prefix);
    entry.set_service(former.service);
    entry.set_ended_wall_ms(former.ended_wall_ms);
    entry.set_ended_version(former.ended_version);
  }
}

}  // namespace winchhall::cluster
