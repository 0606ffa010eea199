// The views of a scheduler that operators see.
#include <catch2/catch.hpp>

#include "cluster/scheduler/scheduler.hpp"

using namespace winchhall::cluster;

namespace {

constexpr std::int64_t kWallClockStartMs = 1'700'000'000'000;
const std::string kJob = "00000000000000a1";

struct SchedulerWithOneLeaf {
  TimePoint now{std::chrono::hours(1)};
  std::unique_ptr<Scheduler> scheduler;
  std::uint64_t report_number = 0;
  std::uint64_t received_revision = 0;

  SchedulerWithOneLeaf() {
    SchedulerOptions options;
    options.service = "core";
    scheduler = make_scheduler(options, 2, 1);
    scheduler->restore({}, now, kWallClockStartMs);
  }

  void submit(const std::string& id) {
    wire::JobSpec spec;
    spec.set_spec("x");
    wire::Stage& stage = *spec.add_stages();
    stage.set_count(3);
    stage.set_cpu(1000);
    stage.set_mem_mb(100);
    stage.set_estimated_ms(300);
    wire::QueueTerms terms;
    terms.set_queue("extract");
    terms.set_priority(2);
    terms.set_max_retries(2);
    REQUIRE(scheduler->submit(id, spec, terms, now, kWallClockStartMs).outcome == wire::JOB_OK);
  }

  // Reports a leaf with capacity for two tasks, and plans. The first report gets an answer, which the next
  // ones confirm.
  void report() {
    wire::WorkerReport report;
    report.set_node_name("side-1");
    report.set_session(1);
    report.set_report_number(++report_number);
    report.set_heartbeats(report_number);
    report.set_epoch(2);
    report.set_orders_received(received_revision);
    report.set_lists_included(true);
    wire::LeafDescription& leaf = *report.mutable_leaf();
    leaf.set_leaf_id("leaf-1");
    leaf.set_service("core");
    leaf.set_cpu(2000);
    leaf.set_mem_mb(4000);
    scheduler->report(report, now, kWallClockStartMs);
    if (received_revision == 0) received_revision = scheduler->make_orders("leaf-1", now).revision();
    step();
  }

  void step() {
    for (int round = 0; round < 3; ++round) {
      scheduler->plan(now, kWallClockStartMs);
      const Scheduler::ChangeBatch changes = scheduler->take_changes();
      if (changes.number > 0) scheduler->on_changes_durable(changes.number);
      now += Millis(200);
    }
  }
};

}  // namespace

TEST_CASE_METHOD(SchedulerWithOneLeaf, "jobs are listed newest first within the limit") {
  submit(kJob);
  submit("00000000000000a2");
  const JobList list = scheduler->jobs(1);
  CHECK(list.total == 2);
  REQUIRE(list.jobs.size() == 1);
  CHECK(list.jobs[0].id == "00000000000000a2");
  CHECK(list.jobs[0].queue == "extract");
  CHECK(list.jobs[0].priority == 2);
  CHECK(list.jobs[0].state == wire::JOB_QUEUED);
  CHECK(scheduler->stats().counters.jobs_accepted == 2);
  submit(kJob);
  CHECK(scheduler->stats().counters.jobs_accepted == 2);
}

TEST_CASE_METHOD(SchedulerWithOneLeaf,
                 "a job is shown with its stages and runs, a leaf with its allocated resources") {
  submit(kJob);
  report();
  report();
  const std::optional<JobDetail> job = scheduler->job(kJob);
  REQUIRE(job);
  CHECK(job->job.state == wire::JOB_RUNNING);
  REQUIRE(job->stages.size() == 1);
  CHECK(job->stages[0].tasks == 3);
  CHECK(job->stages[0].waiting == 1);
  REQUIRE(job->runs.size() == 2);
  CHECK(job->runs[0].leaf == "leaf-1");
  CHECK(job->runs[0].run > 4096);
  const std::vector<LeafView> leaves = scheduler->leaves(now);
  REQUIRE(leaves.size() == 1);
  CHECK(leaves[0].node == "side-1");
  CHECK(leaves[0].capacity.cpu == 2000);
  CHECK(leaves[0].reserved.cpu == 2000);
  CHECK(leaves[0].runs == 2);
  CHECK(leaves[0].report_age_ms == 600);
  const SchedulerStats stats = scheduler->stats();
  CHECK(stats.counters.tasks_started == 2);
  CHECK(stats.counters.reports == 2);
  CHECK(stats.waiting_tasks == 1);
  CHECK(stats.runs == 2);
}

TEST_CASE_METHOD(SchedulerWithOneLeaf,
                 "unknown jobs are not shown, and a canceled one only once that is durable") {
  CHECK_FALSE(scheduler->job(kJob));
  submit(kJob);
  step();
  scheduler->cancel(kJob, now, kWallClockStartMs);
  CHECK(scheduler->job(kJob)->job.state == wire::JOB_RUNNING);
  step();
  CHECK(scheduler->job(kJob)->job.state == wire::JOB_CANCELED);
  CHECK(scheduler->stats().live_jobs == 0);
}
