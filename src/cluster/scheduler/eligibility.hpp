// Which leaf may take a task of a stage.
#pragma once

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// A leaf whose last heartbeat is older than this may be gone: no hold is granted.
inline constexpr std::uint32_t kFreshHeartbeatMs = 3000;

// True if the leaf is heard and heartbeats; a leaf that is not, and whose hold has run out, runs nothing.
bool is_reachable(const SchedulerState& state, const Leaf& leaf);

// Whether tasks of the stage may run there at all, whatever room there is now.
bool is_feasible(const Leaf& leaf, const StageInstance& stage);

// Whether the leaf may be given a task of the stage now, room left aside.
bool is_schedulable(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// How many more tasks of the stage fit there, with `room` left.
std::uint64_t slots_for(const Leaf& leaf, const StageInstance& stage, const Resources& room);

// True if the stage names the rack of its data and the leaf is not in it.
bool is_remote(const Leaf& leaf, const StageInstance& stage);

// How many times as long as its estimate the task takes there, by where its data lies.
double remote_slowdown(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// True unless the leaf is kept free for another stage and this one would stand in its way.
bool respects_reservation(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage);

// True if one more failure ends the task's job and the leaf is likely to bring it: it fails much of what it
// starts, or this task failed there.
bool is_risky_last_attempt(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage,
                           const Task& task);

// True if the job may be started: everything that it might be running elsewhere is known.
bool may_start(const SchedulerState& state, const Job& job);

}  // namespace winchhall::cluster::scheduling
