// Places for all members of a gang at once.
#include "cluster/scheduler/gang_placement.hpp"

#include <algorithm>
#include <map>

#include "cluster/scheduler/eligibility.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

// What a leaf could still take, and what it would have to do, while a plan is made.
struct Offer {
  Leaf* leaf = nullptr;
  std::uint64_t places = 0;
  double cost = 0;
};

// Gives each member to the leaf with the least cost; empty if they don't all fit. `total`: sum of those
// costs.
std::vector<Leaf*> spread(SchedulerState& state, const StageInstance& stage, const std::vector<Leaf*>& leaves,
                          double hint, double& total) {
  std::vector<Offer> offers;
  std::uint64_t places = 0;
  for (Leaf* leaf : leaves) {
    offers.push_back({leaf, slots_for(*leaf, stage, leaf->free()), leaf->cost});
    places += offers.back().places;
  }
  std::vector<Leaf*> members;
  if (places < stage.tasks.size()) return members;
  for (std::size_t i = 0; i < stage.tasks.size(); ++i) {
    placement::LeastCost<Offer*> choice;
    for (Offer& offer : offers)
      if (offer.places > 0)
        choice.offer(&offer, offer.cost + hint, state.random, offer.leaf->health.suspect() ? 1 : 0);
    Offer& best = *choice.best();
    --best.places;
    best.cost += hint;
    total += best.cost;
    members.push_back(best.leaf);
  }
  return members;
}

bool in_one_rack(const std::vector<Leaf*>& leaves) {
  return std::all_of(leaves.begin(), leaves.end(),
                     [&](const Leaf* leaf) { return leaf->rack == leaves.front()->rack; });
}

// Rather than spread over racks, a gang waits this part of what it would lose by it.
constexpr double kPatience = 0.5;

}  // namespace

std::vector<std::vector<Leaf*>> groups_for(const StageInstance& stage, const std::vector<Leaf*>& candidates) {
  if (!stage.spec->same_rack()) return {candidates};
  std::map<std::string, std::vector<Leaf*>> racks;
  for (Leaf* leaf : candidates) racks[leaf->rack].push_back(leaf);
  std::vector<std::vector<Leaf*>> groups;
  groups.reserve(racks.size());
  for (auto& [rack, leaves] : racks) groups.push_back(std::move(leaves));
  return groups;
}

GangPlacement place_gang_members(SchedulerState& state, const StageInstance& stage,
                                 const std::vector<Leaf*>& candidates) {
  placement::LeastCost<std::size_t> choice;
  std::vector<std::vector<Leaf*>> plans;
  for (const std::vector<Leaf*>& group : groups_for(stage, candidates)) {
    double hint = group.empty() ? stage.hint : stage.hint * remote_slowdown(state, *group.front(), stage);
    double total = 0;
    std::vector<Leaf*> members = spread(state, stage, group, hint, total);
    if (members.empty()) continue;
    choice.offer(plans.size(), total, state.random);
    plans.push_back(std::move(members));
  }
  if (!choice.empty()) {
    const std::vector<Leaf*>& members = plans[choice.best()];
    return {members, stage.hint * remote_slowdown(state, *members.front(), stage)};
  }
  if (!stage.spec->same_rack()) return {};
  double longer = stage.hint * (state.terms.bounds.far_factor - 1);
  if (state.now < stage.waiting_since + Millis(static_cast<std::int64_t>(longer * kPatience))) return {};
  double total = 0;
  double hint = stage.hint * state.terms.bounds.far_factor;
  std::vector<Leaf*> members = spread(state, stage, candidates, hint, total);
  if (members.empty()) return {};
  const double cost = in_one_rack(members) ? stage.hint : hint;
  return {std::move(members), cost};
}

}  // namespace winchhall::cluster::scheduling
