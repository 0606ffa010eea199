// Estimates when a run will end.
#pragma once

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// When the run is expected to have ended and released its resources: after the bound for stops if it is
// stopping, else by its reported progress, else by its estimated duration. Long-running and unknown runs: in
// an hour.
TimePoint estimate_run_end(const SchedulerState& state, const Run& run);

}  // namespace winchhall::cluster::scheduling
