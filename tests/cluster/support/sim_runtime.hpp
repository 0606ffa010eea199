// Deterministic simulation of a cluster in one thread: clocks, timers, network and disks of many nodes in
// virtual time. All randomness comes from one seed, so a failed schedule can be reproduced.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/store/store.hpp"

namespace winchhall::cluster::sim {

// Behaviour of the network and the disks. Probabilities are for each message or batch; times are in
// microseconds.
struct SimulationOptions {
  std::int64_t delay_min_us = 200;
  std::int64_t delay_max_us = 4000;
  double loss = 0;
  double duplication = 0;
  double late = 0;  // probability of a delay of up to `late_max_us`
  std::int64_t late_max_us = 900000;
  // Fraction of the messages into a partition that arrive after it has healed, as TCP retransmits them, even
  // if the sender has ended by then. The others are lost.
  double retransmission = 0;
  std::int64_t retransmission_max_us = 2000000;  // after the partition has healed
  std::int64_t sync_min_us = 2000;
  std::int64_t sync_max_us = 10000;
  double clock_drift = 0.009;  // maximum relative deviation of a steady clock's rate
};

class Simulation;

// A simulated disk. Synced batches are durable. When the machine crashes, each unsynced batch is randomly
// either durable or lost.
class SimStore : public DurableStore {
 public:
  explicit SimStore(class SimNode& node) : node_(node) {}
  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) override;
  void load(const std::function<void(std::string_view, std::string_view)>& visit) override {
    for (const auto& [key, value] : durable_) visit(key, value);
  }
  std::size_t size() const { return durable_.size(); }
  // Size of the batches that are not synced yet.
  std::size_t waiting_bytes() const {
    std::size_t bytes = 0;
    for (const StoreBatch& batch : unsynced_) {
      for (const StoreWrite& write : batch) bytes += write.key.size() + write.value.value_or("").size();
    }
    return bytes;
  }

 private:
  friend class SimNode;

  void apply(const StoreBatch& batch) {
    for (const StoreWrite& write : batch) {
      if (write.value) {
        durable_[write.key] = *write.value;
      } else {
        durable_.erase(write.key);
      }
    }
  }
  void crash();

  SimNode& node_;
  std::map<std::string, std::string> durable_;
  std::deque<StoreBatch> unsynced_;
  std::int64_t busy_until_us_ = 0;
  std::int64_t hangs_until_us_ = 0;
};

// One process on one machine: its runtime, disk, address and program.
class SimNode : public Runtime {
 public:
  // The objects of a running program; destroyed when the process ends.
  struct Program {
    std::shared_ptr<void> state;
    RequestHandler handler;
  };
  using Boot = std::function<Program(SimNode&)>;

  SimNode(Simulation& simulation, std::size_t index, Address address, Boot boot);

  TimePoint now() const override;
  std::int64_t wall_clock_ms() const override;
  [[nodiscard]] std::unique_ptr<Timer> after(Millis delay, std::function<void()> action) override;
  void call(const Address& peer, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override;
  std::uint64_t random() override;

  SimStore& store() { return store_; }
  Simulation& simulation() { return simulation_; }
  std::size_t index() const { return index_; }
  const Address& address() const { return address_; }
  bool running() const { return running_; }
  bool frozen() const;
  // Number of starts of this process so far.
  unsigned incarnation() const { return incarnation_; }

  void start();
  // Ends the process immediately. Each batch that is not synced is durable or lost, at random.
  void crash();
  void lose_disk() { store_.durable_.clear(); }
  void freeze_for(Millis duration);
  // Delays the completion of all writes until the end of this time.
  void hang_disk_for(Millis duration);
  // While on, every write is reported as failed and takes effect at random.
  void refuse_writes(bool refuse) { refuse_writes_ = refuse; }

 private:
  friend class Simulation;
  friend class SimStore;

  // Runs an action of this process at a simulated time, or later if the process is frozen then. Never runs it
  // in another incarnation.
  void run_at(std::int64_t time_us, std::function<void()> action);

  Simulation& simulation_;
  const std::size_t index_;
  const Address address_;
  const Boot boot_;
  SimStore store_;
  Program program_;
  bool running_ = false;
  bool refuse_writes_ = false;
  unsigned incarnation_ = 0;
  std::int64_t frozen_until_us_ = 0;
  double clock_rate_ = 1;
  std::int64_t clock_offset_us_ = 0;
};

// Owns the nodes, the simulated network and the queue of events. Single-threaded.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed, SimulationOptions options = {})
      : options_(options), generator_(seed) {}
  // Ends the programs, which must not outlive the simulation.
  ~Simulation() {
    for (const auto& node : nodes_) {
      if (node->running_) node->crash();
    }
  }

