// Places waiting tasks on leaves.
#pragma once

#include <string>
#include <vector>

#include "cluster/scheduler/backfill_reservations.hpp"
#include "cluster/scheduler/run_table.hpp"
#include "cluster/scheduler/task_preemptor.hpp"

namespace winchhall::cluster::scheduling {

// Goes through the queue in order. Each task goes to the schedulable leaf with the least load, where leaves
// that are healthy and near its data come first; a gang is placed with all members or not at all. Stages for
// which there is no capacity reserve or preempt.
class TaskPlacer {
 public:
  TaskPlacer(SchedulerState& state, RunTable& runs, BackfillReservations& reservations)
      : state_(state), runs_(runs), reservations_(reservations), preemptor_(state, runs) {}

  // One planning round: orders a run for every waiting task that can be placed now.
  void place_waiting_tasks();

 private:
  // A demand for which no leaf had capacity in this round.
  struct UnsatisfiedDemand {
    std::string label;  // that leaves had to have; empty: any
    Resources demand;
  };
  // Sets `candidates_`.
  void find_candidates(const StageInstance& stage);
  void place_stage(StageInstance& stage);
  void place_tasks(StageInstance& stage);
  // The leaf for a task that isn't a gang's; null: none has capacity that it may use.
  Leaf* choose_leaf(const StageInstance& stage, const Task& task);
  // Returns false if the members can't all be placed now.
  bool place_gang(StageInstance& stage);
  // True while the task rather waits for capacity near its data: for a part of the time that running away
  // from it would cost.
  bool waits_for_local_capacity(const StageInstance& stage, const Task& task) const;
  // True while the task rather waits for another leaf than to have its last attempt on this one.
  bool avoids_risky_last_attempt(const Leaf& leaf, const StageInstance& stage, const Task& task) const;
  // True if a demand that the stage's tasks cover was unsatisfied in this round.
  bool is_known_not_to_fit(const StageInstance& stage) const;
  void handle_unplaced(StageInstance& stage);
  // Reserves or preempts for a stage that could not be placed completely.
  void free_capacity_for(StageInstance& stage);

  SchedulerState& state_;
  RunTable& runs_;
  BackfillReservations& reservations_;
  TaskPreemptor preemptor_;
  std::vector<Leaf*> candidates_;               // schedulable leaves for the stage in hand
  std::vector<UnsatisfiedDemand> unsatisfied_;  // in this round
};

}  // namespace winchhall::cluster::scheduling
