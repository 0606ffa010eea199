// Randomized simulations of a whole cluster: RuleChecker's rules hold while processes are killed, frozen and
// cut off in series, and while all machines lose power.
#include "tests/cluster/control/service_cluster.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/seed_range.hpp"

namespace winchhall::cluster::sim {
namespace {

using test::SeedRange;

constexpr Ms kFaultPeriod = 30000;
constexpr Ms kTimeToEnd = 120000;  // for all jobs, after the last fault
constexpr std::size_t kMinRuns = 100;

wire::Stage random_stage(ServiceCluster& cluster, int number) {
  wire::Stage stage;
  stage.set_count(static_cast<std::uint32_t>(cluster.between(1, 8)));
  stage.set_cpu(static_cast<std::uint32_t>(cluster.between(1, 10) * 100));
  stage.set_mem_mb(100);
  stage.set_estimated_ms(static_cast<std::uint32_t>(cluster.between(200, 9000)));
  if (number > 0) stage.add_depends_on(static_cast<std::uint32_t>(number - 1));
  stage.set_checkpoints(cluster.chance() < 0.3);
  if (cluster.chance() < 0.2) {
    stage.set_gang(true);
    stage.set_count(static_cast<std::uint32_t>(cluster.between(2, 4)));
  }
  return stage;
}

// Together more than 500 tasks on each leaf, so that no leaf lists all its ends at once.
wire::Stage wide_stage(ServiceCluster& cluster) {
  constexpr Ms kMinTasksPerLeaf = 550;
  constexpr Ms kMaxTasksPerLeaf = 780;
  const auto leaves = static_cast<Ms>(cluster.workers());
  wire::Stage stage;
  stage.set_count(static_cast<std::uint32_t>(cluster.between(kMinTasksPerLeaf, kMaxTasksPerLeaf) * leaves));
  stage.set_cpu(10);
  stage.set_mem_mb(1);
  stage.set_estimated_ms(static_cast<std::uint32_t>(cluster.between(1000, 6000)));
  return stage;
}

test::SimulatedJob empty_job(int number) {
  constexpr std::size_t kIdDigits = 16;
  test::SimulatedJob job;
  const std::string digits = std::to_string(number);
  job.id = std::string(kIdDigits - digits.size(), '0') + digits;
  job.spec.set_spec("work of " + job.id);
  job.terms.set_queue("r-1");
  job.terms.set_max_retries(4);
  job.terms.set_stretch(2);
  job.terms.set_target_latency_ms(1000);
  return job;
}

test::SimulatedJob wide_job(ServiceCluster& cluster, int number) {
  test::SimulatedJob job = empty_job(number);
  *job.spec.add_stages() = wide_stage(cluster);
  return job;
}

// A job that only one leaf can run, and that ends with its first failure.
test::SimulatedJob leaf_job(ServiceCluster& cluster, int number, std::size_t worker) {
  test::SimulatedJob job = empty_job(number);
  job.terms.set_max_retries(1);
  wire::Stage& stage = *job.spec.add_stages();
  stage.set_count(1);
  stage.set_cpu(100);
  stage.set_mem_mb(1);
  stage.set_estimated_ms(static_cast<std::uint32_t>(cluster.between(50, 500)));
  stage.set_requirements(ServiceCluster::leaf_label(worker));
  return job;
}

// As `leaf_job`, with a task that lasts.
test::SimulatedJob lasting_job(ServiceCluster& cluster, int number, std::size_t worker) {
  test::SimulatedJob job = leaf_job(cluster, number, worker);
  job.spec.mutable_stages(0)->set_long_running(true);
  job.lasts = true;
  return job;
}

test::SimulatedJob random_job(ServiceCluster& cluster, int number) {
  test::SimulatedJob job = empty_job(number);
  const int stages = static_cast<int>(cluster.between(1, 2));
  for (int i = 0; i < stages; ++i) *job.spec.add_stages() = random_stage(cluster, i);
  job.terms.set_priority(static_cast<std::uint32_t>(cluster.between(0, 2)));
  return job;
}

std::size_t random_control(ServiceCluster& cluster) {
  return static_cast<std::size_t>(cluster.between(0, static_cast<Ms>(cluster.control_nodes()) - 1));
}

std::size_t random_worker(ServiceCluster& cluster) {
  return static_cast<std::size_t>(cluster.between(0, static_cast<Ms>(cluster.workers()) - 1));
}

void lose_all_power(ServiceCluster& cluster) {
  const Ms down = cluster.between(300, 1500);
  const bool loses_disk = cluster.chance() < 0.3;
  const std::size_t lost = random_control(cluster);
  for (std::size_t machine = 0; machine < cluster.machines(); ++machine)
    cluster.crash(machine, down + cluster.between(0, 200));
  if (loses_disk) cluster.lose_disk_once(lost);
}

// Cuts every third worker machine from the control nodes, as if they were in one zone.
void partition_zone(ServiceCluster& cluster) {
  constexpr std::size_t kZones = 3;
  const std::size_t zone = random_worker(cluster) % kZones;
  for (std::size_t worker = zone; worker < cluster.workers(); worker += kZones)
    cluster.partition_from_control(cluster.worker_machine(worker), cluster.between(400, 14000));
}

void lose_leaf(ServiceCluster& cluster) {
  // Either within the lease of the lost leaf, or after it has expired.
  const Ms restart_after = cluster.chance() < 0.5 ? cluster.between(100, 3000) : cluster.between(8000, 16000);
  cluster.stop_leaf(random_worker(cluster), restart_after);
}

void inject_fault(ServiceCluster& cluster, double power_loss) {
  const std::size_t control = random_control(cluster);
  const std::size_t worker = cluster.worker_machine(random_worker(cluster));
  switch (cluster.between(0, 9)) {
    case 0:
      return cluster.crash(control, cluster.between(300, 3000));
    case 1:
    case 2:
      return cluster.crash(worker, cluster.between(50, 1500));
    case 3:
      return cluster.node(control).freeze_for(Millis(cluster.between(50, 3000)));
    case 4:
      return cluster.node(worker).freeze_for(Millis(cluster.between(50, 3000)));
    case 5:
      return cluster.partition_from_control(control, cluster.between(300, 4000));
    case 6:
      return partition_zone(cluster);
    case 7:
      return lose_leaf(cluster);
    case 8:
      if (cluster.chance() < power_loss) lose_all_power(cluster);
      return;
    default:
      cluster.node(control).hang_disk_for(Millis(cluster.between(50, 2000)));
  }
}

struct Scenario {
  ServiceClusterOptions options;
  int jobs = 40;
  int wide_jobs = 0;         // the first ones of `jobs`
  int abandoned_jobs = 0;    // besides `jobs`
  int failing_leaves = 0;    // leaves that fail for a moment, each with jobs besides `jobs`
  bool faults = true;        // beside these
  bool loses_disks = false;  // at the end the service is deleted, and each control node loses its disk
  double power_loss = 0.4;   // probability that all machines lose power, for each tenth fault
};

constexpr int kJobsOfFailingLeaf = 6;

// At a random time a leaf fails all runs for a moment, also those of jobs that need it. Later it is given a
// task that lasts, and a further job. `first` is the number of the first job.
void schedule_failing_leaf(ServiceCluster& cluster, int first) {
  constexpr int kJobsWhileFailing = kJobsOfFailingLeaf - 2;
  const std::size_t worker = random_worker(cluster);
  const Ms start = cluster.between(0, kFaultPeriod);
  const Ms lasting_at = start + cluster.between(2500, 6000);
  const auto submit = [&cluster](Ms at, const test::SimulatedJob& job) {
    cluster.simulation().in(Millis(at), [&cluster, job] { cluster.submit(job); });
  };
  cluster.simulation().in(
      Millis(start), [&cluster, worker] { cluster.make_leaf_fail(worker, cluster.between(1500, 2500)); });
  for (int number = 0; number < kJobsWhileFailing; ++number)
    submit(start + cluster.between(0, 300), leaf_job(cluster, first + number, worker));
  submit(lasting_at, lasting_job(cluster, first + kJobsWhileFailing, worker));
  submit(lasting_at + cluster.between(500, 3000), leaf_job(cluster, first + kJobsWhileFailing + 1, worker));
}

// The jobs of a deleted service go on after each control node has lost its disk.
void lose_disks(ServiceCluster& cluster, const Scenario& scenario) {
  constexpr int kJobsAfterwards = 5;
  cluster.simulation().run_for(Millis(3000));
  cluster.delete_service();
  cluster.lose_disks_in_turn();
  const int first = scenario.jobs + scenario.abandoned_jobs + scenario.failing_leaves * kJobsOfFailingLeaf;
  for (int number = 1; number <= kJobsAfterwards; ++number)
    cluster.submit(random_job(cluster, first + number));
}

// Submits jobs while faults are injected in series, and requires that no rule is violated and that all jobs
// end.
void run_scenario(std::uint64_t seed, const Scenario& scenario) {
  ServiceCluster cluster(seed, scenario.options);
  for (int number = 1; number <= scenario.jobs; ++number) {
    const bool wide = number <= scenario.wide_jobs;
    cluster.simulation().in(Millis(cluster.between(0, kFaultPeriod)), [&cluster, number, wide] {
      cluster.submit(wide ? wide_job(cluster, number) : random_job(cluster, number));
    });
  }
  for (int number = 1; number <= scenario.abandoned_jobs; ++number) {
    const int id = scenario.jobs + number;
    cluster.simulation().in(Millis(cluster.between(0, kFaultPeriod)), [&cluster, id] {
      cluster.abandon(random_job(cluster, id), cluster.chance() < 0.5);
    });
  }
  for (int number = 0; number < scenario.failing_leaves; ++number)
    schedule_failing_leaf(cluster, scenario.jobs + scenario.abandoned_jobs + 1 + number * kJobsOfFailingLeaf);
  const Ms faults_until = cluster.now() + kFaultPeriod;
  while (cluster.now() < faults_until && cluster.violations().empty()) {
    if (scenario.faults) inject_fault(cluster, scenario.power_loss);
    const bool pause = cluster.chance() < 0.3;
    cluster.simulation().run_for(Millis(pause ? cluster.between(1000, 4000) : cluster.between(20, 500)));
  }
  cluster.end_faults();
  if (scenario.loses_disks) lose_disks(cluster, scenario);
  const Ms limit = cluster.now() + kTimeToEnd;
  while (cluster.now() < limit && !cluster.all_ended() && cluster.violations().empty())
    cluster.simulation().run_for(Millis(500));
  cluster.check_after_run();
  INFO("seed " << seed << ", not ended:" << cluster.open_jobs());
  for (const std::string& violation : cluster.violations()) FAIL_CHECK(violation);
  CHECK(cluster.all_ended());
  CHECK(cluster.runs_started() > kMinRuns);
  if (scenario.abandoned_jobs > 0) CHECK(cluster.jobs_answered_unknown() > 0);
}

void run_scenarios(SeedRange seeds, const Scenario& scenario) {
  SeedRange::from_environment(seeds).for_each([&](std::uint64_t seed) { run_scenario(seed, scenario); });
}

TEST_CASE("no task runs twice while processes fail in series and all machines lose power") {
  run_scenarios({1, 20}, {});
}

TEST_CASE("no task runs twice while messages arrive late") {
  ServiceClusterOptions options;
  options.leaf_calls.late = 0.02;
  options.network.late = 0.02;
  options.network.late_max_us = 3000000;
  run_scenarios({21481, 20}, {options});
}

TEST_CASE("no task runs twice while reports into a partition arrive after it has healed") {
  ServiceClusterOptions options;
  options.network.retransmission = 0.9;
  run_scenarios({1, 20}, {options});
}

TEST_CASE("no task runs twice while heartbeats arrive after a restart of the worker-agent") {
  ServiceClusterOptions options;
  options.leaf_calls.late = 0.02;
  options.leaf_calls.outlives_process = true;
  run_scenarios({1, 20}, {options});
}

// Guards against a second run and against a start of a cancelled job: a submission that a frozen process had
// kept was accepted after the service had answered that it did not know the job.
TEST_CASE("no job is accepted after its service has answered that it is unknown") {
  Scenario scenario;
  scenario.abandoned_jobs = 60;
  run_scenarios({1, 20}, scenario);
}

// Guards against lost jobs: a leaf whose trial run lasted was never used again.
TEST_CASE("jobs end on leaves that have failed for some time and run tasks that last") {
  Scenario scenario;
  scenario.jobs = 20;
  scenario.failing_leaves = 12;
  scenario.faults = GENERATE(false, true);
  run_scenarios({1, 10}, scenario);
}

// Guards against lost jobs: a service that was deleted had no leader after its control nodes had lost their
// disks.
TEST_CASE("the jobs of a deleted service end after every control node has lost its disk") {
  Scenario scenario;
  scenario.loses_disks = true;
  run_scenarios({1, 5}, scenario);
}

TEST_CASE("no task runs twice while leaves have more ends than they list at once") {
  Scenario scenario;
  scenario.options.workers = 3;
  scenario.jobs = 12;
  scenario.wide_jobs = 4;
  scenario.power_loss = 1;
  run_scenarios({20, 3}, scenario);
  run_scenarios({103, 1}, scenario);  // a start of an earlier worker-agent is sent again
}

}  // namespace
}  // namespace winchhall::cluster::sim
