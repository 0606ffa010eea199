// Places waiting tasks on leaves.
#pragma once

#include <string>
#include <vector>

#include "cluster/scheduler/backfill_reservations.hpp"
#include "cluster/scheduler/run_table.hpp"
#include "cluster/scheduler/task_preemptor.hpp"

namespace winchhall::cluster::scheduling {

// Places waiting tasks in queue order. Each task is placed on the schedulable leaf with the least load, where
// leaves that are healthy and near its data come first; a gang is placed with all members or not at all. For
// stages without capacity, leaves are reserved or runs of lower priority preempted.
class TaskPlacer {
 public:
  TaskPlacer(SchedulerState& state, RunTable& runs, BackfillReservations& reservations)
      : state_(state), runs_(runs), reservations_(reservations), preemptor_(state, runs) {}

  // One planning round: orders a run for every waiting task that can be placed now.
  void place_waiting_tasks();

 private:
  // A demand for which no leaf had capacity in this round.
  struct UnsatisfiedDemand {
    std::string label;  // label that leaves had to have; empty: none
    Resources demand;
  };
  // Sets `candidates_`.
  void find_candidates(const StageInstance& stage);
  void place_stage(StageInstance& stage);
  void place_tasks(StageInstance& stage);
  // The leaf for a task that isn't a member of a gang; null: none has capacity that the task may use.
  Leaf* choose_leaf(const StageInstance& stage, const Task& task);
  // Returns false if the members can't all be placed now.
  bool place_gang(StageInstance& stage);
  // True while the task should wait for capacity near its data: for a fraction of the time that it would lose
  // on a remote leaf.
  bool waits_for_local_capacity(const StageInstance& stage, const Task& task) const;
  // True while the task should wait for another leaf instead of having its last attempt on this one.
  bool avoids_risky_last_attempt(const Leaf& leaf, const StageInstance& stage, const Task& task) const;
  // True if no leaf had capacity in this round for a demand that is no larger than that of the stage's tasks.
  bool is_known_not_to_fit(const StageInstance& stage) const;
  void handle_unplaced(StageInstance& stage);
  // Reserves leaves or preempts runs for a stage that could not be placed completely.
  void free_capacity_for(StageInstance& stage);

  SchedulerState& state_;
  RunTable& runs_;
  BackfillReservations& reservations_;
  TaskPreemptor preemptor_;
  std::vector<Leaf*> candidates_;               // schedulable leaves for the current stage
  std::vector<UnsatisfiedDemand> unsatisfied_;  // demands that were not satisfied in this round
};

}  // namespace winchhall::cluster::scheduling
