// A process's replica of the configuration.
#pragma once

#include <string>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/config/editable_configuration.hpp"
#include "cluster/config/former_routes.hpp"
#include "cluster/delivery/configuration_item_table.hpp"

namespace winchhall::cluster {

// What became of a received configuration or difference.
enum class ApplyOutcome {
  applied,
  stale,     // not newer than the replica's version
  rejected,  // made for another base version, damaged or invalid: the full configuration is needed
};

// Owns the configuration in two forms: encoded items, which are served to other processes, and values, which
// this process uses. Differences bring it from version to version; it never returns to an older version. Not
// thread-safe.
class ConfigurationReplica {
 public:
  // Applies a difference completely or not at all.
  ApplyOutcome apply(const wire::ConfigurationDifference& difference);
  // Applies a full configuration in JSON, as sent by processes that serve no differences. `source` names the
  // origin of the text in errors.
  ApplyOutcome apply_json(const std::string& json, const char* source);

  // 0 before the first version.
  std::uint64_t version() const { return table_.id().version; }
  const ConfigurationItemTable& table() const { return table_; }
  // Null before the first version. Invalidated by the next difference that is applied.
  const Configuration* configuration() const {
    return version() == 0 ? nullptr : &configuration_.configuration();
  }
  // The routes that the last applied difference changed.
  const std::vector<RouteChange>& last_route_changes() const { return last_route_changes_; }
  // The former routes that the last applied difference added or changed, without their times.
  const std::vector<FormerRoute>& last_former_routes() const { return last_former_routes_; }

 private:
  struct DecodedDifference {
    ConfigurationEdit edit;
    std::vector<FormerRoute> former_routes;
  };

  // Applies a difference whose base and digest have been checked.
  ApplyOutcome apply_checked(const wire::ConfigurationDifference& difference);
  static leaf::result<DecodedDifference> read(const wire::ConfigurationDifference& difference);
  static leaf::result<void> read_item(const wire::ConfigurationItem& item, DecodedDifference& decoded);

  ConfigurationItemTable table_;
  EditableConfiguration configuration_;
  std::vector<RouteChange> last_route_changes_;
  std::vector<FormerRoute> last_former_routes_;
};

}  // namespace winchhall::cluster
