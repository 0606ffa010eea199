// Predicates and estimates that decide which leaf may run a stage's tasks. They change nothing.
//
// Terms: a leaf is feasible for a stage if it could run one of its tasks when idle; it is schedulable if it
// may be given one now, provided that it has capacity; its slots are the number of tasks that it has capacity
// for.
#pragma once

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// The execution lease of a leaf whose newest heartbeat is older than this isn't renewed, since the leaf may
// have ended.
inline constexpr std::uint32_t kMaxLeaseHeartbeatAgeMs = 3000;

// True if the newest report of the leaf, and its newest heartbeat, are recent. The runs on a leaf that isn't
// reachable have ended once its execution lease has expired.
bool is_reachable(const SchedulerState& state, const Leaf& leaf);

// True if the leaf is synchronized, is not about to end, has the label that the stage requires and is large
// enough for one of its tasks.
bool is_feasible(const Leaf& leaf, const StageInstance& stage);

// True if the leaf is feasible, its runs and record allow a start, its report and heartbeat are recent, and
// it isn't ejected. The ages allowed are lower for a gang, since a member that doesn't start keeps all others
// waiting.
bool is_schedulable(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// How many more tasks of the stage fit on the leaf if `available` of its capacity is free. Limited by the
// stage's anti-affinity, and to one for a suspect leaf.
std::uint64_t slots_for(const Leaf& leaf, const StageInstance& stage, const Resources& available);

// True if the stage names the rack of its data and the leaf is in another rack.
bool is_remote(const Leaf& leaf, const StageInstance& stage);

// Expected duration of one of the stage's tasks on this leaf, longer if the leaf is remote from its data.
double estimate_ms_on(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// Additional duration of a task of the stage on a leaf that is remote from its data.
double remote_penalty_ms(const SchedulerState& state, const StageInstance& stage);

// True unless the leaf is reserved for another stage and a task of this stage might still run when the
// reservation starts.
bool respects_reservation(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// True if the task failed, was refused or stalled on the leaf.
bool has_failed_on(const Leaf& leaf, const Task& task);

// True if one more failure of this task ends its job and a run on this leaf is likely to fail, because the
// leaf has a high failure rate or the task failed there before.
bool is_risky_last_attempt(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage,
                           const Task& task);

// True if tasks of the job may start, because all its runs that an earlier leader may have ordered are known.
bool may_start_tasks(const SchedulerState& state, const Job& job);

}  // namespace winchhall::cluster::scheduling
