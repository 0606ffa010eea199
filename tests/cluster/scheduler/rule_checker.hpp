// Checks the rules for jobs against what leaves executed and what clients saw, without access to the
// scheduler's state.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cluster/common/settings.hpp"
#include "tests/cluster/scheduler/simulated_leaf.hpp"

namespace winchhall::cluster::test {

// Violations are logged with the name of the rule:
// - UNASKED: only submitted jobs run, with their own spec and checkpoints, and not after a confirmed cancel
// - LIMIT: the runs on a leaf never exceed its capacity
// - TWICE: a task has one run at a time, and none after an acknowledged end as done
// - ORDER: stages start after those that they depend on, and repeats when they are due
// - ROUTE: labels and anti-affinity are respected
// - DRAIN: no run starts on a leaf that has been draining for longer than the bound
// - GANG: without faults, no member of a gang ends because others have not started
// - BUDGET: no run of a task starts after max_retries acknowledged failures
// - LOST: no job is lost, changes its final state, or ends without a cause
// - MIXED: all tasks of a completed job are done
// Logged by ServiceSimulation:
// - RUN: the run numbers of a task on one leaf increase
// - SUBMIT: valid jobs are accepted
class RuleChecker {
 public:
  using Leaves = std::vector<std::unique_ptr<SimulatedLeaf>>;

  Bounds bounds;
  EventLog log;
  std::map<std::string, SimulatedJob> jobs;
  bool fault_free = false;  // no faults are injected

  // Checks a run that starts. Must be called before the run is added to the leaf.
  void on_start(const SimulatedLeaf& leaf, const SimulatedRun& run, const Leaves& leaves,
                const std::string& spec, const std::string& checkpoint, Ms now) {
    const wire::Stage& stage = leaf.stage_of(run);
    if (spec != run.job->spec.spec()) log.add_violation("UNASKED", "spec of " + run.task, now);
    check_capacity(leaf, run, stage, now);
    check_single_run(run, stage, leaves, now);
    check_order(run, stage, now);
    check_checkpoint(run, stage, checkpoint, now);
    check_anti_affinity(leaf, run, stage, now);
    check_label(leaf, run, stage, now);
    if (leaf.draining && leaf.drain_acknowledged >= 0 &&
        now > leaf.drain_acknowledged + bounds.drain_timeout.count())
      log.add_violation("DRAIN", run.task + " on " + leaf.id, now);
    if (run.job->cancelled_at >= 0 && now > run.job->cancelled_at + bounds.cancel.count())
      log.add_violation("UNASKED", "cancelled " + run.task, now);
    if (run.job->answered_unknown_at >= 0)
      log.add_violation("UNASKED", run.task + ", whose job was answered as unknown", now);
    log.starts.push_back({run.task, run.run, now, leaf.id});
  }

  // Checks a member of a gang that ended because not all members had started, which is a violation unless
  // faults are injected or the job was cancelled.
  void on_incomplete_gang(const SimulatedRun& run, Ms now) {
    if (fault_free && !run.job->cancel_sent) log.add_violation("GANG", run.task, now);
  }

  // Checks a state of a job that its client sees.
  void on_visible_state(SimulatedJob& job, wire::JobState state, Ms now) {
    if (state == wire::JOB_UNKNOWN && job.accepted_at >= 0 &&
        (job.final_at < 0 || now < job.final_at + bounds.status.count()))
      log.add_violation("LOST", job.id, now);
    if (state == wire::JOB_COMPLETED && job.visible_state != state) check_completed(job, now);
    if (state == wire::JOB_FAILED && job.visible_state != state) check_failed(job, now);
    if (state == wire::JOB_CANCELED && !job.cancel_sent) log.add_violation("LOST", "canceled " + job.id, now);
    bool final = state >= wire::JOB_COMPLETED;
    if (job.final_at >= 0 && state != wire::JOB_UNKNOWN && state != job.visible_state)
      log.add_violation("LOST", "final state of " + job.id + " changed", now);
    if (final && job.final_at < 0) job.final_at = now;
    if (final) job.visible_state = state;
  }

  // Checks the rules for ends that were acknowledged. Must be called once, after the simulation, because an
  // end is acknowledged later than it happens.
  void check_after_run() {
    std::map<std::string, std::vector<const EndEvent*>> ends;
    for (const EndEvent& end : log.ends)
      if (end.acknowledged) ends[end.task].push_back(&end);
    for (const StartEvent& start : log.starts) {
      auto name = scheduling::parse_task_name(start.task);
      const SimulatedJob& job = jobs.at(name->job);
      const wire::Stage& stage = job.spec.stages(static_cast<int>(name->stage));
      if (stage.long_running()) continue;
      std::uint32_t failures = 0;
      for (const EndEvent* end : ends[start.task]) {
        if (end->at >= start.at) continue;
        if (end->how == wire::END_DONE && !stage.speculative())
          log.add_violation("TWICE", "start after done of " + start.task, start.at);
        if (end->how == wire::END_FAILED) ++failures;
      }
      if (!stage.speculative() && failures >= std::max(1u, job.terms.max_retries()))
        log.add_violation("BUDGET", start.task, start.at);
    }
  }