  // Adds a machine without starting it.
  SimNode& add_node(Address address, SimNode::Boot boot) {
    nodes_.push_back(std::make_unique<SimNode>(*this, nodes_.size(), std::move(address), std::move(boot)));
    by_address_[nodes_.back()->address()] = nodes_.back().get();
    return *nodes_.back();
  }
  SimNode& node(std::size_t index) { return *nodes_.at(index); }
  std::size_t size() const { return nodes_.size(); }
  // Simulated time since the start, independent of the nodes' clocks.
  std::int64_t now_us() const { return now_us_; }
  std::int64_t now_ms() const { return now_us_ / 1000; }
  SimulationOptions& options() { return options_; }

  // Blocks, or unblocks, the messages of one machine to another.
  void cut(std::size_t from, std::size_t to, bool on = true) {
    if (on) {
      cuts_.emplace(from, to);
    } else {
      cuts_.erase({from, to});
    }
  }
  void cut_both(std::size_t left, std::size_t right, bool on = true) {
    cut(left, right, on);
    cut(right, left, on);
  }
  void isolate(std::size_t index, bool on = true) {
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != index) cut_both(index, other, on);
    }
  }
  void heal() { cuts_.clear(); }
  bool is_cut(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }

  // Runs an action of the test at a simulated time.
  void at(std::int64_t time_us, std::function<void()> action) {
    events_.push(Event{std::max(time_us, now_us_), ++last_event_, std::move(action)});
  }
  void in(Millis delay, std::function<void()> action) {
    at(now_us_ + delay.count() * 1000, std::move(action));
  }
  // Sets a function that is called after every event, to check invariants; null: none.
  void on_event(std::function<void()> check) { check_ = std::move(check); }
  // Sets a function that is called with the sender and every message before it is sent, to simulate nodes of
  // other versions.
  using Rewrite = std::function<void(std::size_t from, wire::Envelope& message)>;
  void rewrite_messages(Rewrite rewrite) { rewrite_ = std::move(rewrite); }
  void rewrite(std::size_t from, wire::Envelope& message) const {
    if (rewrite_) rewrite_(from, message);
  }

  bool step() {
    if (events_.empty()) return false;
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_us_ = event.time_us;
    event.action();
    if (check_) check_();
    return true;
  }
  void run_for(Millis duration) { run_until_us(now_us_ + duration.count() * 1000); }
  void run_until_us(std::int64_t time_us) {
    while (!events_.empty() && events_.top().time_us <= time_us) step();
    now_us_ = std::max(now_us_, time_us);
  }
  // Runs until the predicate holds. Returns false if it doesn't within the limit.
  bool run_until(const std::function<bool()>& predicate, Millis limit) {
    const std::int64_t end_us = now_us_ + limit.count() * 1000;
    while (!predicate()) {
      if (events_.empty() || events_.top().time_us > end_us) {
        now_us_ = std::max(now_us_, end_us);
        return predicate();
      }
      step();
    }
    return true;
  }

  std::uint64_t random() { return generator_(); }
  std::int64_t random_between(std::int64_t min, std::int64_t max) {
    if (max <= min) return min;
    return min + static_cast<std::int64_t>(generator_() % static_cast<std::uint64_t>(max - min + 1));
  }
  bool chance(double probability) {
    return probability > 0 && static_cast<double>(generator_() >> 11) * 0x1.0p-53 < probability;
  }

 private:
  friend class SimNode;
  friend class SimStore;

  struct Event {
    std::int64_t time_us = 0;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(other.time_us, other.number) < std::pair(time_us, number);
    }
  };

  SimNode* find(const Address& address) {
    const auto found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : found->second;
  }
  std::int64_t message_delay_us() {
    if (chance(options_.late)) return random_between(options_.delay_max_us, options_.late_max_us);
    return random_between(options_.delay_min_us, options_.delay_max_us);
  }
  // Transmits one message: calls `arrive` when it reaches the receiver, which may be never, once or twice.
  void transmit(std::size_t from, std::size_t to, const std::function<void()>& arrive) {
    const int copies = chance(options_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (from != to && is_cut(from, to)) {
        if (chance(options_.retransmission)) retransmit_later(from, to, arrive);
        continue;
      }
      if (from != to && chance(options_.loss)) continue;
      at(now_us_ + message_delay_us(), [this, from, to, arrive] {
        if (from == to || !is_cut(from, to)) arrive();
      });
    }
  }
  void retransmit_later(std::size_t from, std::size_t to, const std::function<void()>& arrive) {
    constexpr std::int64_t kRetryUs = 50000;
    at(now_us_ + kRetryUs, [this, from, to, arrive] {
      if (is_cut(from, to)) return retransmit_later(from, to, arrive);
      at(now_us_ + random_between(0, options_.retransmission_max_us), arrive);
    });
  }

  SimulationOptions options_;
  std::mt19937_64 generator_;
  std::int64_t now_us_ = 0;
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<SimNode>> nodes_;
  std::map<Address, SimNode*> by_address_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  Rewrite rewrite_;
  std::function<void()> check_;
};

