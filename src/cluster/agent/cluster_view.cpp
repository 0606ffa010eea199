#include "cluster/agent/cluster_view.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr char kServiceShardPrefix[] = "service/";
constexpr char kControlSource[] = "control";

bool same_member(const wire::Member& left, const wire::Member& right) {
  return left.id() == right.id() && left.address() == right.address() && left.zone() == right.zone();
}

}  // namespace

ViewChanges ClusterView::absorb(const wire::ConfigurationUpdate& update, TimePoint now) {
  ViewChanges changes;
  changes.configuration = absorb_configuration(update, now, changes.unusable);
  for (const wire::ShardLeader& leader : update.leaders()) {
    const bool changed = absorb_leader(leader);
    changes.leaders = changes.leaders || changed;
  }
  changes.members = absorb_members(update);
  return changes;
}

Address ClusterView::leader_of(const std::string& service) const {
  const auto found = leaders_.find(kServiceShardPrefix + service);
  return found == leaders_.end() ? Address() : found->second.address();
}

bool ClusterView::absorb_configuration(const wire::ConfigurationUpdate& update, TimePoint now,
                                       bool& unusable) {
  if (update.version() <= version() || update.configuration().empty()) return false;
  const TakeOutcome outcome = replica_.take_json(update.configuration(), kControlSource);
  unusable = outcome == TakeOutcome::unusable;
  if (outcome != TakeOutcome::taken) return false;
  on_difference(now);
  return true;
}

void ClusterView::on_difference(TimePoint now) { history_.observe(replica_.last_route_changes(), now); }

bool ClusterView::absorb_leader(const wire::ShardLeader& leader) {
  wire::ShardLeader& known = leaders_[leader.shard()];
  const bool newer = leader.epoch() > known.epoch();
  const bool completes = leader.epoch() == known.epoch() && known.address().empty();
  if (!newer && !completes) return false;
  const bool moved = known.address() != leader.address();
  known = leader;
  return moved;
}

// A node that is cut off may hold an old list.
bool ClusterView::absorb_members(const wire::ConfigurationUpdate& update) {
  if (!update.in_touch() || update.members().empty()) return false;
  const auto& members = update.members();
  const bool same = std::equal(members.begin(), members.end(), members_.begin(), members_.end(), same_member);
  if (same) return false;
  members_.assign(members.begin(), members.end());
  return true;
}

}  // namespace winchhall::cluster
