#include "cluster/agent/cluster_view.hpp"

#include <algorithm>

#include "cluster/common/service_shard.hpp"

namespace winchhall::cluster {

namespace {

constexpr char kControlSource[] = "control";

bool is_same_member(const wire::Member& left, const wire::Member& right) {
  return left.id() == right.id() && left.address() == right.address() && left.zone() == right.zone();
}

}  // namespace

ViewChanges ClusterView::apply_update(const wire::ConfigurationUpdate& update, TimePoint now) {
  ViewChanges changes;
  changes.configuration = apply_configuration(update, now, changes.rejected);
  for (const wire::ShardLeader& leader : update.leaders()) {
    const bool changed = apply_leader(leader);
    changes.leaders = changes.leaders || changed;
  }
  changes.members = apply_members(update);
  return changes;
}

Address ClusterView::leader_of(const std::string& service) const {
  const auto found = leaders_.find(shard_of_service(service));
  return found == leaders_.end() ? Address() : found->second.address();
}

std::set<std::string> ClusterView::services() const {
  std::set<std::string> services;
  if (configuration() != nullptr) {
    for (const Service& service : configuration()->services) services.insert(service.name);
  }
  for (const auto& [shard, leader] : leaders_) {
    const auto service = service_of_shard(shard);
    if (service && !leader.address().empty()) services.insert(*service);
  }
  return services;
}

bool ClusterView::apply_configuration(const wire::ConfigurationUpdate& update, TimePoint now,
                                      bool& rejected) {
  if (update.version() <= version() || update.configuration().empty()) return false;
  const ApplyOutcome outcome = replica_.apply_json(update.configuration(), kControlSource);
  rejected = outcome == ApplyOutcome::rejected;
  if (outcome != ApplyOutcome::applied) return false;
  on_difference_applied(now);
  return true;
}

void ClusterView::on_difference_applied(TimePoint now) {
  history_.record_changes(replica_.last_route_changes(), now);
  history_.record_former_routes(replica_.last_former_routes(), now);
}

bool ClusterView::apply_leader(const wire::ShardLeader& leader) {
  wire::ShardLeader& known = leaders_[leader.shard()];
  const bool newer = leader.epoch() > known.epoch();
  const bool adds_address = leader.epoch() == known.epoch() && known.address().empty();
  if (!newer && !adds_address) return false;
  const bool address_changed = known.address() != leader.address();
  known = leader;
  return address_changed;
}

// Only a control node in contact with a quorum knows the current members; a partitioned one may have an
// outdated list.
bool ClusterView::apply_members(const wire::ConfigurationUpdate& update) {
  if (!update.in_touch() || update.members().empty()) return false;
  const auto& members = update.members();
  const bool unchanged =
      std::equal(members.begin(), members.end(), members_.begin(), members_.end(), is_same_member);
  if (unchanged) return false;
  members_.assign(members.begin(), members.end());
  return true;
}

}  // namespace winchhall::cluster
