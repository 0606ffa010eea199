// Estimates of how long runs still take.
#pragma once

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// When a run is expected to end, by its percentage where it tells one, else by its hint. Runs that last: in
// an hour.
TimePoint expected_end(const SchedulerState& state, const Run& run);

}  // namespace winchhall::cluster::scheduling
