// Reserves leaves for stages that need much capacity at once.
#pragma once

#include <cstdint>
#include <vector>

#include "cluster/scheduler/run_table.hpp"
#include "cluster/scheduler/task_preemptor.hpp"

namespace winchhall::cluster::scheduling {

// EASY backfilling (Lifka, "The ANL/IBM SP Scheduling System", 1995): the first stages in queue order that
// can't be placed reserve the leaves that are expected to become available first; until then a smaller task
// may run there only if it is expected to end before the reservation starts (`respects_reservation`). Without
// this, small tasks would take all capacity that comes free, and gangs and large tasks would starve.
//
// Reservations hold for one planning round; they stand in `Leaf::reserved_for` and `reserved_until`.
class BackfillReservations {
 public:
  BackfillReservations(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // Begins a planning round: drops all reservations, which are made anew in queue order.
  void begin_round();
  // True for gangs, and for tasks that are large for some leaf that they might run on.
  bool needs_reservation(const StageInstance& stage) const;
  // Reserves leaves for a stage that could not be placed, if reservations are left in this round and enough
  // feasible leaves aren't reserved. Preempts runs of lower priority there if the stage has waited for some
  // time and would wait for much longer.
  void reserve_for(StageInstance& stage);

 private:
  // A leaf that could run some of the stage's tasks.
  struct Candidate {
    Leaf* leaf = nullptr;
    std::uint64_t slots = 0;  // required there: for a gang all that fit in the whole leaf, else one
    TimePoint available_at;   // when these are expected to be free
  };
  // Earliest available first.
  std::vector<Candidate> find_candidates(const StageInstance& stage) const;
  // The leaves that together have room for the stage first; empty: not even all of them have.
  std::vector<Candidate> choose_leaves(const StageInstance& stage) const;
  TimePoint estimate_available_at(const Leaf& leaf, const StageInstance& stage, std::uint64_t slots) const;
  void preempt_for(StageInstance& stage, const std::vector<Candidate>& chosen);
  // Stops runs until `slots` tasks of the stage fit on the leaf. Returns false, and stops none, if they would
  // not fit even then.
  bool stop_for_slots(StageInstance& stage, Leaf& leaf, std::uint64_t slots, LostWork lost_work);

  SchedulerState& state_;
  RunTable& runs_;
  int reservations_left_ = 0;  // in this round
};

}  // namespace winchhall::cluster::scheduling
