// Property test: one worker-agent under lost, late and duplicate messages, with a random schedule for each
// seed. Invariants: a run that a report has declared ended never starts, no lease exceeds its grant, and a
// leaf that has announced its drain gets no start.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "tests/cluster/worker_agent/simulated_leaders.hpp"
#include "tests/cluster/worker_agent/simulated_leaf.hpp"
#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr Millis kStep{5};
constexpr int kSteps = 4000;  // 20 s

// One worker-agent between the simulated leaf and leaders, under random faults.
class WorkerAgentSimulation {
 public:
  explicit WorkerAgentSimulation(std::uint64_t seed)
      : generator_(seed), leaf_(runtime_, generator_), leaders_(generator_) {
    settings_.bounds.hold_max = Millis(3000);
    agent_ = std::make_unique<WorkerAgent>(runtime_, settings_);
    agent_->start();
    leaf_.on_start = [this](const Run& run) {
      ++starts;
      if (leaders_.declared_ended.count({leaf_.id(), run}) != 0)
        violations.push_back("a run started after a report had declared it ended");
      if (leaf_.has_announced_drain())
        violations.push_back("a run started on a leaf that had announced its drain");
    };
  }

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      runtime_.advance(kStep);
      leaf_.step(*agent_);
      receive_calls();
      answer_random_reports();
      if (leaf_.lease_expires_at() > granted_until_) violations.push_back("a lease exceeds its grant");
      inject_fault();
    }
  }

  std::vector<std::string> violations;
  std::size_t starts = 0;

 private:
  // Returns true with a probability of 1 in `count`.
  bool one_in(unsigned count) { return generator_() % count == 0; }

  void inject_fault() {
    if (one_in(800)) leaders_.next_epoch();
    if (one_in(1500)) leaf_.crash();
    if (one_in(2500)) leaf_.drain();
    if (one_in(600)) runtime_.suspend(Millis(generator_() % 3000));
  }

  void receive_calls() {
    while (!runtime_.calls.empty()) {
      ScriptedRuntime::Call call = std::move(runtime_.calls.front());
      runtime_.calls.pop_front();
      if (call.request.has_worker_report()) {
        leaders_.record_report(call.request.worker_report());
        pending_reports_.push_back({std::move(call), runtime_.now()});
      } else {
        answer_probe(call);
      }
    }
  }

  void answer_random_reports() {
    for (auto report = pending_reports_.begin(); report != pending_reports_.end();) {
      if (!one_in(10)) {
        ++report;
        continue;
      }
      const PendingReport pending = std::move(*report);
      report = pending_reports_.erase(report);
      if (one_in(10)) continue;  // lost
      granted_until_ = std::max(granted_until_, pending.sent_at + kGrant);
      leaders_.answer(pending.call);
    }
  }

  void answer_probe(const ScriptedRuntime::Call& call) const {
    wire::Envelope answer;
    wire::ShardLeader& entry = *answer.mutable_configuration_update()->add_leaders();
    entry.set_shard("service/core");
    entry.set_address(kLeader);
    entry.set_epoch(leaders_.epoch());
    call.done(CallResult{std::move(answer), CallError::timed_out});
  }

  struct PendingReport {
    ScriptedRuntime::Call call;
    TimePoint sent_at;
  };

  std::mt19937_64 generator_;
  ScriptedRuntime runtime_;
  NodeSettings settings_ = worker_settings();
  SimulatedLeaf leaf_;
  SimulatedLeaders leaders_;
  std::unique_ptr<WorkerAgent> agent_;
  std::vector<PendingReport> pending_reports_;
  TimePoint granted_until_{};
};

}  // namespace

TEST_CASE("reports, leases and drains take effect despite lost, late and duplicate messages") {
  std::size_t starts = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    WorkerAgentSimulation simulation(seed);
    simulation.run();
    INFO("seed " << seed << ": " << (simulation.violations.empty() ? "" : simulation.violations.front()));
    REQUIRE(simulation.violations.empty());
    starts += simulation.starts;
  }
  CHECK(starts > kSeeds * 20);
}
