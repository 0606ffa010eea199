// A simulated worker-agent: keeps orders until its leaf's lists reflect them, makes reports, and applies the
// leader's answers.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "tests/cluster/scheduler/event_log.hpp"

namespace winchhall::cluster::test {

// The process on a leaf's node that reports to the leader; its reports and their answers are the only
// communication between leaf and leader.
struct SimulatedWorkerAgent {
  std::string node;
  std::uint64_t session = 1;
  std::uint64_t report_number = 0;
  std::uint64_t epoch = 0;          // epoch of the newest leader that answered
  bool orders_in_flight = false;    // orders were sent to the leaf, and no heartbeat has arrived since
  bool reports_name_epoch = false;  // no order of an earlier epoch is in flight, so reports name `epoch`
  std::uint64_t received = 0;       // highest revision received from that leader
  std::uint64_t applied = 0;        // highest revision up to which the lists reflect all orders
  std::map<std::uint64_t, wire::StartOrder> starts;  // orders that the lists don't reflect, by revision
  std::map<std::uint64_t, wire::StopOrder> stops;    // as `starts`
  std::uint64_t last_seen = 0;                       // highest number of an acknowledged end
  Ms grant_until = -1;                               // end of the lease that may be granted to the leaf
  std::map<std::uint64_t, Ms> sent_at;               // by report number
  Ms heartbeat_at = -100000;
  std::string leaf_id;
  std::string previous_leaf_id;
  bool left = false;  // the leaf has deregistered
  wire::LeafDescription description;
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;
  std::uint64_t lists_number = 0;    // number of the last report that included the lists
  std::uint64_t lists_answered = 0;  // number of the last such report that was answered
  bool lists_changed = true;
  bool has_changes = false;
  Ms next_report = 0;

  // Replaces this process by a new one, which has lost all state.
  void restart(std::uint64_t new_session) {
    std::string name = node;
    *this = SimulatedWorkerAgent();
    node = name;
    session = new_session;
  }

  // Handles a heartbeat from a leaf. A new ID means a new incarnation, to which no order was given.
  void observe_leaf(const std::string& id) {
    if (id == leaf_id) return;
    previous_leaf_id = leaf_id;
    leaf_id = id;
    left = false;
    discard_orders();
  }

  void discard_orders() {
    starts.clear();
    stops.clear();
    received = 0;
    applied = 0;
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

  // Drops the orders that the lists of the leaf's newest heartbeat reflect.
  void resolve_orders() {
    std::erase_if(starts,
                  [&](const auto& entry) { return is_listed(entry.second.task(), entry.second.run()); });
    std::erase_if(stops,
                  [&](const auto& entry) { return !is_running(entry.second.task(), entry.second.run()); });
    applied = received;
    orders_in_flight = false;
    if (!starts.empty()) applied = std::min(applied, starts.begin()->first - 1);
    if (!stops.empty()) applied = std::min(applied, stops.begin()->first - 1);
    reports_name_epoch = true;
  }

  // Handles the answer to a report.
  void apply_answer(const wire::WorkerOrders& orders, Ms now) {
    if (orders.epoch() == 0 || orders.epoch() < epoch) return;
    if (orders.epoch() > epoch) {
      discard_orders();
      epoch = orders.epoch();
      reports_name_epoch = !orders_in_flight;
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
    report.set_epoch(reports_name_epoch ? epoch : 0);
    report.set_orders_received(reports_name_epoch ? received : 0);
    report.set_orders_settled(reports_name_epoch ? applied : 0);
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
    has_changes = false;
    next_report = now + 400;
    return report;
  }
};

}  // namespace winchhall::cluster::test
