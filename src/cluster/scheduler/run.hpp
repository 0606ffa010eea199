// Runs: single executions of tasks that may exist on a leaf.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Numbers the orders given to one leaf by one leader, from 1.
using Revision = std::uint64_t;

// A run that may exist on a leaf: from its start order, or its first appearance in the leaf's report, until
// its end is reported or it is certain that it isn't there. Owned by its leaf's RunMap; changed by RunTable,
// which keeps the accounting of leaf, stage, repeat and job in step with it.
struct Run {
  std::string name;  // of the task, as on the wire
  RunNumber number = 0;
  Leaf* leaf = nullptr;            // never null
  Job* job = nullptr;              // null: no longer kept, or never known
  StageInstance* stage = nullptr;  // null: no longer kept, or never known
  Task* task = nullptr;            // null: it is over, or the task is done or unknown
  Resources demand;                // zero while it is unknown
  bool demand_known = true;
  std::uint32_t priority = 0;   // of its job's queue; meaningless while the demand is unknown
  double cost_ms = 0;           // estimated duration on this leaf
  Revision start_revision = 0;  // of its start order; 0: found on the leaf
  Revision stop_revision = 0;   // of its stop order; 0: none
  bool start_delivered =
      false;              // the order may have reached the worker-agent, or the leaf has reported the run
  bool reported = false;  // the leaf has reported it as running
  std::uint64_t report_generation = 0;  // of the leaf's newest lists that contained it, or of its creation
  TimePoint ordered_at;                 // or found
  TimePoint first_reported_at;          // meaningless until it is reported
  TimePoint progressed_at;              // when `percent` last changed
  std::uint32_t percent = 0;            // reported progress; stays 0 for tasks that report none
};

// Non-owning form of RunKey, for look-ups.
struct RunKeyView {
  std::string_view task;
  RunNumber run = 0;
};
// Identifies a run on its leaf.
struct RunKey {
  std::string task;
  RunNumber run = 0;
  operator RunKeyView() const { return {task, run}; }
};
struct RunKeyHash {
  using is_transparent = void;
  std::size_t operator()(RunKeyView key) const {
    return std::hash<std::string_view>()(key.task) ^ (key.run * 0x9e3779b9u);
  }
};
struct RunKeyEqual {
  using is_transparent = void;
  bool operator()(RunKeyView a, RunKeyView b) const { return a.run == b.run && a.task == b.task; }
};
// References to runs stay valid until the run is erased.
using RunMap = std::unordered_map<RunKey, Run, RunKeyHash, RunKeyEqual>;

}  // namespace winchhall::cluster::scheduling
