// Runs: single executions of tasks that may exist on a leaf.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Number of an order from one leader to one leaf; increases from 1.
using Revision = std::uint64_t;

// A run that may exist on a leaf: from its start order, or from the first report that lists it, until its end
// is reported or it is certain that it doesn't exist. Owned by its leaf's RunMap. Only RunTable adds and
// removes runs; it updates the accounting of leaf, stage, repeat and job at the same time.
struct Run {
  std::string name;  // name of the task, see TaskName
  RunNumber number = 0;
  Leaf* leaf = nullptr;            // never null
  Job* job = nullptr;              // null: no longer kept, or never known
  StageInstance* stage = nullptr;  // null: no longer kept, or never known
  Task* task = nullptr;            // null: detached from its task, or the task was done or unknown
  Resources demand;                // zero while it is unknown
  bool demand_known = true;
  std::uint32_t priority = 0;   // priority of its job's queue; meaningless while the demand is unknown
  double cost_ms = 0;           // estimated duration on this leaf
  Revision start_revision = 0;  // revision of its start order; 0: it was found on the leaf
  Revision stop_revision = 0;   // revision of its stop order; 0: none
  // The order may have reached the worker-agent, or the leaf has reported the run.
  bool start_delivered = false;
  bool reported = false;  // the leaf has reported it as running
  // The leaf's `report_generation` when its lists last contained the run, or when the run was created.
  std::uint64_t report_generation = 0;
  TimePoint ordered_at;         // when it was ordered, or found on the leaf
  TimePoint first_reported_at;  // meaningless until it is reported
  TimePoint progressed_at;      // when `percent` last changed
  std::uint32_t percent = 0;    // reported progress; stays 0 for tasks that report none
};

// Non-owning form of RunKey, for lookups.
struct RunKeyView {
  std::string_view task;
  RunNumber run = 0;
};
// Identifies a run on its leaf, by task name and run number.
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
