#include "cluster/scheduler/gang_placement.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "cluster/scheduler/eligibility.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

// A gang waits for capacity in one rack for this fraction of the time that it loses by being spread over
// racks.
constexpr double kRackWaitFactor = 0.5;

// A leaf with the slots that are left on it while a placement is planned.
struct PlannedLeaf {
  Leaf* leaf = nullptr;
  std::uint64_t slots = 0;
  double load_ms = 0;  // with the members planned so far
};

// Places each member on the leaf with the least load; returns nothing if they don't all fit. Sets `total_ms`
// to the sum over all members of the load of their leaf after the member was added.
std::vector<Leaf*> spread_members(SchedulerState& state, const StageInstance& stage,
                                  const std::vector<Leaf*>& leaves, double estimate_ms, double& total_ms) {
  std::vector<PlannedLeaf> planned;
  std::uint64_t slots = 0;
  for (Leaf* leaf : leaves) {
    planned.push_back({leaf, slots_for(*leaf, stage, leaf->available()), leaf->load_ms});
    slots += planned.back().slots;
  }
  std::vector<Leaf*> members;
  total_ms = 0;
  if (slots < stage.tasks.size()) return members;
  for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
    placement::LeastCost<PlannedLeaf*> choice;
    for (PlannedLeaf& entry : planned) {
      if (entry.slots == 0) continue;
      const int rank = entry.leaf->health.is_suspect() ? 1 : 0;
      choice.offer(&entry, entry.load_ms + estimate_ms, state.random, rank);
    }
    PlannedLeaf& best = *choice.best();
    --best.slots;
    best.load_ms += estimate_ms;
    total_ms += best.load_ms;
    members.push_back(best.leaf);
  }
  return members;
}

bool are_in_one_rack(const std::vector<Leaf*>& leaves) {
  return std::all_of(leaves.begin(), leaves.end(),
                     [&](const Leaf* leaf) { return leaf->rack == leaves.front()->rack; });
}

// The groups of leaves of which one must hold all members: the racks, or all candidates as one group.
std::vector<std::vector<Leaf*>> placement_groups(const StageInstance& stage,
                                                 const std::vector<Leaf*>& candidates) {
  if (!stage.spec->same_rack()) return {candidates};
  std::map<std::string, std::vector<Leaf*>> racks;
  for (Leaf* leaf : candidates) racks[leaf->rack].push_back(leaf);
  std::vector<std::vector<Leaf*>> groups;
  groups.reserve(racks.size());
  for (auto& [rack, leaves] : racks) groups.push_back(std::move(leaves));
  return groups;
}

// Places all members in the group with the least total load; no members if no group has capacity for all.
GangPlacement place_in_one_group(SchedulerState& state, const StageInstance& stage,
                                 const std::vector<Leaf*>& candidates) {
  placement::LeastCost<std::size_t> choice;
  std::vector<std::vector<Leaf*>> placements;
  for (const std::vector<Leaf*>& group : placement_groups(stage, candidates)) {
    const double estimate_ms =
        group.empty() ? stage.estimate_ms : estimate_ms_on(state, *group.front(), stage);
    double total_ms = 0;
    std::vector<Leaf*> members = spread_members(state, stage, group, estimate_ms, total_ms);
    if (members.empty()) continue;
    choice.offer(placements.size(), total_ms, state.random);
    placements.push_back(std::move(members));
  }
  if (choice.empty()) return {};
  const std::vector<Leaf*>& members = placements[choice.best()];
  return {members, estimate_ms_on(state, *members.front(), stage)};
}

GangPlacement spread_over_racks(SchedulerState& state, const StageInstance& stage,
                                const std::vector<Leaf*>& candidates) {
  const double estimate_ms = stage.estimate_ms * state.options.bounds.far_factor;
  double total_ms = 0;
  std::vector<Leaf*> members = spread_members(state, stage, candidates, estimate_ms, total_ms);
  if (members.empty()) return {};
  const double cost_ms = are_in_one_rack(members) ? stage.estimate_ms : estimate_ms;
  return {std::move(members), cost_ms};
}

}  // namespace

GangPlacement place_gang_members(SchedulerState& state, const StageInstance& stage,
                                 const std::vector<Leaf*>& candidates) {
  GangPlacement placement = place_in_one_group(state, stage, candidates);
  if (!placement.members.empty() || !stage.spec->same_rack()) return placement;
  const double wait_ms = remote_penalty_ms(state, stage) * kRackWaitFactor;
  if (state.now < stage.waiting_since + Millis(static_cast<std::int64_t>(wait_ms))) return {};
  return spread_over_racks(state, stage, candidates);
}

}  // namespace winchhall::cluster::scheduling
