// Stops work of less priority where small tasks wait and too little room will come free by itself.
#pragma once

#include <unordered_map>
#include <vector>

#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

// True if a stage may have this run stopped to take its room. `unsaved_too`: even where its work is lost.
bool may_preempt(const StageInstance& stage, const Run& run, bool unsaved_too);

class TaskPreemptor {
 public:
  TaskPreemptor(SchedulerState& state, RunTable& ledger) : state_(state), ledger_(ledger) {}

  // Forgets what earlier stages were promised: each planning round counts anew.
  void begin_round() { promised_.clear(); }
  // Makes room for the waiting tasks of a stage whose tasks are placed one by one. `candidates`: leaves that
  // may take them once they have room.
  void preempt_for(const StageInstance& stage, const std::vector<Leaf*>& candidates);

 private:
  // A leaf with the room it will have within the time that a stop takes.
  struct Prospect {
    Leaf* leaf = nullptr;
    Resources room;
    std::uint64_t places = 0;
  };
  Prospect prospect_of(const StageInstance& stage, Leaf& leaf) const;
  std::vector<Run*> victims_for(const StageInstance& stage, const std::vector<Prospect>& prospects) const;
  void stop_until_covered(const StageInstance& stage, std::vector<Prospect>& prospects, std::uint64_t wanted);

  SchedulerState& state_;
  RunTable& ledger_;
  std::unordered_map<const Leaf*, Resources> promised_;  // room to come that stages of this round count on
};

}  // namespace winchhall::cluster::scheduling
