// A simulated leaf: executes start and stop orders, and logs events for RuleChecker.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cluster/scheduler/resources.hpp"
#include "cluster/scheduler/task_name.hpp"
#include "cluster/wire/cluster.pb.h"
#include "tests/cluster/scheduler/event_log.hpp"

namespace winchhall::cluster::test {

using scheduling::Resources;

// A run that is executed on a leaf.
struct SimulatedRun {
  std::string task;  // name
  std::uint64_t run = 0;
  scheduling::TaskName name;
  const SimulatedJob* job = nullptr;
  Ms started_at = 0;
  Ms work_ms = 0;          // duration of the run unless it ends early
  Ms worked_ms = 0;        // how much of it has passed
  Ms stop_at = -1;         // when its stop takes effect; -1: not ordered to stop
  bool fails = false;      // it ends END_FAILED instead of END_DONE
  std::string checkpoint;  // the newest; empty: none
};

// A leaf process. Its runs end after their duration, when they are stopped, or when the execution lease
// expires.
struct SimulatedLeaf {
  std::string id;
  Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  Ms drain_acknowledged = -1;     // when a heartbeat first said that it drains; -1: not yet
  Ms ends_at = -1;                // when a draining leaf deregisters
  double clock_slowdown = 1;      // factor by which its slow clock extends its lease
  bool fails_everything = false;  // all its runs end END_FAILED
  bool stalls = false;            // its tasks make no progress
  std::map<std::string, SimulatedRun> running;
  std::vector<wire::FinishedTask> finished;
  std::deque<EndEvent*> unacknowledged;                // the events of `finished`, in the same order
  std::map<std::string, std::uint64_t> highest_ended;  // highest number of an ended run, by task
  std::uint64_t next_end_number = 1;
  std::uint64_t fencing_epoch = 0;  // orders of lower epochs are ignored
  Ms lease_expires_at = -1;         // -1: it has no lease
  std::uint64_t lease_expiries = 0;

  const wire::Stage& stage_of(const SimulatedRun& run) const {
    return run.job->spec.stages(static_cast<int>(run.name.stage));
  }

  Resources used() const {
    Resources sum;
    for (const auto& [name, run] : running) {
      const wire::Stage& stage = stage_of(run);
      sum += {stage.cpu(), stage.mem_mb(), stage.gpu()};
    }
    return sum;
  }

  // Ends the run of a task; the task must be running.
  void end(const std::string& task, wire::EndKind how, EventLog& log, Ms now) {
    auto found = running.find(task);
    SimulatedRun run = found->second;
    running.erase(found);
    highest_ended[task] = std::max(highest_ended[task], run.run);
    wire::FinishedTask& entry = finished.emplace_back();
    entry.set_number(next_end_number++);
    entry.set_task(task);
    entry.set_run(run.run);
    entry.set_how(how);
    entry.set_saved(run.checkpoint);
    log.add_end({task, run.run, now, how, id, lease_expiries, false});
    unacknowledged.push_back(&log.ends.back());
  }

  // Removes the ends up to this number from `finished`.
  void acknowledge_ends(std::uint64_t last_seen) {
    while (!finished.empty() && finished.front().number() <= last_seen) {
      unacknowledged.front()->acknowledged = unacknowledged.front()->lease_expiries == lease_expiries;
      finished.erase(finished.begin());
      unacknowledged.pop_front();
    }
  }

  // Ends all runs, because the execution lease has expired.
  void expire_lease(EventLog& log, Ms now) {
    ++lease_expiries;
    lease_expires_at = -1;
    std::vector<std::string> names;
    for (const auto& [name, run] : running) names.push_back(name);
    for (const std::string& name : names) end(name, wire::END_LAPSED, log, now);
  }
};

}  // namespace winchhall::cluster::test
