// The jobs of a simulated service, and the events that RuleChecker checks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster::test {

using Ms = std::int64_t;  // simulated time in milliseconds

// A submitted job, how its tasks behave, and the states that its client has seen.
struct SimulatedJob {
  std::string id;
  wire::JobSpec spec;
  wire::QueueTerms terms;
  double fail_rate = 0;  // probability that a run fails
  Ms submitted_at = -1;
  Ms accepted_at = -1;   // when the client was answered; -1: not yet
  Ms cancelled_at = -1;  // when the cancellation was answered; -1: not yet
  bool cancel_sent = false;
  bool lasts = false;  // its long-running tasks don't end by themselves
  Ms answered_unknown_at =
      -1;  // when it was answered that the job isn't known, on which its client acts; -1: not yet
  bool abandoned = false;  // its client has given up on it, and it may never be accepted
  wire::JobState visible_state = wire::JOB_UNKNOWN;
  Ms final_at = -1;  // when its client first saw a final state; -1: not yet
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
  std::uint64_t lease_expiries = 0;  // how often the leaf's lease had expired by then
  bool acknowledged = false;         // a leader acknowledged it before the leaf's lease expired again
};

// All events of a simulation, and the violations of rules that were found.
struct EventLog {
  std::deque<StartEvent> starts;
  std::deque<EndEvent> ends;
  std::vector<std::string> violations;
  std::set<std::string> done;  // tasks with a run that ended END_DONE
  std::map<std::pair<std::string, std::uint64_t>, std::set<wire::EndKind>> gang_ends;  // by stage, run number

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

}  // namespace winchhall::cluster::test