 private:
  void check_capacity(const SimulatedLeaf& leaf, const SimulatedRun& run, const wire::Stage& stage, Ms now) {
    Resources sum = leaf.used();
    sum += {stage.cpu(), stage.mem_mb(), stage.gpu()};
    if (!sum.fits_in(leaf.capacity)) log.add_violation("LIMIT", run.task + " on " + leaf.id, now);
  }

  void check_single_run(const SimulatedRun& run, const wire::Stage& stage, const Leaves& leaves, Ms now) {
    for (const auto& other : leaves)
      if (other->running.contains(run.task) && !stage.speculative())
        log.add_violation("TWICE", run.task + " runs on " + other->id, now);
  }

  void check_order(const SimulatedRun& run, const wire::Stage& stage, Ms now) {
    const wire::JobSpec& spec = run.job->spec;
    if (spec.repeat_count() > 0 && now + bounds.early.count() < due(*run.job, run.name.repeat))
      log.add_violation("ORDER", "early " + run.task, now);
    for (std::uint32_t earlier : stage.depends_on())
      for (std::uint32_t i = 0; i < spec.stages(static_cast<int>(earlier)).count(); ++i)
        if (!has_ended_done(scheduling::format_task_name({run.job->id, run.name.repeat, earlier, i})))
          log.add_violation("ORDER", run.task, now);
  }

  void check_checkpoint(const SimulatedRun& run, const wire::Stage& stage, const std::string& checkpoint,
                        Ms now) {
    if (checkpoint.empty()) return;
    std::string task = checkpoint.substr(0, checkpoint.find('/'));
    std::string prefix = stage.gang() ? task.substr(0, task.rfind('.')) : task;
    std::string expected = stage.gang() ? run.task.substr(0, run.task.rfind('.')) : run.task;
    if (prefix != expected)
      log.add_violation("UNASKED", "checkpoint " + checkpoint + " for " + run.task, now);
  }

  void check_label(const SimulatedLeaf& leaf, const SimulatedRun& run, const wire::Stage& stage, Ms now) {
    const std::string& label = stage.requirements();
    if (!label.empty() && std::find(leaf.labels.begin(), leaf.labels.end(), label) == leaf.labels.end())
      log.add_violation("ROUTE", "label of " + run.task, now);
  }

  void check_anti_affinity(const SimulatedLeaf& leaf, const SimulatedRun& run, const wire::Stage& stage,
                           Ms now) {
    if (stage.anti_affinity() == 0) return;
    std::uint32_t there = 0;
    for (const auto& [name, other] : leaf.running)
      if (other.job == run.job && other.name.stage == run.name.stage && other.name.repeat == run.name.repeat)
        ++there;
    if (there >= stage.anti_affinity()) log.add_violation("ROUTE", "anti-affinity of " + run.task, now);
  }

  void check_completed(const SimulatedJob& job, Ms now) {
    for (std::uint32_t repeat = 0; repeat < std::max(1u, job.spec.repeat_count()); ++repeat)
      for (int stage = 0; stage < job.spec.stages_size(); ++stage)
        for (std::uint32_t i = 0; i < job.spec.stages(stage).count(); ++i)
          if (!has_ended_done(
                  scheduling::format_task_name({job.id, repeat, static_cast<std::uint32_t>(stage), i})))
            return log.add_violation("MIXED", job.id, now);
  }

  void check_failed(const SimulatedJob& job, Ms now) {
    std::map<std::string, std::set<std::uint64_t>> failed;  // by task, or by gang
    for (const EndEvent& end : log.ends) {
      auto name = scheduling::parse_task_name(end.task);
      if (end.how != wire::END_FAILED || name->job != job.id) continue;
      bool gang = job.spec.stages(static_cast<int>(name->stage)).gang();
      failed[gang ? end.task.substr(0, end.task.rfind('.')) : end.task].insert(end.run);
    }
    for (const auto& [task, runs] : failed)
      if (runs.size() >= std::max(1u, job.terms.max_retries())) return;
    log.add_violation("LOST", "failed without cause: " + job.id, now);
  }

  // True if the task has a run that ended END_DONE; for a gang, one done member suffices.
  bool has_ended_done(const std::string& task) const {
    if (log.done.contains(task)) return true;
    auto name = scheduling::parse_task_name(task);
    if (!jobs.at(name->job).spec.stages(static_cast<int>(name->stage)).gang()) return false;
    auto next = log.done.lower_bound(EventLog::stage_part(task));
    return next != log.done.end() && next->starts_with(EventLog::stage_part(task));
  }

  static Ms due(const SimulatedJob& job, std::uint32_t repeat) {
    return static_cast<Ms>(job.spec.start_at_ms() + repeat * job.spec.interval_ms());
  }
};

}  // namespace winchhall::cluster::test
