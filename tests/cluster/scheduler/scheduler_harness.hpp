// Test harness that drives one scheduler step by step on a virtual clock.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/scheduler/scheduler.hpp"
#include "tests/cluster/scheduler/record_map.hpp"

namespace winchhall::cluster::test {

inline constexpr std::int64_t kWallClockStartMs = 1700000000000;

// One scheduler with its durable records. The test sends the reports that worker-agents would send.
struct SchedulerHarness {
  std::int64_t now_ms = 1000;
  std::unique_ptr<Scheduler> scheduler;
  std::uint64_t epoch = 1;
  RecordMap records;
  std::map<std::string, std::uint64_t> report_numbers;                 // of the newest report, by leaf ID
  std::set<std::pair<std::string, std::uint64_t>> confirmed_sessions;  // node names and sessions

  explicit SchedulerHarness(std::uint64_t lease_epoch = 1, std::vector<ShardEntry> entries = {})
      : epoch(lease_epoch) {
    SchedulerOptions options;
    options.service = "s";
    scheduler = make_scheduler(options, epoch, 5);
    scheduler->restore(entries, time(), wall());
  }
  TimePoint time() const { return TimePoint(Millis(now_ms)); }
  std::int64_t wall() const { return kWallClockStartMs + now_ms; }
  std::vector<ShardEntry> entries() const { return shard_entries(records); }

  // Plans and makes all changes durable, also the changes that follow from these.
  void make_durable_and_plan() {
    for (int i = 0; i < 3; ++i) {
      scheduler->plan(time(), wall());
      Scheduler::ChangeBatch changes = scheduler->take_changes();
      if (changes.number == 0) continue;
      apply_changes(records, changes.changes);
      scheduler->on_changes_durable(changes.number);
    }
    scheduler->plan(time(), wall());
  }

  // The next report of a leaf of 8 cores and 8000 MB with empty lists.
  wire::WorkerReport make_report(const std::string& leaf) {
    wire::WorkerReport report;
    report.set_node_name("node-" + leaf);
    report.set_session(77);
    report.set_report_number(++report_numbers[leaf]);
    report.mutable_leaf()->set_leaf_id(leaf);
    report.mutable_leaf()->set_service("s");
    report.mutable_leaf()->set_cpu(8000);
    report.mutable_leaf()->set_mem_mb(8000);
    report.mutable_leaf()->add_labels("a");
    report.mutable_leaf()->add_labels("r-1");
    report.set_epoch(epoch);
    report.set_lists_included(true);
    return report;
  }
  // Passes a report to the scheduler and makes the resulting changes durable. Before the first report of a
  // session, the session confirms an answer of the leader.
  void deliver(wire::WorkerReport report) {
    confirm_session(report);
    scheduler->report(report, time(), wall());
    make_durable_and_plan();
  }
  void confirm_session(wire::WorkerReport& report) {
    if (!confirmed_sessions.insert({report.node_name(), report.session()}).second) return;
    wire::WorkerReport first;
    first.set_node_name(report.node_name());
    first.set_session(report.session());
    first.mutable_leaf()->set_leaf_id(report.leaf().leaf_id());
    scheduler->report(first, time(), wall());
    const wire::WorkerOrders answer = orders(report.leaf().leaf_id());
    if (report.epoch() == epoch)
      report.set_orders_received(std::max(report.orders_received(), answer.revision()));
  }
  wire::WorkerOrders orders(const std::string& leaf) { return scheduler->make_orders(leaf, time()); }

  SubmitResult submit(const std::string& id, const wire::JobSpec& spec, std::uint32_t max_retries = 2,
                      std::uint32_t priority = 0) {
    wire::QueueTerms terms;
    terms.set_priority(priority);
    terms.set_queue("q");
    terms.set_max_retries(max_retries);
    terms.set_stretch(2);
    terms.set_target_latency_ms(500);
    return scheduler->submit(id, spec, terms, time(), wall());
  }
};

// A job of one stage whose tasks take one core for 500 ms each.
inline wire::JobSpec single_stage_job(std::uint32_t count) {
  wire::JobSpec spec;
  spec.set_spec("what");
  wire::Stage* stage = spec.add_stages();
  stage->set_count(count);
  stage->set_cpu(1000);
  stage->set_estimated_ms(500);
  return spec;
}

inline void add_running(wire::WorkerReport& report, const wire::StartOrder& start,
                        std::uint32_t percent = 0) {
  wire::RunningTask* entry = report.add_running();
  entry->set_task(start.task());
  entry->set_run(start.run());
  entry->set_percent(percent);
}

inline void add_end(wire::WorkerReport& report, std::uint64_t number, const wire::StartOrder& start,
                    wire::EndKind how) {
  wire::FinishedTask* entry = report.add_finished();
  entry->set_number(number);
  entry->set_task(start.task());
  entry->set_run(start.run());
  entry->set_how(how);
}

}  // namespace winchhall::cluster::test
