// A simulated worker-agent: keeps orders until the leaf's lists show them, reports, takes the leader's
// answers.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "tests/cluster/scheduler/scheduler_sim_leaf.hpp"

namespace winchhall::cluster::test {

struct SimWorker {
  std::string node;
  std::uint64_t session = 1;
  std::uint64_t report_number = 0;
  std::uint64_t epoch = 0;      // adopted
  bool lists_of_epoch = false;  // a heartbeat came since
  std::uint64_t received = 0;
  std::uint64_t settled = 0;
  std::map<std::uint64_t, wire::StartOrder> starts;  // not resolved
  std::map<std::uint64_t, wire::StopOrder> stops;
  std::uint64_t last_seen = 0;
  Ms grant_until = -1;
  std::map<std::uint64_t, Ms> sent_at;  // by report number
  Ms heartbeat_at = -100000;
  std::string leaf_id;
  std::string previous_leaf_id;
  bool left = false;
  wire::LeafDescription description;
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;
  std::uint64_t lists_number = 0;    // of the report that last included the lists
  std::uint64_t lists_answered = 0;  // the newest such report that was answered
  bool lists_changed = true;
  bool news = false;
  Ms next_report = 0;

  void restart(std::uint64_t new_session) {
    std::string name = node;
    *this = SimWorker();
    node = name;
    session = new_session;
  }

  void take_leaf(const std::string& id) {
    if (id == leaf_id) return;
    previous_leaf_id = leaf_id;
    leaf_id = id;
    left = false;
    forget_orders();
  }

  void forget_orders() {
    starts.clear();
    stops.clear();
    received = 0;
    settled = 0;
    last_seen = 0;
  }

  bool is_listed(const std::string& task, std::uint64_t run) const {
    return is_running(task, run) || std::any_of(finished.begin(), finished.end(), [&](const auto& entry) {
             return entry.task() == task && entry.run() == run;
           });
  }
  bool is_running(const std::string& task, std::uint64_t run) const {
    return std::any_of(running.begin(), running.end(),
                       [&](const auto& entry) { return entry.task() == task && entry.run() == run; });
  }

  // A heartbeat has come and the lists are those of the leaf now.
  void resolve() {
    std::erase_if(starts,
                  [&](const auto& entry) { return is_listed(entry.second.task(), entry.second.run()); });
    std::erase_if(stops,
                  [&](const auto& entry) { return !is_running(entry.second.task(), entry.second.run()); });
    settled = received;
    if (!starts.empty()) settled = std::min(settled, starts.begin()->first - 1);
    if (!stops.empty()) settled = std::min(settled, stops.begin()->first - 1);
    lists_of_epoch = true;
  }

  void take_orders(const wire::WorkerOrders& orders, Ms now) {
    if (orders.epoch() == 0 || orders.epoch() < epoch) return;
    if (orders.epoch() > epoch) {
      forget_orders();
      epoch = orders.epoch();
      lists_of_epoch = false;
      lists_answered = 0;
      next_report = now;
    }
    if (orders.leaf_id() != leaf_id) return;
    auto sent = sent_at.find(orders.report_number());
    if (sent != sent_at.end() && orders.grant_ms() > 0)
      grant_until = std::max(grant_until, sent->second + static_cast<Ms>(orders.grant_ms()));
    if (orders.report_number() >= lists_number) lists_answered = lists_number;
    if (orders.lists_wanted()) lists_answered = 0;
    last_seen = std::max(last_seen, orders.last_seen());
    for (const wire::StartOrder& start : orders.starts())
      if (start.revision() > received) starts[start.revision()] = start;
    for (const wire::StopOrder& stop : orders.stops()) {
      if (stop.revision() <= received) continue;
      stops[stop.revision()] = stop;
      std::erase_if(starts, [&](const auto& entry) {
        return entry.second.task() == stop.task() && entry.second.run() == stop.run();
      });
    }
    received = std::max(received, orders.revision());
  }

  wire::WorkerReport make_report(Ms now) {
    wire::WorkerReport report;
    report.set_node_name(node);
    report.set_session(session);
    report.set_report_number(++report_number);
    sent_at[report_number] = now;
    *report.mutable_leaf() = description;
    report.mutable_leaf()->set_leaf_id(leaf_id);
    report.set_heartbeat_age_ms(static_cast<std::uint32_t>(std::min<Ms>(now - heartbeat_at, 1000000)));
    report.set_epoch(lists_of_epoch ? epoch : 0);
    report.set_orders_received(lists_of_epoch ? received : 0);
    report.set_orders_settled(lists_of_epoch ? settled : 0);
    bool included = lists_changed || lists_answered != lists_number || lists_number == 0;
    report.set_lists_included(included);
    report.set_lists_as_of(lists_number);
    if (included) {
      lists_number = report_number;
      report.set_lists_as_of(report_number);
      for (const auto& entry : running) *report.add_running() = entry;
      for (const auto& entry : finished) *report.add_finished() = entry;
    }
    lists_changed = false;
    report.set_previous_leaf_id(previous_leaf_id);
    report.set_left(left);
    news = false;
    next_report = now + 400;
    return report;
  }
};

}  // namespace winchhall::cluster::test
