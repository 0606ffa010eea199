// Places for all members of a gang at once.
#pragma once

#include <vector>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// A leaf for each member, by index; empty: they don't all fit. `cost`: estimated ms of each member.
struct GangPlacement {
  std::vector<Leaf*> members;
  double cost = 0;
};

// `candidates`: the leaves that may take members now.
GangPlacement place_gang_members(SchedulerState& state, const StageInstance& stage,
                                 const std::vector<Leaf*>& candidates);

// Leaves of one rack each, or all together where the stage may lie on any.
std::vector<std::vector<Leaf*>> groups_for(const StageInstance& stage, const std::vector<Leaf*>& candidates);

}  // namespace winchhall::cluster::scheduling
