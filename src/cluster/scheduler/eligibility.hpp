// Predicates and estimates on which leaf may run a stage's tasks. They read the state only.
//
// Terms: a leaf is feasible for a stage if it could ever run one of its tasks; schedulable if it may be given
// one now, capacity aside; slots are how many tasks its capacity has room for.
#pragma once

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// A leaf whose newest heartbeat is older than this may have ended: its execution lease isn't renewed.
inline constexpr std::uint32_t kMaxLeaseHeartbeatAgeMs = 3000;

// True if reports of the leaf come in and it sends heartbeats. What ran on a leaf that isn't reachable has
// ended once its execution lease has expired.
bool is_reachable(const SchedulerState& state, const Leaf& leaf);

bool is_feasible(const Leaf& leaf, const StageInstance& stage);

// Stricter for members of a gang, since one that doesn't start keeps all others waiting.
bool is_schedulable(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// How many more tasks of the stage fit on the leaf if `available` of its capacity is free; heeds the stage's
// anti-affinity, and gives a suspect leaf one task at a time.
std::uint64_t slots_for(const Leaf& leaf, const StageInstance& stage, const Resources& available);

// True if the stage names the rack of its data and the leaf isn't in it.
bool is_remote(const Leaf& leaf, const StageInstance& stage);

// Expected duration in ms of one of the stage's tasks on this leaf, by where its data lies.
double estimate_ms_on(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// Time in ms that a task of the stage loses by running away from its data.
double remote_penalty_ms(const SchedulerState& state, const StageInstance& stage);

// True unless the leaf is reserved for another stage and a task of this one might still run when that is to
// start.
bool respects_reservation(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// True if the task failed, was refused or stalled there.
bool has_failed_on(const Leaf& leaf, const Task& task);

// True if one more failure of this task ends its job and a run on this leaf is likely to fail: the leaf has a
// high failure rate, or the task failed there.
bool is_risky_last_attempt(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage,
                           const Task& task);

// True if tasks of the job may start: all runs of it that an earlier leader may have ordered are known.
bool may_start_tasks(const SchedulerState& state, const Job& job);

}  // namespace winchhall::cluster::scheduling
