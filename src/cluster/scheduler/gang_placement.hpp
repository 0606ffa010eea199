// Chooses the leaves for all members of a gang together.
#pragma once

#include <vector>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// The leaves chosen for a gang.
struct GangPlacement {
  std::vector<Leaf*> members;  // the leaf of each member, by task index; empty: not all members fit
  double cost_ms = 0;          // estimated duration of each member's run
};

// Chooses leaves for a gang's members among `candidates`, its schedulable leaves. Each member is placed on
// the leaf with the least load, where leaves that aren't suspect come first. A stage with `same_rack` is
// placed in the rack with the least total load. If no rack has capacity for all members, the stage waits for
// a while and is then spread over racks, where each member takes as long as a task that is remote from its
// data. Orders no runs; chooses among leaves of equal load with `state.random`.
GangPlacement place_gang_members(SchedulerState& state, const StageInstance& stage,
                                 const std::vector<Leaf*>& candidates);

}  // namespace winchhall::cluster::scheduling
