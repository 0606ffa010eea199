// What this process knows of the cluster.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/agent/route_history.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_replica.hpp"

namespace winchhall::cluster {

// What an update has changed in the view.
struct ViewChanges {
  bool configuration = false;
  bool leaders = false;
  bool members = false;
  bool rejected = false;  // the update's configuration could not be read
};

// The newest configuration, the leaders of the services and the members of the control group. Each part only
// moves forward: an update that was overtaken by a newer one changes nothing. Not thread-safe.
class ClusterView {
 public:
  // Applies the parts of an update that are newer than what is known.
  ViewChanges apply_update(const wire::ConfigurationUpdate& update, TimePoint now);

  // To be called after a difference was applied to `replica()`.
  void on_difference_applied(TimePoint now);

  // Version of the configuration; 0: none yet.
  std::uint64_t version() const { return replica_.version(); }
  // Null before the first version.
  const Configuration* configuration() const { return replica_.configuration(); }
  ConfigurationReplica& replica() { return replica_; }
  const ConfigurationReplica& replica() const { return replica_; }
  // Address of the control node that leads a service; empty: none is known.
  Address leader_of(const std::string& service) const;
  const std::vector<wire::Member>& members() const { return members_; }
  const RouteHistory& history() const { return history_; }

 private:
  // Each returns true if it has changed something that users of the view act on.
  bool apply_configuration(const wire::ConfigurationUpdate& update, TimePoint now, bool& rejected);
  bool apply_leader(const wire::ShardLeader& leader);
  bool apply_members(const wire::ConfigurationUpdate& update);

  ConfigurationReplica replica_;
  std::map<std::string, wire::ShardLeader> leaders_;  // by shard
  std::vector<wire::Member> members_;
  RouteHistory history_;
};

}  // namespace winchhall::cluster
