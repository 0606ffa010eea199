// Executes runs on simulated leaves: starts, stops and ends them, alone or as members of a gang.
#pragma once

#include <algorithm>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/cluster/scheduler/rule_checker.hpp"

namespace winchhall::cluster::test {

inline constexpr Ms kStep = 5;                                         // by which the virtual clock advances
inline constexpr Ms kForever = std::numeric_limits<Ms>::max() / 1000;  // a percentage of it doesn't overflow

// The tasks' side of a simulation. All references must outlive the executor.
class LeafExecutor {
 public:
  LeafExecutor(RuleChecker& checker, RuleChecker::Leaves& leaves, std::mt19937_64& random)
      : checker_(checker), leaves_(leaves), random_(random) {}

  // Advances all runs of a leaf by one step of the clock.
  void step(SimulatedLeaf& leaf, Ms now) {
    now_ = now;
    if (leaf.lease_expires_at >= 0 && now_ > leaf.lease_expires_at) leaf.expire_lease(checker_.log, now_);
    std::vector<std::string> names;
    for (const auto& [name, run] : leaf.running) names.push_back(name);
    for (const std::string& name : names) {
      auto found = leaf.running.find(name);
      if (found == leaf.running.end()) continue;
      SimulatedRun& run = found->second;
      const wire::Stage& stage = leaf.stage_of(run);
      if (run.stop_at >= 0 && now_ >= run.stop_at) {
        leaf.end(name, wire::END_STOPPED, checker_.log, now_);
      } else if (stage.gang()) {
        step_gang(leaf, name);
      } else if (!leaf.stalls) {
        run.worked_ms += kStep;
        if (stage.checkpoints() && run.worked_ms % 1000 < kStep)
          run.checkpoint = name + "/" + std::to_string(run.worked_ms);
        if (run.worked_ms < run.work_ms) continue;
        leaf.end(name, run.fails || leaf.fails_everything ? wire::END_FAILED : wire::END_DONE, checker_.log,
                 now_);
      }
    }
  }

  // Applies the orders in the answer to a heartbeat. `lease_until` is -1 if no lease is granted; then no run
  // starts.
  void apply_orders(SimulatedLeaf& leaf, const wire::WorkerOrders& orders, Ms lease_until, Ms now) {
    now_ = now;
    if (orders.epoch() < leaf.fencing_epoch) return;
    leaf.fencing_epoch = orders.epoch();
    leaf.acknowledge_ends(orders.last_seen());
    if (lease_until >= 0) {
      const double lease_ms = static_cast<double>(lease_until - now_) * leaf.clock_slowdown;
      leaf.lease_expires_at = std::max(leaf.lease_expires_at, now_ + static_cast<Ms>(lease_ms));
    }
    for (const wire::StopOrder& stop : orders.stops()) {
      auto run = leaf.running.find(stop.task());
      if (run != leaf.running.end() && run->second.run == stop.run() && run->second.stop_at < 0)
        run->second.stop_at = now_ + between(0, checker_.bounds.stop.count());
    }
    if (lease_until < 0) return;
    for (const wire::StartOrder& start : orders.starts()) start_run(leaf, start);
  }

 private:
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Ms between(Ms least, Ms most) { return std::uniform_int_distribution<Ms>(least, most)(random_); }

  void step_gang(SimulatedLeaf& leaf, const std::string& task) {
    SimulatedRun& run = leaf.running.at(task);
    std::string prefix = EventLog::stage_part(task);
    std::uint32_t present = 0;
    for (const auto& other : leaves_)
      for (auto name = other->running.lower_bound(prefix);
           name != other->running.end() && name->first.starts_with(prefix); ++name)
        if (name->second.run == run.run) ++present;
    const std::set<wire::EndKind>& ends = checker_.log.gang_ends[{prefix, run.run}];
    bool done = ends.contains(wire::END_DONE);
    bool broken = !done && !ends.empty();
    if (done) return leaf.end(task, wire::END_DONE, checker_.log, now_);
    bool began = run.worked_ms > 0;
    if (broken && began) return leaf.end(task, wire::END_BROKEN, checker_.log, now_);
    if (present < leaf.stage_of(run).count()) {
      if (began) return leaf.end(task, wire::END_BROKEN, checker_.log, now_);
      if (now_ - run.started_at < checker_.bounds.gang.count()) return;
      checker_.on_incomplete_gang(run, now_);
      return leaf.end(task, wire::END_ALONE, checker_.log, now_);
    }
    run.worked_ms += kStep;
    if (leaf.stage_of(run).checkpoints() && run.worked_ms % 1000 < kStep)
      run.checkpoint = task + "/" + std::to_string(run.worked_ms);
    if (run.worked_ms >= run.work_ms)
      leaf.end(task, run.fails || leaf.fails_everything ? wire::END_FAILED : wire::END_DONE, checker_.log,
               now_);
  }

  void start_run(SimulatedLeaf& leaf, const wire::StartOrder& order) {
    auto known = leaf.running.find(order.task());
    if (known != leaf.running.end() && known->second.run == order.run()) return;
    if (order.run() <= leaf.highest_ended[order.task()])
      return checker_.log.add_violation("RUN", "not above an ended one: " + order.task(), now_);
    SimulatedRun run;
    run.task = order.task();
    run.run = order.run();
    run.name = *scheduling::parse_task_name(order.task());
    auto job = checker_.jobs.find(run.name.job);
    if (job == checker_.jobs.end()) return checker_.log.add_violation("UNASKED", order.task(), now_);
    run.job = &job->second;
    run.started_at = now_;
    const wire::Stage& stage = leaf.stage_of(run);
    run.work_ms = std::max<Ms>(10, static_cast<Ms>(stage.estimated_ms() * (0.5 + chance())));
    if (stage.long_running()) run.work_ms = run.job->lasts ? kForever : between(500, 20000);
    run.fails = chance() < job->second.fail_rate;
    run.checkpoint = order.saved();
    checker_.on_start(leaf, run, leaves_, order.spec(), order.saved(), now_);
    leaf.running[run.task] = run;
  }

  RuleChecker& checker_;
  RuleChecker::Leaves& leaves_;
  std::mt19937_64& random_;
  Ms now_ = 0;  // of the current call
};

}  // namespace winchhall::cluster::test
