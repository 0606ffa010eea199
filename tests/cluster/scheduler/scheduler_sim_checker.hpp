// Judges by what leaves did and clients were shown alone whether the rules for jobs held.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "cluster/common/settings.hpp"
#include "tests/cluster/scheduler/scheduler_sim_leaf.hpp"

namespace winchhall::cluster::test {

struct SimChecker {
  using Leaves = std::vector<std::unique_ptr<SimLeaf>>;

  Bounds bounds;
  SimLog log;
  std::map<std::string, SimJob> jobs;
  bool calm = false;  // nothing has gone wrong on any machine so far

  // Before the run is entered on the leaf.
  void on_start(const SimLeaf& leaf, const SimRun& run, const Leaves& leaves, const std::string& spec,
                const std::string& saved, Ms now) {
    const wire::Stage& stage = leaf.stage_of(run);
    if (spec != run.job->spec.spec()) log.fail("UNASKED", "spec of " + run.task, now);
    check_room(leaf, run, stage, now);
    check_copies(run, stage, leaves, now);
    check_order(run, stage, now);
    check_saved(run, stage, saved, now);
    check_affinity(leaf, run, stage, now);
    const std::string& label = stage.requirements();
    if (!label.empty() && std::find(leaf.labels.begin(), leaf.labels.end(), label) == leaf.labels.end())
      log.fail("ROUTE", "label of " + run.task, now);
    if (leaf.draining && leaf.drain_acknowledged >= 0 &&
        now > leaf.drain_acknowledged + bounds.drain_timeout.count())
      log.fail("DRAIN", run.task + " on " + leaf.id, now);
    if (run.job->cancelled_at >= 0 && now > run.job->cancelled_at + bounds.cancel.count())
      log.fail("UNASKED", "cancelled " + run.task, now);
    log.starts.push_back({run.task, run.run, now, leaf.id});
  }

  void on_alone(const SimRun& run, Ms now) {
    if (calm && !run.job->cancel_sent) log.fail("GANG", run.task, now);
  }

  void on_shown(SimJob& job, wire::JobState state, Ms now) {
    if (state == wire::JOB_UNKNOWN && job.accepted_at >= 0 &&
        (job.shown_at < 0 || now < job.shown_at + bounds.status.count()))
      log.fail("LOST", job.id, now);
    if (state == wire::JOB_COMPLETED && job.shown != state) check_completed(job, now);
    if (state == wire::JOB_FAILED && job.shown != state) check_failed(job, now);
    if (state == wire::JOB_CANCELED && !job.cancel_sent) log.fail("LOST", "canceled " + job.id, now);
    bool final = state >= wire::JOB_COMPLETED;
    if (job.shown_at >= 0 && state != wire::JOB_UNKNOWN && state != job.shown)
      log.fail("LOST", "final state of " + job.id + " changed", now);
    if (final && job.shown_at < 0) job.shown_at = now;
    if (final) job.shown = state;
  }

  // Rules that need to know which ends were noted later.
  void check_at_the_end() {
    std::map<std::string, std::vector<const SimEnd*>> ends;
    for (const SimEnd& end : log.ends)
      if (end.noted) ends[end.task].push_back(&end);
    for (const SimStart& start : log.starts) {
      auto name = scheduling::parse_task_name(start.task);
      const SimJob& job = jobs.at(name->job);
      const wire::Stage& stage = job.spec.stages(static_cast<int>(name->stage));
      if (stage.long_running()) continue;
      std::uint32_t failures = 0;
      for (const SimEnd* end : ends[start.task]) {
        if (end->at >= start.at) continue;
        if (end->how == wire::END_DONE && !stage.speculative())
          log.fail("TWICE", "start after done of " + start.task, start.at);
        if (end->how == wire::END_FAILED) ++failures;
      }
      if (!stage.speculative() && failures >= std::max(1u, job.terms.max_retries()))
        log.fail("BUDGET", start.task, start.at);
    }
  }

