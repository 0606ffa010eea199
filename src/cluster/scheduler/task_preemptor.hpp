// Preempts runs of lower priority for small waiting tasks.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

// Whether preemption may lose work: the task of a run that doesn't checkpoint starts again from the
// beginning, and a long-running task is interrupted until it is placed again.
enum class LostWork : std::uint8_t { avoid, accept };

// True if the run may be stopped in favour of the stage: it has a strictly lower priority, is not a member of
// a gang, and loses no work if that is to be avoided.
bool may_preempt(const StageInstance& stage, const Run& run, LostWork lost_work);

// Order of preemption within one priority: runs that checkpoint come first; among runs that are equal in
// this, those that were ordered last come first, since they have done the least work.
bool loses_less_work(const Run& left, const Run& right);

// Frees capacity for stages whose tasks are placed one by one and each fit in a small part of a leaf; for
// other stages see BackfillReservations. Stops runs only for those waiting tasks that don't fit in the
// capacity that becomes free anyway within the time that a stop takes.
class TaskPreemptor {
 public:
  TaskPreemptor(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // Begins a planning round: drops the claims of the last one.
  void begin_round() { claimed_.clear(); }
  // Stops runs for the stage's waiting tasks on `candidates`, its schedulable leaves. No effect until the
  // stage has waited for a short time.
  void preempt_for(const StageInstance& stage, const std::vector<Leaf*>& candidates);

 private:
  // A leaf with the capacity that will be available there after the time that a stop takes.
  struct FutureCapacity {
    Leaf* leaf = nullptr;
    Resources available;
    std::uint64_t slots = 0;  // number of the stage's tasks that fit in `available`
  };
  FutureCapacity future_capacity(const StageInstance& stage, Leaf& leaf) const;
  std::vector<Run*> find_victims(const StageInstance& stage,
                                 const std::vector<FutureCapacity>& capacities) const;
  void stop_until_covered(const StageInstance& stage, std::vector<FutureCapacity>& capacities,
                          std::uint64_t required_slots);

  SchedulerState& state_;
  RunTable& runs_;
  // Future capacity that earlier stages of this round have claimed.
  std::unordered_map<const Leaf*, Resources> claimed_;
};

}  // namespace winchhall::cluster::scheduling
