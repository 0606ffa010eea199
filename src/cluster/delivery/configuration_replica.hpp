// The configuration as a process of the data plane holds it: encoded, to be handed on, and read, to be used.
// Brought from version to version by differences; never to an older one.
#pragma once

#include <string>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/config/editable_configuration.hpp"
#include "cluster/delivery/configuration_item_table.hpp"

namespace winchhall::cluster {

// How taking up a difference has ended.
enum class ApplyOutcome {
  applied,
  stale,     // not newer than what is held: nothing to do
  rejected,  // made for another base, damaged, or not readable: the whole configuration is needed
};

class ConfigurationReplica {
 public:
  // Takes a difference up whole or not at all.
  ApplyOutcome apply(const wire::ConfigurationDifference& difference);
  // Takes a configuration that came whole as JSON, from a process that hands on no differences.
  ApplyOutcome apply_json(const std::string& json, const char* source);

  std::uint64_t version() const { return table_.id().version; }
  const ConfigurationItemTable& table() const { return table_; }
  // Null before the first version. Valid until the next one is taken.
  const Configuration* configuration() const {
    return version() == 0 ? nullptr : &configuration_.configuration();
  }
  // What the last difference taken has changed.
  const std::vector<RouteChange>& last_route_changes() const { return last_route_changes_; }

 private:
  ApplyOutcome apply_checked(const wire::ConfigurationDifference& difference);
  static leaf::result<ConfigurationEdit> read(const wire::ConfigurationDifference& difference);
  static leaf::result<void> read_item(const wire::ConfigurationItem& item, ConfigurationEdit& edit);

  ConfigurationItemTable table_;
  EditableConfiguration configuration_;
  std::vector<RouteChange> last_route_changes_;
};

}  // namespace winchhall::cluster
