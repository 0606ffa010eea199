// Preempts runs of lower priority for small tasks that wait.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

// Whether preemption may lose work: a run that doesn't checkpoint starts over, and the job of a long-running
// task is without it until it is placed again.
enum class LostWork : std::uint8_t { avoid, accept };

// True if the run may be stopped in favour of the stage: it is of strictly lower priority, not a member of a
// gang, and loses no work where that is to be avoided.
bool may_preempt(const StageInstance& stage, const Run& run, LostWork lost_work);

// Order of preemption within one priority: runs that checkpoint first, then those ordered latest, which have
// done least.
bool loses_less_work(const Run& left, const Run& right);

// Frees capacity for stages whose tasks are placed one by one and each fit in a small part of a leaf; stages
// that need more use BackfillReservations. Stops only as many runs as tasks wait beyond the slots that come
// free by themselves within the time that a stop takes.
class TaskPreemptor {
 public:
  TaskPreemptor(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // Begins a planning round: no stage counts on capacity yet.
  void begin_round() { promised_.clear(); }
  // Stops runs for the stage's waiting tasks. `candidates`: its schedulable leaves. No effect before the
  // stage has waited for a moment.
  void preempt_for(const StageInstance& stage, const std::vector<Leaf*>& candidates);

 private:
  // A leaf with the capacity that it will have within the time that a stop takes.
  struct FutureCapacity {
    Leaf* leaf = nullptr;
    Resources available;
    std::uint64_t slots = 0;  // of the stage in hand
  };
  FutureCapacity future_capacity(const StageInstance& stage, Leaf& leaf) const;
  std::vector<Run*> find_victims(const StageInstance& stage,
                                 const std::vector<FutureCapacity>& capacities) const;
  void stop_until_covered(const StageInstance& stage, std::vector<FutureCapacity>& capacities,
                          std::uint64_t required_slots);

  SchedulerState& state_;
  RunTable& runs_;
  // Future capacity that earlier stages of this round count on.
  std::unordered_map<const Leaf*, Resources> promised_;
};

}  // namespace winchhall::cluster::scheduling
