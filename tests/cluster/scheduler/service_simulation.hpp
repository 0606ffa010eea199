// Simulation of one service on a virtual clock: leaves with their worker-agents, successive leaders, clients,
// and injected faults. The same seed produces the same sequence of events.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cluster/scheduler/scheduler.hpp"
#include "tests/cluster/scheduler/leaf_executor.hpp"
#include "tests/cluster/scheduler/record_map.hpp"
#include "tests/cluster/scheduler/simulated_worker_agent.hpp"

namespace winchhall::cluster::test {

// Rates of injected faults: fractions of messages, or events per second over all nodes.
struct FaultRates {
  double loss = 0;          // fraction of messages that are lost
  double delay = 0;         // fraction of messages that arrive up to two seconds late
  double leaf_crashes = 0;  // the next leaf process starts within three seconds
  double leaf_losses = 0;   // it starts only after the lease has expired; the worker-agent continues to run
  double worker_restarts = 0;
  double partitions = 0;  // partitions of a worker-agent from the leader
  double leader_changes = 0;
  double drains = 0;
  bool any() const {
    return loss + delay + leaf_crashes + leaf_losses + worker_restarts + partitions + leader_changes +
               drains >
           0;
  }
};

// Runs a real Scheduler as the leader. Its changes become durable some milliseconds after they are taken.
// When a leader is lost, of the batches that weren't durable those up to a random one are kept.
class ServiceSimulation {
 public:
  ServiceSimulation(std::uint64_t seed, std::size_t leaves, FaultRates faults);

  RuleChecker& checker() { return checker_; }
  std::mt19937_64& random() { return random_; }
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Ms between(Ms least, Ms most) { return std::uniform_int_distribution<Ms>(least, most)(random_); }
  Ms now() const { return now_; }

  void at(Ms time, std::function<void()> action) { events_.push({time, next_event_++, std::move(action)}); }
  // Submits a job, and retries until it is accepted.
  void submit(SimulatedJob job);
  // Cancels a job, and retries until the cancellation is confirmed.
  void cancel(const std::string& id);
  // Runs the simulation until this time, or until a rule is violated.
  void run_until(Ms time);
  void stop_faults() { faults_ = {}; }
  // True if clients have seen a final state of every job.
  bool all_ended() const;
  std::vector<std::unique_ptr<SimulatedLeaf>>& leaves() { return leaves_; }
  // Null while there is no leader.
  Scheduler* leader() { return leader_.get(); }
  Ms faults_until = 0;  // no faults are injected from then on

 private:
  struct Event {
    Ms at = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Node {
    SimulatedWorkerAgent worker;
    SimulatedLeaf* leaf = nullptr;
    Ms next_heartbeat = 0;
    Ms partitioned_until = -1;
    Ms answer_by = -1;   // latest time to answer the pending report; -1: none is pending
    Ms restart_at = -1;  // when the next leaf process starts; valid while there is none
  };
  TimePoint time() const { return TimePoint(Millis(now_ + 1000000)); }

  void step();
  void start_leader();
  void stop_leader();
  // Takes the leader's changes and makes them durable after a short delay.
  void write_changes();
  // Calls `action` once the leader's changes up to `number` are durable; never if the leader is lost before.
  void when_durable(ChangeBatchNumber number, std::function<void()> action);
  void start_leaf(Node& node);
  // Stops the node's leaf; the next one starts after the given time.
  void stop_leaf(Node& node, Ms restart_after);
  // Sends the leaf's heartbeat to its worker-agent, and applies the orders in the answer.
  void heartbeat(Node& node);
  // Updates the worker-agent with the leaf's description and lists.
  void update_worker(Node& node);
  static wire::LeafDescription describe(const SimulatedLeaf& leaf, Ms now);
  static std::vector<wire::RunningTask> list_running(const SimulatedLeaf& leaf);
  // Sends the worker-agent's report to the leader.
  void report(Node& node);
  // Sends the leader's answer to the node's pending report.
  void deliver_answer(Node& node);
  void inject_faults();
  void check_visible_states();
  bool loses_message() { return chance() < faults_.loss; }
  Ms message_delay() { return chance() < faults_.delay ? between(100, 2000) : between(1, 4); }

  std::mt19937_64 random_;
  FaultRates faults_;
  RuleChecker checker_;
  Ms now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<std::unique_ptr<SimulatedLeaf>> leaves_;
  LeafExecutor executor_{checker_, leaves_, random_};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::uint64_t next_leaf_ = 1;
  std::uint64_t epoch_ = 0;
  std::unique_ptr<Scheduler> leader_;
  RecordMap records_;                          // durable records
  std::deque<Scheduler::ChangeBatch> writes_;  // batches of the leader that are not durable yet
};

}  // namespace winchhall::cluster::test
