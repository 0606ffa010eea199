// A simulated leaf: starts, runs and ends tasks as it is told, and remembers what it did for the checker.
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

// What the tasks of a job are truly like.
struct SimJob {
  std::string id;
  wire::JobSpec spec;
  wire::QueueTerms terms;
  double fail_rate = 0;
  Ms submitted_at = -1;
  Ms accepted_at = -1;   // the client has its answer
  Ms cancelled_at = -1;  // the same of a cancel
  bool cancel_sent = false;
  wire::JobState shown = wire::JOB_UNKNOWN;
  Ms shown_at = -1;
};

// Something that happened on a leaf.
struct SimStart {
  std::string task;
  std::uint64_t run = 0;
  Ms at = 0;
  std::string leaf;
};
struct SimEnd {
  std::string task;
  std::uint64_t run = 0;
  Ms at = 0;
  wire::EndKind how = wire::END_UNKNOWN;
  std::string leaf;
  std::uint64_t lapses = 0;  // of the leaf's hold, at that time
  bool noted = false;        // and the hold did not lapse in between
};

// All that happened, and what was found wrong with it.
struct SimLog {
  std::deque<SimStart> starts;
  std::deque<SimEnd> ends;
  std::vector<std::string> broken;
  std::set<std::string> done;  // tasks that have ended so
  std::map<std::pair<std::string, std::uint64_t>, std::set<wire::EndKind>> group_ends;  // by stage and run

  void add_end(SimEnd end) {
    if (end.how == wire::END_DONE) done.insert(end.task);
    group_ends[{stage_part(end.task), end.run}].insert(end.how);
    ends.push_back(std::move(end));
  }
  // ID.K.STEP.
  static std::string stage_part(const std::string& task) { return task.substr(0, task.rfind('.') + 1); }
  void fail(const std::string& rule, const std::string& what, Ms now) {
    broken.push_back(rule + " at " + std::to_string(now) + ": " + what);
  }
};

struct SimRun {
  std::string task;
  std::uint64_t run = 0;
  scheduling::TaskName name;
  const SimJob* job = nullptr;
  Ms started_at = 0;
  Ms work_ms = 0;
  Ms worked = 0;
  Ms stop_at = -1;
  bool fails = false;
  std::string saved;
};

struct SimLeaf {
  std::string id;
  Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  Ms drain_acknowledged = -1;
  Ms ends_at = -1;
  double slow_clock = 1;
  bool fails_all = false;
  bool still = false;  // tasks stand still
  std::map<std::string, SimRun> running;
  std::vector<wire::FinishedTask> finished;
  std::deque<SimEnd*> unnoted;  // beside `finished`
  std::map<std::string, std::uint64_t> highest_ended;
  std::uint64_t next_number = 1;
  std::uint64_t fence = 0;
  Ms held_until = -1;
  std::uint64_t lapses = 0;

  const wire::Stage& stage_of(const SimRun& run) const {
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

  void end(const std::string& task, wire::EndKind how, SimLog& log, Ms now) {
    auto found = running.find(task);
    SimRun run = found->second;
    running.erase(found);
    highest_ended[task] = std::max(highest_ended[task], run.run);
    wire::FinishedTask& entry = finished.emplace_back();
    entry.set_number(next_number++);
    entry.set_task(task);
    entry.set_run(run.run);
    entry.set_how(how);
    entry.set_saved(run.saved);
    log.add_end({task, run.run, now, how, id, lapses, false});
    unnoted.push_back(&log.ends.back());
  }

  void note_ends(std::uint64_t last_seen) {
    while (!finished.empty() && finished.front().number() <= last_seen) {
      unnoted.front()->noted = unnoted.front()->lapses == lapses;
      finished.erase(finished.begin());
      unnoted.pop_front();
    }
  }

  void lapse(SimLog& log, Ms now) {
    ++lapses;
    held_until = -1;
    std::vector<std::string> names;
    for (const auto& [name, run] : running) names.push_back(name);
    for (const std::string& name : names) end(name, wire::END_LAPSED, log, now);
  }
};

}  // namespace winchhall::cluster::test
