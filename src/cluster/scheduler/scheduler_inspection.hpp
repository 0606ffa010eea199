// Makes the operator's views from a scheduler's state. Reads only.
#pragma once

#include <optional>

#include "cluster/scheduler/scheduler_state.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster::scheduling {

// The state that may be shown: a final one only once it is durable.
wire::JobState shown_state(const Job& job);

SchedulerStats collect_stats(const SchedulerState& state);
JobList list_jobs(const SchedulerState& state, std::size_t limit);
// None: no such job.
std::optional<JobDetail> find_job(const SchedulerState& state, const std::string& id);
std::vector<LeafView> list_leaves(const SchedulerState& state, TimePoint now);

}  // namespace winchhall::cluster::scheduling
