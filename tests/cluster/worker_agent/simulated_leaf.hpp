// A simulated leaf that follows the heartbeat protocol under random message loss and delay.
#pragma once

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "tests/cluster/support/scripted_runtime.hpp"
#include "tests/cluster/worker_agent/worker_fixture.hpp"

namespace winchhall::cluster::worker_test {

using testing::ScriptedRuntime;

// Time after which the leaf gives up on a heartbeat and ignores its response.
inline constexpr Millis kHeartbeatTimeout{1000};

// One run of a task on the leaf.
struct Run {
  std::string task;
  std::uint64_t number = 0;
  bool operator<(const Run& other) const {
    return std::tie(task, number) < std::tie(other.task, other.number);
  }
};

// A leaf that behaves as the protocol demands: it sends one heartbeat at a time, ignores late responses, and
// stops its tasks when its lease expires.
class SimulatedLeaf {
 public:
  // Both references must outlive the leaf.
  SimulatedLeaf(ScriptedRuntime& runtime, std::mt19937_64& generator)
      : runtime_(runtime), generator_(generator) {}

  void step(WorkerAgent& agent) {
    process_due_responses();
    expire_lease();
    end_random_run();
    const bool call_pending = awaiting_response_ && runtime_.now() - called_at_ < kHeartbeatTimeout;
    if (!call_pending && runtime_.now() >= next_call_) call(agent);
  }

  void crash() {
    ++incarnation_;
    running_.clear();
    finished_.clear();
    sequence_ = 0;
    next_finished_number_ = 1;
    fence_token_ = 0;
    awaiting_response_ = false;
    draining_ = false;
    lease_expires_at_ = TimePoint{};
    highest_ended_run_.clear();
  }
  void drain() { draining_ = true; }

  std::string id() const { return "i-" + std::to_string(incarnation_); }
  const std::set<Run>& running() const { return running_; }
  TimePoint lease_expires_at() const { return lease_expires_at_; }
  bool has_announced_drain() const { return drain_announced_incarnation_ == incarnation_; }

  // Called before each start of a run. Must be set.
  std::function<void(const Run&)> on_start;

 private:
  // Returns true with a probability of `percent`.
  bool chance(unsigned percent) { return generator_() % 100 < percent; }

  void call(WorkerAgent& agent) {
    ScriptedHeartbeat heartbeat;
    heartbeat.sequence = ++sequence_;
    for (const Run& run : running_) heartbeat.runs(run.task, run.number, generator_() % 100);
    for (const auto& [number, run] : finished_) heartbeat.ended(number, run.task, run.number);
    boost::json::object body{{"backend", "core"},
                             {"state", draining_ ? "draining" : "ready"},
                             {"sequence", *heartbeat.sequence},
                             {"clock_ms", runtime_.now().time_since_epoch() / Millis(1)},
                             {"running", heartbeat.running},
                             {"finished", heartbeat.finished}};
    awaiting_response_ = true;
    called_at_ = runtime_.now();
    const std::uint64_t number = ++call_number_;
    const TimePoint sent_at = runtime_.now();
    if (chance(3)) return;  // the heartbeat is lost
    const std::uint64_t drained_incarnation = draining_ ? incarnation_ : 0;
    agent.on_heartbeat(id(), boost::json::serialize(body),
                       [this, number, sent_at, drained_incarnation](const LeafResponse& answer) {
                         if (drained_incarnation != 0) drain_announced_incarnation_ = drained_incarnation;
                         if (chance(8)) return;  // the response is lost
                         const Millis delay(chance(5) ? 900 + generator_() % 300 : generator_() % 10);
                         delayed_responses_.push_back({number, sent_at, runtime_.now() + delay,
                                                       boost::json::parse(answer.body).as_object()});
                       });
  }

  void process_due_responses() {
    for (auto answer = delayed_responses_.begin(); answer != delayed_responses_.end();) {
      if (answer->due > runtime_.now()) {
        ++answer;
        continue;
      }
      const bool current = awaiting_response_ && answer->call == call_number_ &&
                           runtime_.now() - answer->sent_at < kHeartbeatTimeout;
      if (current) execute_response(answer->body, answer->sent_at);
      answer = delayed_responses_.erase(answer);
    }
  }

  void execute_response(const boost::json::object& body, TimePoint sent_at) {
    awaiting_response_ = false;
    const auto number = [&body](const char* field) -> std::uint64_t {
      const boost::json::value* const value = body.if_contains(field);
      return value != nullptr ? value->to_number<std::uint64_t>() : 0;
    };
    next_call_ = runtime_.now() + Millis(number("retry_after_ms"));
    if (number("fence_token") < fence_token_) return;
    fence_token_ = number("fence_token");
    if (body.contains("hold_ms"))
      lease_expires_at_ = std::max(lease_expires_at_, sent_at + Millis(number("hold_ms")));
    finished_.erase(finished_.begin(), finished_.upper_bound(number("last_seen")));
    if (body.contains("stopped_at")) {
      for (const boost::json::value& entry : body.at("stopped_at").as_array()) stop(run_of(entry));
    }
    if (!body.contains("started_at") || !body.contains("hold_ms")) return;
    for (const boost::json::value& entry : body.at("started_at").as_array()) start(run_of(entry));
  }

  static Run run_of(const boost::json::value& entry) {
    return Run{std::string(entry.as_array()[0].as_string()), entry.as_array()[1].to_number<std::uint64_t>()};
  }

  void start(const Run& run) {
    if (running_.count(run) != 0 || run.number <= highest_ended_run_[run.task]) return;
    on_start(run);
    running_.insert(run);
  }
  void stop(const Run run) {
    highest_ended_run_[run.task] = std::max(highest_ended_run_[run.task], run.number);
    if (running_.erase(run) != 0) finished_[next_finished_number_++] = run;
  }
  void expire_lease() {
    if (runtime_.now() < lease_expires_at_) return;
    while (!running_.empty()) stop(*running_.begin());
  }
  void end_random_run() {
    if (running_.empty() || !chance(4)) return;
    stop(*running_.begin());
    next_call_ = std::min(next_call_, runtime_.now() + Millis(50));
  }

  struct DelayedResponse {
    std::uint64_t call = 0;
    TimePoint sent_at;
    TimePoint due;
    boost::json::object body;
  };

  ScriptedRuntime& runtime_;
  std::mt19937_64& generator_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t drain_announced_incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_token_ = 0;
  std::uint64_t next_finished_number_ = 1;
  std::uint64_t call_number_ = 0;
  bool awaiting_response_ = false;
  bool draining_ = false;
  TimePoint called_at_{};
  TimePoint next_call_{};
  TimePoint lease_expires_at_{};
  std::set<Run> running_;
  std::map<std::uint64_t, Run> finished_;
  std::map<std::string, std::uint64_t> highest_ended_run_;
  std::vector<DelayedResponse> delayed_responses_;
};

}  // namespace winchhall::cluster::worker_test
