// Estimates when a run will end.
#pragma once

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// When the run is expected to have ended and released its resources. A run that is stopping ends within the
// bound for stops. Otherwise the estimate follows from the reported progress, or else from the estimated
// duration. Long-running and unknown runs are assumed to end in an hour.
TimePoint estimate_run_end(const SchedulerState& state, const Run& run);

}  // namespace winchhall::cluster::scheduling
