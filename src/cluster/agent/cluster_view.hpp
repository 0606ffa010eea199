// What this process knows of the cluster: the newest configuration, the leaders of the services, the members.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/agent/route_history.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_replica.hpp"

namespace winchhall::cluster {

// What an update has changed.
struct ViewChanges {
  bool configuration = false;
  bool leaders = false;
  bool members = false;
  bool rejected = false;  // the update's configuration could not be read
};

class ClusterView {
 public:
  // Takes in what is newer of leaders, members and, where it came whole, the configuration; what is older
  // changes nothing.
  ViewChanges apply_update(const wire::ConfigurationUpdate& update, TimePoint now);

  // The replica has taken a difference.
  void on_difference_applied(TimePoint now);

  // 0: no configuration yet.
  std::uint64_t version() const { return replica_.version(); }
  // Null before the first.
  const Configuration* configuration() const { return replica_.configuration(); }
  ConfigurationReplica& replica() { return replica_; }
  const ConfigurationReplica& replica() const { return replica_; }
  // Address of the control node that leads a service; empty: none known.
  Address leader_of(const std::string& service) const;
  const std::vector<wire::Member>& members() const { return members_; }
  const RouteHistory& history() const { return history_; }

 private:
  bool apply_configuration(const wire::ConfigurationUpdate& update, TimePoint now, bool& rejected);
  bool apply_leader(const wire::ShardLeader& leader);
  bool apply_members(const wire::ConfigurationUpdate& update);

  ConfigurationReplica replica_;
  std::map<std::string, wire::ShardLeader> leaders_;  // by shard
  std::vector<wire::Member> members_;
  RouteHistory history_;
};

}  // namespace winchhall::cluster
