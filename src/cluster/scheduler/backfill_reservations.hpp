// Reserves leaves for stages that need a large amount of capacity at once.
#pragma once

#include <cstdint>
#include <vector>

#include "cluster/scheduler/run_table.hpp"
#include "cluster/scheduler/task_preemptor.hpp"

namespace winchhall::cluster::scheduling {

// EASY backfilling (Lifka, "The ANL/IBM SP Scheduling System", 1995): the first stages in queue order that
// can't be placed reserve the leaves that are expected to become available first. A smaller task may run
// there only if it is expected to end before the reservation starts (`respects_reservation`). Without
// reservations, small tasks would take all capacity that becomes free, and gangs and large tasks would
// starve.
//
// Reservations are valid for one planning round. They are stored in `Leaf::reserved_for` and
// `reserved_until`.
class BackfillReservations {
 public:
  BackfillReservations(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // Begins a planning round: drops all reservations, which are made anew in queue order.
  void begin_round();
  // True for gangs, and for stages whose tasks are large for some leaf that they could run on.
  bool needs_reservation(const StageInstance& stage) const;
  // Reserves leaves for a stage that could not be placed. No effect if the reservations of this round are
  // used up or too few feasible leaves are unreserved. Preempts runs of lower priority on the reserved leaves
  // if the stage has waited for some time and would wait for much longer.
  void reserve_for(StageInstance& stage);

 private:
  // A leaf that could run some of the stage's tasks.
  struct Candidate {
    Leaf* leaf = nullptr;
    std::uint64_t slots = 0;  // slots to reserve: for a gang all that the idle leaf has, else one
    TimePoint available_at;   // when these are expected to be free
  };
  // Sorted by `available_at`.
  std::vector<Candidate> find_candidates(const StageInstance& stage) const;
  // The leaves that are the first to have enough slots together; empty if all leaves don't have enough.
  std::vector<Candidate> choose_leaves(const StageInstance& stage) const;
  TimePoint estimate_available_at(const Leaf& leaf, const StageInstance& stage, std::uint64_t slots) const;
  void preempt_for(StageInstance& stage, const std::vector<Candidate>& chosen);
  // Stops runs until `slots` tasks of the stage fit on the leaf. Returns false, and stops none, if they would
  // not fit even then.
  bool stop_for_slots(StageInstance& stage, Leaf& leaf, std::uint64_t slots, LostWork lost_work);

  SchedulerState& state_;
  RunTable& runs_;
  int reservations_left_ = 0;  // number of stages that may still reserve leaves in this round
};

}  // namespace winchhall::cluster::scheduling
