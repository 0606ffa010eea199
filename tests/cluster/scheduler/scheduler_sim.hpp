// Simulation of one service on a virtual clock: leaves with their worker-agents, successive leaders, clients,
// and injected faults. The same seed gives the same course of events.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "cluster/scheduler/scheduler.hpp"
#include "tests/cluster/scheduler/scheduler_sim_checker.hpp"
#include "tests/cluster/scheduler/scheduler_sim_worker.hpp"

namespace winchhall::cluster::test {

// Injected faults: shares of messages, and events per second over all nodes.
struct FaultRates {
  double loss = 0;   // share of messages that are lost
  double delay = 0;  // share of messages that arrive up to two seconds late
  double leaf_crashes = 0;
  double worker_restarts = 0;
  double partitions = 0;  // of a worker-agent from the leader
  double leader_changes = 0;
  double drains = 0;
  bool any() const {
    return loss + delay + leaf_crashes + worker_restarts + partitions + leader_changes + drains > 0;
  }
};

// Drives a real Scheduler. The leader's changes become durable some ms after they are taken; when a leader is
// lost, those that weren't durable survive up to some random batch.
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
  // Cancels a job, and retries until that is confirmed.
  void cancel(const std::string& id);
  // Stops early if a rule is violated.
  void run_until(Ms time);
  void stop_faults() { faults_ = {}; }
  // True if clients have seen a final state of every job.
  bool all_ended() const;
  std::vector<std::unique_ptr<SimulatedLeaf>>& leaves() { return leaves_; }
  // Null while there is none.
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
    Ms answer_by = -1;   // when a pending report is answered at the latest; -1: none is pending
    Ms restart_at = -1;  // when the next leaf process starts, while there is none
  };
  TimePoint time() const { return TimePoint(Millis(now_ + 1000000)); }

  void step();
  void start_leader();
  void stop_leader();
  void write_changes();
  void start_leaf(Node& node);
  void stop_leaf(Node& node);
  void step_leaf(SimulatedLeaf& leaf);
  void step_gang(SimulatedLeaf& leaf, const std::string& task);
  void heartbeat(Node& node);
  void apply_orders(Node& node, const std::string& leaf_id, const wire::WorkerOrders& delivered,
                    Ms hold_until);
  void start_run(SimulatedLeaf& leaf, const wire::StartOrder& order);
  void report(Node& node);
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
  std::vector<std::unique_ptr<Node>> nodes_;
  std::uint64_t next_leaf_ = 1;
  std::uint64_t epoch_ = 0;
  std::unique_ptr<Scheduler> leader_;
  std::map<std::string, std::string> records_;
  struct Write {
    std::uint64_t epoch = 0;
    Scheduler::ChangeBatch changes;
  };
  std::deque<Write> writes_;
};

}  // namespace winchhall::cluster::test
