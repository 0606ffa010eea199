// Simulated leaders of a service, which give random orders and record which runs the reports declare ended.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "tests/cluster/worker_agent/simulated_leaf.hpp"
#include "tests/cluster/worker_agent/worker_fixture.hpp"

namespace winchhall::cluster::worker_test {

inline constexpr std::size_t kMaxKeptOrders = 60;
inline constexpr Millis kGrant{4000};

// A sequence of leaders, one for each epoch, which give random orders. A report declares a run ended if it
// does not list the run and either acknowledges the run's start order or names a newer epoch than that of the
// order.
class SimulatedLeaders {
 public:
  // `generator` must outlive the leaders.
  explicit SimulatedLeaders(std::mt19937_64& generator) : generator_(generator) {}

  // Records which runs a new report declares ended.
  void record_report(const wire::WorkerReport& report) {
    const std::string& leaf_id = report.leaf().leaf_id();
    if (report.lists_included()) lists_[report.report_number()] = listed_runs(report);
    const std::set<Run>& listed = lists_.at(report.lists_as_of());
    for (const Order& order : orders_) {
      if (order.leaf_id != leaf_id || !order.start) continue;
      const bool declared = order.epoch < report.epoch() ||
                            (order.epoch == report.epoch() && order.revision <= report.orders_settled());
      if (declared && listed.count(order.run) == 0) declared_ended.insert({leaf_id, order.run});
    }
  }

  // Answers a report as the leader of the current epoch, or sometimes as that of the previous one.
  void answer(const ScriptedRuntime::Call& call) {
    const wire::WorkerReport& report = call.request.worker_report();
    const std::uint64_t epoch = generator_() % 20 == 0 && epoch_ > 1 ? epoch_ - 1 : epoch_;
    add_random_orders(report, epoch);
    wire::WorkerOrders orders;
    orders.set_epoch(epoch);
    orders.set_leaf_id(report.leaf().leaf_id());
    orders.set_grant_ms(static_cast<std::uint32_t>(kGrant.count()));
    orders.set_last_seen(last_seen_[report.leaf().leaf_id()]);
    const std::uint64_t received = report.epoch() == epoch ? report.orders_received() : 0;
    for (const Order& order : orders_) add_order(orders, order, epoch, received);
    WorkerAgentFixture::answer_orders(call, orders);
  }

  // Epoch of the newest leader.
  std::uint64_t epoch() const { return epoch_; }
  void next_epoch() {
    ++epoch_;
    revision_ = 0;
  }

  // Runs that reports have declared ended, by incarnation of the leaf. Such a run must never start.
  std::set<std::pair<std::string, Run>> declared_ended;

 private:
  struct Order {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::string leaf_id;
    bool start = false;
    Run run;
  };

  std::set<Run> listed_runs(const wire::WorkerReport& report) {
    std::set<Run> runs;
    for (const wire::RunningTask& task : report.running()) runs.insert(Run{task.task(), task.run()});
    std::uint64_t& last_seen = last_seen_[report.leaf().leaf_id()];
    for (const wire::FinishedTask& task : report.finished()) {
      runs.insert(Run{task.task(), task.run()});
      last_seen = std::max(last_seen, task.number());
    }
    return runs;
  }

  void add_random_orders(const wire::WorkerReport& report, std::uint64_t epoch) {
    while (orders_.size() > kMaxKeptOrders) orders_.pop_front();
    if (epoch != epoch_ || report.epoch() != epoch) return;
    if (generator_() % 3 == 0) {
      const Run run{"5c0e7a21d94b36f8.0.0." + std::to_string(generator_() % 8), ++run_};
      orders_.push_back(Order{epoch, ++revision_, report.leaf().leaf_id(), true, run});
    }
    if (generator_() % 6 == 0 && !orders_.empty()) {
      const Order& stopped =
          orders_[orders_.size() - 1 - generator_() % std::min<std::size_t>(orders_.size(), 5)];
      orders_.push_back(Order{epoch, ++revision_, report.leaf().leaf_id(), false, Run(stopped.run)});
    }
  }

  static void add_order(wire::WorkerOrders& orders, const Order& order, std::uint64_t epoch,
                        std::uint64_t received) {
    if (order.epoch != epoch || order.leaf_id != orders.leaf_id()) return;
    orders.set_revision(std::max(orders.revision(), order.revision));
    if (order.revision <= received) return;
    if (order.start) {
      *orders.add_starts() = start_order(order.revision, order.run.task, order.run.number);
    } else {
      *orders.add_stops() = stop_order(order.revision, order.run.task, order.run.number);
    }
  }

  std::mt19937_64& generator_;
  std::uint64_t epoch_ = 5;
  std::uint64_t revision_ = 0;
  std::uint64_t run_ = 0;
  std::deque<Order> orders_;
  std::map<std::string, std::uint64_t> last_seen_;
  std::map<std::uint64_t, std::set<Run>> lists_;  // runs listed in each report, by report number
};

}  // namespace winchhall::cluster::worker_test
