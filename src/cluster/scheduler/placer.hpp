// Gives waiting tasks to leaves: by queue order, each to the eligible leaf with the least summed hinted cost.
#pragma once

#include "cluster/scheduler/claims.hpp"
#include "cluster/scheduler/preemption.hpp"
#include "cluster/scheduler/run_ledger.hpp"

namespace winchhall::cluster::scheduling {

class Placer {
 public:
  Placer(SchedulerState& state, RunLedger& ledger, Claims& claims)
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
  bool waits_for_near_room(const StageInstance& stage, const Task& task) const;
  // True while the task rather waits than to have its last try on this leaf.
  bool spares_last_try(const Leaf& leaf, const StageInstance& stage, const Task& task) const;
  bool is_exhausted(const StageInstance& stage) const;
  void note_blocked(StageInstance& stage);
  // Has room come free for a stage that could not be placed whole.
  void make_room(StageInstance& stage);

  SchedulerState& state_;
  RunLedger& ledger_;
  Claims& claims_;
  Preemption preemption_;
  std::vector<Leaf*> candidates_;     // of the stage in hand
  std::vector<Exhausted> exhausted_;  // in this round
};

}  // namespace winchhall::cluster::scheduling
