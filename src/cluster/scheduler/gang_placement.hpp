// Chooses leaves for all members of a gang at once.
#pragma once

#include <vector>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

struct GangPlacement {
  std::vector<Leaf*> members;  // the leaf of each member, by task index; empty: they don't all fit
  double cost_ms = 0;          // estimated duration of each member's run
};

// Places a gang's members on `candidates`, its schedulable leaves. Each member goes to the leaf with the
// least load, leaves that aren't suspect first. A stage with `same_rack` goes to the rack with the least
// total load; if no rack has room for all, it waits for a while and is then spread over racks, as every
// member then runs as long as one away from its data. Orders nothing; draws from `state.random` to break
// ties.
GangPlacement place_gang_members(SchedulerState& state, const StageInstance& stage,
                                 const std::vector<Leaf*>& candidates);

}  // namespace winchhall::cluster::scheduling
