// Keeps leaves free for stages that need much room at once, and makes room for them where priority allows it.
#pragma once

#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

class BackfillReservations {
 public:
  BackfillReservations(SchedulerState& state, RunTable& ledger) : state_(state), ledger_(ledger) {}

  // Drops all claims: they are made anew in each round, in queue order.
  void begin_round();
  // True if the stage finds room only where it is kept free for it: a gang, or tasks that are large for their
  // leaves.
  bool needs_reservation(const StageInstance& stage) const;
  // Claims leaves for a stage that could not be placed and needs much; may stop work of less priority.
  void claim(StageInstance& stage);

 private:
  // A leaf that could take some of the stage's tasks once it is free enough.
  struct Prospect {
    Leaf* leaf = nullptr;
    std::uint64_t places = 0;  // when empty
    TimePoint free_at;         // when it is expected to have room for one task, or for all it takes of a gang
  };
  std::vector<Prospect> prospects(const StageInstance& stage) const;
  TimePoint free_at(const Leaf& leaf, const StageInstance& stage, std::uint64_t places) const;
  void preempt_for(StageInstance& stage, const std::vector<Prospect>& chosen);
  bool stop_for_slots(StageInstance& stage, Leaf& leaf, std::uint64_t places, bool unsaved_too);

  SchedulerState& state_;
  RunTable& ledger_;
  int claims_left_ = 0;
};

}  // namespace winchhall::cluster::scheduling
