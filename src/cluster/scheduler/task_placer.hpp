// Gives waiting tasks to leaves: by queue order, each to the eligible leaf with the least summed hinted cost.
#pragma once

#include "cluster/scheduler/backfill_reservations.hpp"
#include "cluster/scheduler/run_table.hpp"
#include "cluster/scheduler/task_preemptor.hpp"

namespace winchhall::cluster::scheduling {

class TaskPlacer {
 public:
  TaskPlacer(SchedulerState& state, RunTable& ledger, BackfillReservations& claims)
      : state_(state), ledger_(ledger), claims_(claims), preemption_(state, ledger) {}

  // Offers the room there is to all waiting stages once.
  void place_all();

 private:
  // Demand of which no leaf with this label had room.
  struct Exhausted {
    std::string label;
    Resources demand;
  };
  // Sets `candidates_` to the leaves that may take tasks of the stage now, room left aside.
  void find_candidates(const StageInstance& stage);
  void place_stage(StageInstance& stage);
  void place_singles(StageInstance& stage);
  Leaf* choose(const StageInstance& stage, const Task& task);
  bool place_gang(StageInstance& stage);
  // True while a leaf near the stage's data may soon have room, for a part of what running away from them
  // costs.
  bool waits_for_local_capacity(const StageInstance& stage, const Task& task) const;
  // True while the task rather waits than to have its last try on this leaf.
  bool avoids_risky_last_attempt(const Leaf& leaf, const StageInstance& stage, const Task& task) const;
  bool is_exhausted(const StageInstance& stage) const;
  void note_blocked(StageInstance& stage);
  // Has room come free for a stage that could not be placed whole.
  void preempt_for(StageInstance& stage);

  SchedulerState& state_;
  RunTable& ledger_;
  BackfillReservations& claims_;
  TaskPreemptor preemption_;
  std::vector<Leaf*> candidates_;     // of the stage in hand
  std::vector<Exhausted> exhausted_;  // in this round
};

}  // namespace winchhall::cluster::scheduling
