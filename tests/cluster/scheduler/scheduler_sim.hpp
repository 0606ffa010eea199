// A simulated service: leaves with their worker-agents, leaders that follow one another, clients and
// troubles, all on one virtual clock. Seeds make schedules repeat.
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

struct SimTroubles {
  double loss = 0;          // part of the messages that are lost
  double late = 0;          // part that comes up to two seconds late
  double leaf_crashes = 0;  // a second, of all leaves together
  double worker_restarts = 0;
  double cuts = 0;
  double leader_changes = 0;
  double drains = 0;
  bool any() const {
    return loss + late + leaf_crashes + worker_restarts + cuts + leader_changes + drains > 0;
  }
};

class SchedulerSim {
 public:
  SchedulerSim(std::uint64_t seed, std::size_t leaves, SimTroubles troubles);

  SimChecker& checker() { return checker_; }
  std::mt19937_64& random() { return random_; }
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Ms between(Ms least, Ms most) { return std::uniform_int_distribution<Ms>(least, most)(random_); }
  Ms now() const { return now_; }

  void at(Ms time, std::function<void()> action) { events_.push({time, next_event_++, std::move(action)}); }
  // Hands in a job, again and again until it is accepted.
  void submit(SimJob job);
  void cancel(const std::string& id);
  void run_until(Ms time);
  void end_troubles() { troubles_ = {}; }
  bool all_ended() const;
  std::vector<std::unique_ptr<SimLeaf>>& leaves() { return leaves_; }
  Scheduler* leader() { return leader_.get(); }
  Ms busy_until = 0;  // troubles happen before this only

 private:
  struct Event {
    Ms at = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Node {
    SimWorker worker;
    SimLeaf* leaf = nullptr;
    Ms next_heartbeat = 0;
    Ms cut_until = -1;
    Ms answer_by = -1;  // the leader owes an answer
    Ms back_at = -1;    // a new leaf starts
  };
  TimePoint time() const { return TimePoint(Millis(now_ + 1000000)); }

  void step();
  void lead();
  void lose_leader();
  void flush();
  void new_leaf(Node& node);
  void kill_leaf(Node& node);
  void step_leaf(SimLeaf& leaf);
  void step_gang(SimLeaf& leaf, const std::string& task);
  void heartbeat(Node& node);
  void carry_out(Node& node, const std::string& leaf_id, const wire::WorkerOrders& delivered, Ms hold_until);
  void begin(SimLeaf& leaf, const wire::StartOrder& order);
  void report(Node& node);
  void answer(Node& node);
  void make_trouble();
  void show_states();
  bool lost() { return chance() < troubles_.loss; }
  Ms delay() { return chance() < troubles_.late ? between(100, 2000) : between(1, 4); }

  std::mt19937_64 random_;
  SimTroubles troubles_;
  SimChecker checker_;
  Ms now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<std::unique_ptr<SimLeaf>> leaves_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::uint64_t next_leaf_ = 1;
  std::uint64_t epoch_ = 0;
  std::unique_ptr<Scheduler> leader_;
  std::map<std::string, std::string> disk_;
  struct Write {
    std::uint64_t epoch = 0;
    Scheduler::ChangeBatch changes;
  };
  std::deque<Write> writes_;
};

}  // namespace winchhall::cluster::test
