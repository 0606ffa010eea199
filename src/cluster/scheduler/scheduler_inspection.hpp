// Makes the views of a scheduler's state that operators see. Changes nothing.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cluster/scheduler/scheduler_state.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster::scheduling {

// The state that clients may see: JOB_RUNNING in place of a final state that isn't durable yet.
wire::JobState visible_state(const Job& job);

SchedulerStats collect_stats(const SchedulerState& state);
// The newest jobs first, at most `limit` of them.
JobList list_jobs(const SchedulerState& state, std::size_t limit);
// None if there is no such job.
std::optional<JobDetail> find_job(const SchedulerState& state, const std::string& id);
// Sorted by leaf ID. The ages of reports are relative to `now`.
std::vector<LeafView> list_leaves(const SchedulerState& state, TimePoint now);

}  // namespace winchhall::cluster::scheduling
