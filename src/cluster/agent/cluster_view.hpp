// This process's view of the cluster: configuration, leaders of the services, members of the control group.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/agent/route_history.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_replica.hpp"

namespace winchhall::cluster {

// The parts of a ClusterView that an update has changed.
struct ViewChanges {
  bool configuration = false;
  bool leaders = false;
  bool members = false;
  bool rejected = false;  // the update's configuration was invalid
};

// Holds the newest known configuration, the leaders of the services and the members of the control group. No
// part returns to an older state: what an update holds that is older than the view is ignored. Owns the
// replica of the configuration and the history of its routes. Not thread-safe.
class ClusterView {
 public:
  // Applies the parts of an update that are newer than what is known.
  ViewChanges apply_update(const wire::ConfigurationUpdate& update, TimePoint now);

  // Records the route changes of the difference that was last applied to `replica()`; must be called after
  // each one.
  void on_difference_applied(TimePoint now);

  // Version of the configuration; 0 before the first one.
  std::uint64_t version() const { return replica_.version(); }
  // Null before the first version.
  const Configuration* configuration() const { return replica_.configuration(); }
  ConfigurationReplica& replica() { return replica_; }
  const ConfigurationReplica& replica() const { return replica_; }
  // Address of the control node that leads a service; empty if none is known.
  Address leader_of(const std::string& service) const;
  // The services in force, and those with a known leader: a service that is removed from the configuration
  // still has one, and owns the jobs that it accepted.
  std::set<std::string> services() const;
  const std::vector<wire::Member>& members() const { return members_; }
  const RouteHistory& history() const { return history_; }

 private:
  // Each returns true if it has changed something that users of the view act on.
  bool apply_configuration(const wire::ConfigurationUpdate& update, TimePoint now, bool& rejected);
  bool apply_leader(const wire::ShardLeader& leader);
  bool apply_members(const wire::ConfigurationUpdate& update);

  ConfigurationReplica replica_;
  std::map<std::string, wire::ShardLeader> leaders_;  // by shard name
  std::vector<wire::Member> members_;
  RouteHistory history_;
};

}  // namespace winchhall::cluster