 private:
  void check_room(const SimLeaf& leaf, const SimRun& run, const wire::Stage& stage, Ms now) {
    Resources sum = leaf.used();
    sum += {stage.cpu(), stage.mem_mb(), stage.gpu()};
    if (!sum.fits_in(leaf.capacity)) log.fail("LIMIT", run.task + " on " + leaf.id, now);
  }

  void check_copies(const SimRun& run, const wire::Stage& stage, const Leaves& leaves, Ms now) {
    for (const auto& other : leaves)
      if (other->running.contains(run.task) && !stage.speculative())
        log.fail("TWICE", run.task + " runs on " + other->id, now);
  }

  void check_order(const SimRun& run, const wire::Stage& stage, Ms now) {
    const wire::JobSpec& spec = run.job->spec;
    if (spec.repeat_count() > 0 && now + bounds.early.count() < due(*run.job, run.name.repeat))
      log.fail("ORDER", "early " + run.task, now);
    for (std::uint32_t earlier : stage.depends_on())
      for (std::uint32_t i = 0; i < spec.stages(static_cast<int>(earlier)).count(); ++i)
        if (!has_ended_done(scheduling::format_task_name({run.job->id, run.name.repeat, earlier, i})))
          log.fail("ORDER", run.task, now);
  }

  void check_saved(const SimRun& run, const wire::Stage& stage, const std::string& saved, Ms now) {
    if (saved.empty()) return;
    std::string task = saved.substr(0, saved.find('/'));
    std::string prefix = stage.gang() ? task.substr(0, task.rfind('.')) : task;
    std::string wanted = stage.gang() ? run.task.substr(0, run.task.rfind('.')) : run.task;
    if (prefix != wanted) log.fail("UNASKED", "checkpoint " + saved + " for " + run.task, now);
  }

  void check_affinity(const SimLeaf& leaf, const SimRun& run, const wire::Stage& stage, Ms now) {
    if (stage.anti_affinity() == 0) return;
    std::uint32_t there = 0;
    for (const auto& [name, other] : leaf.running)
      if (other.job == run.job && other.name.stage == run.name.stage && other.name.repeat == run.name.repeat)
        ++there;
    if (there >= stage.anti_affinity()) log.fail("ROUTE", "anti-affinity of " + run.task, now);
  }

  void check_completed(const SimJob& job, Ms now) {
    for (std::uint32_t repeat = 0; repeat < std::max(1u, job.spec.repeat_count()); ++repeat)
      for (int stage = 0; stage < job.spec.stages_size(); ++stage)
        for (std::uint32_t i = 0; i < job.spec.stages(stage).count(); ++i)
          if (!has_ended_done(
                  scheduling::format_task_name({job.id, repeat, static_cast<std::uint32_t>(stage), i})))
            return log.fail("MIXED", job.id, now);
  }

  void check_failed(const SimJob& job, Ms now) {
    std::map<std::string, std::set<std::uint64_t>> failed;  // by task, or by gang
    for (const SimEnd& end : log.ends) {
      auto name = scheduling::parse_task_name(end.task);
      if (end.how != wire::END_FAILED || name->job != job.id) continue;
      bool gang = job.spec.stages(static_cast<int>(name->stage)).gang();
      failed[gang ? end.task.substr(0, end.task.rfind('.')) : end.task].insert(end.run);
    }
    for (const auto& [task, runs] : failed)
      if (runs.size() >= std::max(1u, job.terms.max_retries())) return;
    log.fail("LOST", "failed without cause: " + job.id, now);
  }

  // A gang's end stands for all its members.
  bool has_ended_done(const std::string& task) const {
    if (log.done.contains(task)) return true;
    auto name = scheduling::parse_task_name(task);
    if (!jobs.at(name->job).spec.stages(static_cast<int>(name->stage)).gang()) return false;
    auto next = log.done.lower_bound(SimLog::stage_part(task));
    return next != log.done.end() && next->starts_with(SimLog::stage_part(task));
  }

 public:
  static Ms due(const SimJob& job, std::uint32_t repeat) {
    return static_cast<Ms>(job.spec.start_at_ms() + repeat * job.spec.interval_ms());
  }
};

}  // namespace winchhall::cluster::test