class SimTimer : public Timer {
 public:
  explicit SimTimer(std::shared_ptr<bool> active) : active_(std::move(active)) {}
  ~SimTimer() override { *active_ = false; }

 private:
  std::shared_ptr<bool> active_;
};

inline SimNode::SimNode(Simulation& simulation, std::size_t index, Address address, Boot boot)
    : simulation_(simulation),
      index_(index),
      address_(std::move(address)),
      boot_(std::move(boot)),
      store_(*this) {
  const double spread = static_cast<double>(simulation.random_between(-1000, 1000)) / 1000;
  clock_rate_ = 1 + spread * simulation.options().clock_drift;
  clock_offset_us_ = simulation.random_between(1, 1000) * 1000000;
}

inline TimePoint SimNode::now() const {
  const double elapsed_us = static_cast<double>(simulation_.now_us()) * clock_rate_;
  return TimePoint(std::chrono::microseconds(clock_offset_us_ + static_cast<std::int64_t>(elapsed_us)));
}

inline std::int64_t SimNode::wall_clock_ms() const { return 1700000000000 + simulation_.now_ms(); }

inline bool SimNode::frozen() const { return simulation_.now_us() < frozen_until_us_; }

inline std::uint64_t SimNode::random() { return simulation_.random(); }

inline void SimNode::run_at(std::int64_t time_us, std::function<void()> action) {
  simulation_.at(time_us, [this, incarnation = incarnation_, action = std::move(action)]() mutable {
    if (!running_ || incarnation != incarnation_) return;
    if (frozen()) {
      // After a freeze, pending events are processed in random order, as timers and sockets are polled in
      // turn.
      constexpr std::int64_t kCatchUpUs = 2000;
      return run_at(frozen_until_us_ + simulation_.random_between(0, kCatchUpUs), std::move(action));
    }
    action();
  });
}

inline std::unique_ptr<Timer> SimNode::after(Millis delay, std::function<void()> action) {
  auto active = std::make_shared<bool>(true);
  const double true_us = static_cast<double>(delay.count()) * 1000 / clock_rate_;
  run_at(simulation_.now_us() + static_cast<std::int64_t>(true_us) + 1, [active, action = std::move(action)] {
    if (*active) action();
  });
  return std::make_unique<SimTimer>(active);
}

inline void SimNode::call(const Address& peer, wire::Envelope request, Millis timeout,
                          std::function<void(CallResult)> done) {
  // Null once the caller has been notified.
  auto caller = std::make_shared<std::function<void(CallResult)>>(std::move(done));
  const auto notify = [caller](CallResult result) {
    if (*caller) std::exchange(*caller, nullptr)(std::move(result));
  };
  run_at(simulation_.now_us() + timeout.count() * 1000, [notify] {
    notify(CallResult{std::nullopt, CallError::timed_out});
  });
  SimNode* receiver = simulation_.find(peer);
  if (!receiver) return;
  simulation_.rewrite(index_, request);
  const std::size_t from = index_;
  const std::size_t to = receiver->index_;
  simulation_.transmit(
      from, to, [this, receiver, from, to, incarnation = incarnation_, notify, request = std::move(request)] {
        const auto answer_back = [this, from, to, incarnation, notify](CallResult result) {
          simulation_.transmit(to, from, [this, incarnation, notify, result = std::move(result)] {
            if (!running_ || incarnation != incarnation_) return;
            run_at(simulation_.now_us(), [notify, result] { notify(result); });
          });
        };
        if (!receiver->running_) return answer_back(CallResult{std::nullopt, CallError::unreachable});
        receiver->run_at(simulation_.now_us(), [receiver, request, answer_back] {
          auto answered = std::make_shared<bool>(false);
          receiver->program_.handler(request, [receiver, answered, answer_back](wire::Envelope answer) {
            if (std::exchange(*answered, true)) return;
            receiver->simulation_.rewrite(receiver->index_, answer);
            answer_back(CallResult{std::move(answer), CallError::timed_out});
          });
        });
      });
}

inline void SimNode::start() {
  ++incarnation_;
  running_ = true;
  frozen_until_us_ = 0;
  program_ = boot_(*this);
}

inline void SimNode::crash() {
  running_ = false;
  store_.crash();
  program_ = Program{};
}

inline void SimNode::freeze_for(Millis duration) {
  frozen_until_us_ = simulation_.now_us() + duration.count() * 1000;
}

inline void SimNode::hang_disk_for(Millis duration) {
  store_.hangs_until_us_ = simulation_.now_us() + duration.count() * 1000;
  store_.busy_until_us_ = std::max(store_.busy_until_us_, store_.hangs_until_us_);
}

}  // namespace winchhall::cluster::sim

#include "tests/cluster/support/sim_store_impl.hpp"
