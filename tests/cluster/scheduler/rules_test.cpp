// The rules for jobs, under random work and troubles by seed.
#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_sim_impl.hpp"

namespace winchhall::cluster::test {
namespace {

wire::Stage random_stage(SchedulerSim& sim, int number) {
  wire::Stage stage;
  stage.set_count(static_cast<std::uint32_t>(sim.between(1, 8)));
  stage.set_cpu(static_cast<std::uint32_t>(sim.between(1, 20) * 100));
  stage.set_mem_mb(static_cast<std::uint32_t>(sim.between(1, 20) * 50));
  stage.set_estimated_ms(static_cast<std::uint32_t>(sim.between(50, 3000)));
  if (number > 0 && sim.chance() < 0.8) stage.add_depends_on(static_cast<std::uint32_t>(number - 1));
  stage.set_checkpoints(sim.chance() < 0.4);
  if (sim.chance() < 0.2) stage.set_anti_affinity(static_cast<std::uint32_t>(sim.between(1, 3)));
  if (sim.chance() < 0.15) stage.set_requirements("a");
  if (sim.chance() < 0.15) stage.set_colocation("r-0");
  if (sim.chance() < 0.1) stage.set_speculative(true);
  if (sim.chance() < 0.2) {
    stage.set_gang(true);
    stage.set_speculative(false);
    stage.set_count(static_cast<std::uint32_t>(sim.between(2, 3)));
    stage.set_same_rack(sim.chance() < 0.5);
    stage.set_anti_affinity(0);
    stage.set_cpu(static_cast<std::uint32_t>(sim.between(1, 7) * 1000));
  }
  return stage;
}

SimJob random_job(SchedulerSim& sim, int number) {
  SimJob job;
  job.id = "job" + std::to_string(number);
  job.spec.set_spec("work of " + job.id);
  int stages = static_cast<int>(sim.between(1, 3));
  for (int i = 0; i < stages; ++i) *job.spec.add_stages() = random_stage(sim, i);
  if (sim.chance() < 0.1) {
    job.spec.set_repeat_count(static_cast<std::uint32_t>(sim.between(1, 4)));
    job.spec.set_start_at_ms(static_cast<std::uint64_t>(sim.now() + sim.between(0, 3000)));
    job.spec.set_interval_ms(static_cast<std::uint64_t>(sim.between(100, 3000)));
  }
  if (sim.chance() < 0.05) {
    job.spec.mutable_stages(0)->set_long_running(true);
    job.spec.mutable_stages(0)->set_gang(false);
    job.spec.mutable_stages(0)->set_speculative(false);
  }
  job.terms.set_queue("q" + std::to_string(sim.between(0, 2)));
  job.terms.set_priority(static_cast<std::uint32_t>(sim.between(0, 2)));
  job.terms.set_max_retries(static_cast<std::uint32_t>(sim.between(1, 4)));
  job.terms.set_stretch(2);
  job.terms.set_target_latency_ms(1000);
  job.fail_rate = sim.chance() < 0.1 ? 1 : sim.chance() < 0.3 ? 0.1 : 0;
  return job;
}

bool lasts(const SimJob& job) { return job.spec.stages(0).long_running(); }

void play(std::uint64_t seed, SimTroubles troubles, int jobs,
          const std::function<void(SimLeaf&)>& harm = {}) {
  constexpr Ms kTraffic = 20000;
  constexpr Ms kLimit = 240000;
  SchedulerSim sim(seed, 6, troubles);
  sim.checker().bounds.status = Millis(400000);
  sim.busy_until = kTraffic + 5000;
  if (harm) {
    sim.checker().calm = false;
    harm(*sim.leaves().front());
  }
  for (int i = 0; i < jobs; ++i) {
    Ms at = sim.between(0, kTraffic);
    sim.at(at, [&sim, i] {
      SimJob job = random_job(sim, i);
      std::string id = job.id;
      bool cancel = lasts(job) || sim.chance() < 0.1;
      Ms later = lasts(job) ? kTraffic + 20000 : sim.now() + sim.between(0, 5000);
      sim.submit(std::move(job));
      if (cancel) sim.at(later, [&sim, id] { sim.cancel(id); });
    });
  }
  sim.run_until(kTraffic + 5000);
  sim.end_troubles();
  while (sim.now() < kLimit && !(sim.all_ended() && sim.now() > kTraffic + 30000) &&
         sim.checker().log.broken.empty())
    sim.run_until(sim.now() + 1000);
  sim.checker().check_at_the_end();
  INFO("seed " << seed);
  for (const std::string& broken : sim.checker().log.broken) FAIL_CHECK(broken);
  std::string open;
  for (const auto& [id, job] : sim.checker().jobs)
    if (job.shown_at < 0) open += " " + id;
  INFO("not ended:" << open << "; " << (sim.leader() != nullptr ? sim.leader()->summary() : "no leader"));
  CHECK(sim.all_ended());
}

TEST_CASE("the rules hold on calm days") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) play(seed, {}, 40);
}

TEST_CASE("the rules hold when messages are lost, late or doubled") {
  for (std::uint64_t seed = 1000; seed < 1060; ++seed) play(seed, {.loss = 0.1, .late = 0.05}, 40);
}

TEST_CASE("the rules hold when leaves crash and leave") {
  for (std::uint64_t seed = 2000; seed < 2060; ++seed) play(seed, {.leaf_crashes = 0.3, .drains = 0.3}, 40);
}

TEST_CASE("the rules hold when worker-agents restart and are cut off") {
  for (std::uint64_t seed = 3000; seed < 3060; ++seed) play(seed, {.worker_restarts = 0.5, .cuts = 0.3}, 40);
}

TEST_CASE("the rules hold when leaders follow one another") {
  for (std::uint64_t seed = 4000; seed < 4060; ++seed) play(seed, {.leader_changes = 0.4}, 40);
}

TEST_CASE("all jobs end although one leaf fails all that it starts") {
  for (std::uint64_t seed = 6000; seed < 6030; ++seed)
    play(seed, {}, 40, [](SimLeaf& leaf) { leaf.fails_all = true; });
}

TEST_CASE("all jobs end although tasks on one leaf stand still") {
  for (std::uint64_t seed = 7000; seed < 7030; ++seed)
    play(seed, {}, 40, [](SimLeaf& leaf) { leaf.still = true; });
}

TEST_CASE("the rules hold when everything goes wrong at once") {
  for (std::uint64_t seed = 5000; seed < 5100; ++seed)
    play(seed,
         {.loss = 0.05,
          .late = 0.05,
          .leaf_crashes = 0.2,
          .worker_restarts = 0.2,
          .cuts = 0.2,
          .leader_changes = 0.2,
          .drains = 0.1},
         40);
}

}  // namespace
}  // namespace winchhall::cluster::test
