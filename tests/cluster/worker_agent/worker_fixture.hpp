// Test fixture: a worker-agent between a scripted leaf and a scripted leader, with a manual clock.
#pragma once

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/worker_agent/worker_agent.hpp"
#include "tests/cluster/support/scripted_runtime.hpp"

namespace winchhall::cluster::worker_test {

using testing::ScriptedRuntime;

inline const Address kLeader = "10.0.0.3:7000";

inline NodeSettings worker_settings() {
  NodeSettings settings;
  settings.node_name = "side-1";
  settings.ip = "10.0.0.9";
  settings.backend = "core";
  settings.seeds = {"10.0.0.1:8144", "10.0.0.2:8144"};
  settings.internal_port_first = 7000;
  settings.bounds.hold_max = Millis(6000);
  return settings;
}

inline wire::StartOrder start_order(std::uint64_t revision, const std::string& task, std::uint64_t run) {
  wire::StartOrder order;
  order.set_revision(revision);
  order.set_task(task);
  order.set_run(run);
  order.set_spec("work");
  return order;
}

inline wire::StopOrder stop_order(std::uint64_t revision, const std::string& task, std::uint64_t run) {
  wire::StopOrder order;
  order.set_revision(revision);
  order.set_task(task);
  order.set_run(run);
  return order;
}

// Returns orders of an epoch for the leaf i-1, with a grant of 10 s.
inline wire::WorkerOrders orders_of(std::uint64_t epoch, std::vector<wire::StartOrder> starts = {},
                                    std::vector<wire::StopOrder> stops = {}) {
  wire::WorkerOrders orders;
  orders.set_epoch(epoch);
  orders.set_leaf_id("i-1");
  orders.set_grant_ms(10'000);
  std::uint64_t revision = 0;
  for (const wire::StartOrder& start : starts) {
    revision = std::max(revision, start.revision());
    *orders.add_starts() = start;
  }
  for (const wire::StopOrder& stop : stops) {
    revision = std::max(revision, stop.revision());
    *orders.add_stops() = stop;
  }
  orders.set_revision(revision);
  return orders;
}

// A heartbeat of the scripted leaf, which is sent with `WorkerAgentFixture::heartbeat`.
struct ScriptedHeartbeat {
  std::string leaf_id = "i-1";
  std::optional<std::uint64_t> sequence;  // if empty, the next number is used
  std::optional<std::uint64_t> clock_ms;  // the leaf's clock; if empty, the virtual clock
  std::string state = "ready";
  boost::json::array running;
  boost::json::array finished;

  ScriptedHeartbeat& runs(const std::string& task, std::uint64_t run, std::uint64_t percent = 0) {
    running.push_back(boost::json::array{task, run, "", percent});
    return *this;
  }
  ScriptedHeartbeat& ended(std::uint64_t number, const std::string& task, std::uint64_t run,
                           const std::string& how = "done") {
    finished.push_back(boost::json::array{number, task, run, how, ""});
    return *this;
  }
};

// The response to a heartbeat; valid once `answered` is true.
struct ReceivedResponse {
  bool answered = false;
  unsigned status = 0;
  boost::json::object body;

  std::size_t starts() const { return list_size("started_at"); }
  std::size_t stops() const { return list_size("stopped_at"); }
  std::uint64_t number(const char* field) const {
    const boost::json::value* const value = body.if_contains(field);
    return value != nullptr ? value->to_number<std::uint64_t>() : 0;
  }
  bool has(const char* field) const { return body.contains(field); }

 private:
  std::size_t list_size(const char* field) const {
    const boost::json::value* const list = body.if_contains(field);
    return list != nullptr ? list->as_array().size() : 0;
  }
};

// Owns the worker-agent. Its calls to other processes are queued in `runtime.calls` until the test answers
// them.
class WorkerAgentFixture {
 public:
  WorkerAgentFixture()
      : settings(worker_settings()), agent(std::make_unique<WorkerAgent>(runtime, settings)) {}

  // Starts the agent and lets it find the leader.
  void start() {
    introduced_leaf_.clear();
    agent->start();
    answer_probe();
  }

  // Sends a heartbeat. If the agent doesn't know the leaf, another one precedes it, which the agent responds
  // to at once, so that this one counts.
  std::shared_ptr<ReceivedResponse> heartbeat(ScriptedHeartbeat heartbeat) {
    if (std::exchange(introduced_leaf_, heartbeat.leaf_id) != heartbeat.leaf_id) introduce(heartbeat);
    return lone_heartbeat(std::move(heartbeat));
  }

  // Sends a heartbeat, whether or not the agent knows the leaf.
  std::shared_ptr<ReceivedResponse> lone_heartbeat(ScriptedHeartbeat heartbeat) {
    boost::json::object body{
        {"backend", "core"},
        {"state", heartbeat.state},
        {"capacity", boost::json::object{{"cpu", 16000}, {"mem_mb", 32768}}},
        {"labels", boost::json::array{"a", "r1-3"}},
        {"sequence", heartbeat.sequence.value_or(++sequence_)},
        {"clock_ms", heartbeat.clock_ms.value_or(runtime.now().time_since_epoch() / Millis(1))},
        {"running", std::move(heartbeat.running)},
        {"finished", std::move(heartbeat.finished)}};
    return raw_heartbeat(heartbeat.leaf_id, boost::json::serialize(body));
  }

  std::shared_ptr<ReceivedResponse> raw_heartbeat(const std::string& leaf_id, const std::string& body) {
    auto received = std::make_shared<ReceivedResponse>();
    agent->on_heartbeat(leaf_id, body, [received](const LeafResponse& answer) {
      received->answered = true;
      received->status = answer.status;
      received->body = boost::json::parse(answer.body).as_object();
    });
    return received;
  }

  // Returns the oldest unanswered report, if any.
  std::optional<wire::WorkerReport> peek_report() {
    for (const ScriptedRuntime::Call& call : runtime.calls) {
      if (call.request.has_worker_report()) return call.request.worker_report();
    }
    return std::nullopt;
  }

  // Removes all queued calls and returns the newest report. The older ones are never answered and time out.
  ScriptedRuntime::Call take_newest_report() {
    ScriptedRuntime::Call newest;
    for (ScriptedRuntime::Call& call : runtime.calls) {
      if (call.request.has_worker_report()) newest = std::move(call);
    }
    runtime.calls.clear();
    return newest;
  }

  static void answer_orders(const ScriptedRuntime::Call& report, wire::WorkerOrders orders) {
    orders.set_report_number(report.request.worker_report().report_number());
    wire::Envelope answer;
    *answer.mutable_worker_orders() = std::move(orders);
    report.done(CallResult{std::move(answer), CallError::timed_out});
  }

  // Answers the newest report and returns it. First waits for the minimum interval between two reports, so
  // that the report contains all changes made so far.
  wire::WorkerReport answer_report(const wire::WorkerOrders& orders) {
    runtime.advance(Millis(12));
    answer_older_reports(orders.epoch());
    const ScriptedRuntime::Call report = take_newest_report();
    if (!report.done) return {};
    answer_orders(report, orders);
    return report.request.worker_report();
  }

  // Answers every report except the newest one without orders, as a leader does when a newer one arrives.
  void answer_older_reports(std::uint64_t epoch) {
    const std::deque<ScriptedRuntime::Call> waiting = std::exchange(runtime.calls, {});
    std::size_t newest = waiting.size();
    for (std::size_t index = 0; index < waiting.size(); ++index) {
      if (waiting[index].request.has_worker_report()) newest = index;
    }
    if (newest == waiting.size()) return;
    wire::WorkerOrders empty;
    empty.set_epoch(epoch);
    empty.set_leaf_id("i-1");
    for (std::size_t index = 0; index < newest; ++index) {
      if (waiting[index].request.has_worker_report()) answer_orders(waiting[index], empty);
    }
    runtime.calls.push_front(waiting[newest]);
  }

  // Answers the newest probe for the leader, and returns the address of the probed node.
  Address answer_probe(const Address& leader = kLeader, std::uint64_t epoch = 5) {
    ScriptedRuntime::Call probe;
    for (ScriptedRuntime::Call& call : runtime.calls) {
      if (call.request.has_configuration_watch()) probe = call;
    }
    if (!probe.done) return {};
    wire::Envelope answer;
    wire::ShardLeader& entry = *answer.mutable_configuration_update()->add_leaders();
    entry.set_shard("service/core");
    entry.set_address(leader);
    entry.set_epoch(epoch);
    probe.done(CallResult{std::move(answer), CallError::timed_out});
    return probe.peer;
  }

  // Runs the first exchange: a heartbeat, its report, an answer of epoch 5 with a grant, and the response.
  void complete_first_exchange() {
    start();
    const auto first = heartbeat({});
    answer_report(orders_of(5));
    runtime.advance(Millis(250));
  }

  ScriptedRuntime runtime;
  NodeSettings settings;
  std::unique_ptr<WorkerAgent> agent;

 private:
  void introduce(const ScriptedHeartbeat& heartbeat) {
    constexpr Millis kResponseTime{1};
    ScriptedHeartbeat first;
    first.leaf_id = heartbeat.leaf_id;
    if (heartbeat.sequence) first.sequence = *heartbeat.sequence - 1;
    lone_heartbeat(first);
    runtime.advance(kResponseTime);
  }

  std::uint64_t sequence_ = 0;
  std::string introduced_leaf_;
};

}  // namespace winchhall::cluster::worker_test
