// Random workloads for ServiceSimulation, and the check that the rules hold and that all jobs end.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "tests/cluster/scheduler/service_simulation_impl.hpp"

namespace winchhall::cluster::test {

inline wire::Stage random_stage(ServiceSimulation& sim, int number) {
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

inline SimulatedJob random_job(ServiceSimulation& sim, int number) {
  SimulatedJob job;
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

inline bool is_long_running(const SimulatedJob& job) { return job.spec.stages(0).long_running(); }

// Submits random jobs to a service of six leaves while faults are injected, and requires that no rule is
// violated and that all jobs end. `make_faulty` is applied to the first leaf.
inline void simulate(std::uint64_t seed, FaultRates faults, int jobs,
                     const std::function<void(SimulatedLeaf&)>& make_faulty = {}) {
  constexpr Ms kSubmissionPeriod = 20000;
  constexpr Ms kTimeLimit = 240000;
  ServiceSimulation sim(seed, 6, faults);
  sim.checker().bounds.status = Millis(400000);
  sim.faults_until = kSubmissionPeriod + 5000;
  if (make_faulty) {
    sim.checker().fault_free = false;
    make_faulty(*sim.leaves().front());
  }
  for (int i = 0; i < jobs; ++i) {
    Ms at = sim.between(0, kSubmissionPeriod);
    sim.at(at, [&sim, i] {
      SimulatedJob job = random_job(sim, i);
      std::string id = job.id;
      bool cancel = is_long_running(job) || sim.chance() < 0.1;
      Ms later = is_long_running(job) ? kSubmissionPeriod + 20000 : sim.now() + sim.between(0, 5000);
      sim.submit(std::move(job));
      if (cancel) sim.at(later, [&sim, id] { sim.cancel(id); });
    });
  }
  sim.run_until(kSubmissionPeriod + 5000);
  sim.stop_faults();
  while (sim.now() < kTimeLimit && !(sim.all_ended() && sim.now() > kSubmissionPeriod + 30000) &&
         sim.checker().log.violations.empty())
    sim.run_until(sim.now() + 1000);
  sim.checker().check_after_run();
  INFO("seed " << seed);
  for (const std::string& violation : sim.checker().log.violations) FAIL_CHECK(violation);
  std::string not_ended;
  for (const auto& [id, job] : sim.checker().jobs)
    if (job.final_at < 0) not_ended += " " + id;
  INFO("not ended:" << not_ended << "; "
                    << (sim.leader() != nullptr ? sim.leader()->summary() : "no leader"));
  CHECK(sim.all_ended());
}

}  // namespace winchhall::cluster::test
