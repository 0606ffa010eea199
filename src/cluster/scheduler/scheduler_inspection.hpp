// Makes operators' views of a scheduler's state. Reads only.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cluster/scheduler/scheduler_state.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster::scheduling {

// The state that clients may see: while a final state isn't durable, JOB_RUNNING in its place.
wire::JobState visible_state(const Job& job);

SchedulerStats collect_stats(const SchedulerState& state);
// The newest jobs first, at most `limit` of them.
JobList list_jobs(const SchedulerState& state, std::size_t limit);
// None if there is no such job.
std::optional<JobDetail> find_job(const SchedulerState& state, const std::string& id);
// In the order of leaf IDs. `now`: from which the ages of reports are counted.
std::vector<LeafView> list_leaves(const SchedulerState& state, TimePoint now);

}  // namespace winchhall::cluster::scheduling
