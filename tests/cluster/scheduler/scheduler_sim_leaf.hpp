// A simulated leaf: executes start and stop orders, and logs events for the rule checker.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/scheduler/resources.hpp"
#include "cluster/scheduler/task_name.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster::test {

using scheduling::Resources;
using Ms = std::int64_t;

// A submitted job, the true behaviour of its tasks, and what its client has seen.
struct SimulatedJob {
  std::string id;
  wire::JobSpec spec;
  wire::QueueTerms terms;
  double fail_rate = 0;
  Ms submitted_at = -1;
  Ms accepted_at = -1;   // when the client was answered; -1: not yet
  Ms cancelled_at = -1;  // when the cancellation was answered; -1: not yet
  bool cancel_sent = false;
  wire::JobState visible_state = wire::JOB_UNKNOWN;
  Ms final_at = -1;
};

// A run began on a leaf.
struct StartEvent {
  std::string task;
  std::uint64_t run = 0;
  Ms at = 0;
  std::string leaf;
};
// A run ended on a leaf.
struct EndEvent {
  std::string task;
  std::uint64_t run = 0;
  Ms at = 0;
  wire::EndKind how = wire::END_UNKNOWN;
  std::string leaf;
  std::uint64_t lease_expiries = 0;  // of its leaf until then
  bool acknowledged = false;         // by a leader, and no lease of the leaf expired in between
};

// All events of a simulation, and the violations of rules among them.
struct EventLog {
  std::deque<StartEvent> starts;
  std::deque<EndEvent> ends;
  std::vector<std::string> violations;
  std::set<std::string> done;  // tasks with a run that ended END_DONE
  std::map<std::pair<std::string, std::uint64_t>, std::set<wire::EndKind>> gang_ends;  // by stage and run

  void add_end(EndEvent end) {
    if (end.how == wire::END_DONE) done.insert(end.task);
    gang_ends[{stage_part(end.task), end.run}].insert(end.how);
    ends.push_back(std::move(end));
  }
  // The part of a task name that identifies its stage: "ID.K.STEP.".
  static std::string stage_part(const std::string& task) { return task.substr(0, task.rfind('.') + 1); }
  void add_violation(const std::string& rule, const std::string& what, Ms now) {
    violations.push_back(rule + " at " + std::to_string(now) + ": " + what);
  }
};

// A run that is executed on a leaf.
struct SimulatedRun {
  std::string task;
  std::uint64_t run = 0;
  scheduling::TaskName name;
  const SimulatedJob* job = nullptr;
  Ms started_at = 0;
  Ms work_ms = 0;
  Ms worked_ms = 0;
  Ms stop_at = -1;
  bool fails = false;
  std::string checkpoint;  // newest, empty: none
};

struct SimulatedLeaf {
  std::string id;
  Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  Ms drain_acknowledged = -1;
  Ms ends_at = -1;
  double clock_slowdown = 1;
  bool fails_everything = false;
  bool stalls = false;  // its tasks make no progress
  std::map<std::string, SimulatedRun> running;
  std::vector<wire::FinishedTask> finished;
  std::deque<EndEvent*> unacknowledged;  // the events of `finished`, in the same order
  std::map<std::string, std::uint64_t> highest_ended;
  std::uint64_t next_end_number = 1;
  std::uint64_t fencing_epoch = 0;
  Ms lease_expires_at = -1;
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

  void acknowledge_ends(std::uint64_t last_seen) {
    while (!finished.empty() && finished.front().number() <= last_seen) {
      unacknowledged.front()->acknowledged = unacknowledged.front()->lease_expiries == lease_expiries;
      finished.erase(finished.begin());
      unacknowledged.pop_front();
    }
  }

  void expire_lease(EventLog& log, Ms now) {
    ++lease_expiries;
    lease_expires_at = -1;
    std::vector<std::string> names;
    for (const auto& [name, run] : running) names.push_back(name);
    for (const std::string& name : names) end(name, wire::END_LAPSED, log, now);
  }
};

}  // namespace winchhall::cluster::test
