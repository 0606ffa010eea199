// Random schedules of lost, late and doubled messages around one worker-agent, by seed. Checked throughout:
// what a report vouches for never turns out otherwise.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr Millis kStep{5};
constexpr int kSteps = 4000;  // 20 s
constexpr std::size_t kOrdersRemembered = 60;
constexpr Millis kCallLimit{1000};
constexpr Millis kGrant{4000};

// One run of a task on the leaf.
struct Run {
  std::string task;
  std::uint64_t number = 0;
  bool operator<(const Run& other) const {
    return std::tie(task, number) < std::tie(other.task, other.number);
  }
};

// A leaf as the protocol describes it: one heartbeat at a time, late answers dropped, holds that lapse.
class SimulatedLeaf {
 public:
  SimulatedLeaf(ScriptedRuntime& runtime, std::mt19937_64& generator)
      : runtime_(runtime), generator_(generator) {}

  void step(WorkerAgent& agent) {
    take_due_answer();
    lapse();
    end_some();
    const bool waits = call_open_ && runtime_.now() - called_at_ < kCallLimit;
    if (!waits && runtime_.now() >= next_call_) call(agent);
  }

  void crash() {
    ++incarnation_;
    running_.clear();
    ended_.clear();
    sequence_ = 0;
    next_end_ = 1;
    fence_ = 0;
    call_open_ = false;
    draining_ = false;
    hold_until_ = TimePoint{};
    highest_over_.clear();
  }
  void drain() { draining_ = true; }

  std::string id() const { return "i-" + std::to_string(incarnation_); }
  const std::set<Run>& running() const { return running_; }
  TimePoint hold_until() const { return hold_until_; }
  bool draining_told() const { return draining_told_ == incarnation_; }

  std::function<void(const Run&)> on_start;

 private:
  bool chance(unsigned percent) { return generator_() % 100 < percent; }

  void call(WorkerAgent& agent) {
    ScriptedHeartbeat heartbeat;
    heartbeat.sequence = ++sequence_;
    for (const Run& run : running_) heartbeat.runs(run.task, run.number, generator_() % 100);
    for (const auto& [number, run] : ended_) heartbeat.ended(number, run.task, run.number);
    boost::json::object body{{"backend", "core"},
                             {"state", draining_ ? "draining" : "ready"},
                             {"sequence", *heartbeat.sequence},
                             {"running", heartbeat.running},
                             {"finished", heartbeat.finished}};
    call_open_ = true;
    called_at_ = runtime_.now();
    const std::uint64_t number = ++call_number_;
    const TimePoint sent = runtime_.now();
    if (chance(3)) return;  // the heartbeat is lost
    const std::uint64_t drained_life = draining_ ? incarnation_ : 0;
    agent.on_heartbeat(
        id(), boost::json::serialize(body), [this, number, sent, drained_life](const LeafResponse& answer) {
          if (drained_life != 0) draining_told_ = drained_life;
          if (chance(8)) return;  // the answer is lost
          const Millis delay(chance(5) ? 900 + generator_() % 300 : generator_() % 10);
          answers_.push_back(
              {number, sent, runtime_.now() + delay, boost::json::parse(answer.body).as_object()});
        });
  }

  void take_due_answer() {
    for (auto answer = answers_.begin(); answer != answers_.end();) {
      if (answer->due > runtime_.now()) {
        ++answer;
        continue;
      }
      const bool current =
          call_open_ && answer->call == call_number_ && runtime_.now() - answer->sent < kCallLimit;
      if (current) carry_out(answer->body, answer->sent);
      answer = answers_.erase(answer);
    }
  }

  void carry_out(const boost::json::object& body, TimePoint sent) {
    call_open_ = false;
    const auto number = [&body](const char* field) -> std::uint64_t {
      const boost::json::value* const value = body.if_contains(field);
      return value != nullptr ? value->to_number<std::uint64_t>() : 0;
    };
    next_call_ = runtime_.now() + Millis(number("retry_after_ms"));
    if (number("fence_token") < fence_) return;
    fence_ = number("fence_token");
    if (body.contains("hold_ms")) hold_until_ = std::max(hold_until_, sent + Millis(number("hold_ms")));
    ended_.erase(ended_.begin(), ended_.upper_bound(number("last_seen")));
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
    if (running_.count(run) != 0 || run.number <= highest_over_[run.task]) return;
    on_start(run);
    running_.insert(run);
  }
  void stop(const Run run) {
    highest_over_[run.task] = std::max(highest_over_[run.task], run.number);
    if (running_.erase(run) != 0) ended_[next_end_++] = run;
  }
  void lapse() {
    if (runtime_.now() < hold_until_) return;
    while (!running_.empty()) stop(*running_.begin());
  }
  void end_some() {
    if (running_.empty() || !chance(4)) return;
    stop(*running_.begin());
    next_call_ = std::min(next_call_, runtime_.now() + Millis(50));
  }

  struct Answer {
    std::uint64_t call = 0;
    TimePoint sent;
    TimePoint due;
    boost::json::object body;
  };

  ScriptedRuntime& runtime_;
  std::mt19937_64& generator_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t draining_told_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::uint64_t next_end_ = 1;
  std::uint64_t call_number_ = 0;
  bool call_open_ = false;
  bool draining_ = false;
  TimePoint called_at_{};
  TimePoint next_call_{};
  TimePoint hold_until_{};
  std::set<Run> running_;
  std::map<std::uint64_t, Run> ended_;
  std::map<std::string, std::uint64_t> highest_over_;
  std::vector<Answer> answers_;
};

// Leaders, one epoch after the other: each orders at random and believes what reports vouch for.
class SimulatedLeaders {
 public:
  SimulatedLeaders(ScriptedRuntime& runtime, std::mt19937_64& generator)
      : runtime_(runtime), generator_(generator) {}

  // Takes what a new report vouches for.
  void read(const wire::WorkerReport& report) {
    const std::string& leaf_id = report.leaf().leaf_id();
    if (report.lists_included()) lists_[report.report_number()] = listed_runs(report);
    const std::set<Run>& listed = lists_.at(report.lists_as_of());
    for (const Order& order : orders_) {
      if (order.leaf_id != leaf_id || !order.start) continue;
      const bool vouched = order.epoch < report.epoch() ||
                           (order.epoch == report.epoch() && order.revision <= report.orders_settled());
      if (vouched && listed.count(order.run) == 0) over.insert({leaf_id, order.run});
    }
  }

  // Answers a report as the leader of the present epoch, or of the one before.
  void answer(const ScriptedRuntime::Call& call) {
    const wire::WorkerReport& report = call.request.worker_report();
    const std::uint64_t epoch = generator_() % 20 == 0 && epoch_ > 1 ? epoch_ - 1 : epoch_;
    order_some(report, epoch);
    wire::WorkerOrders orders;
    orders.set_epoch(epoch);
    orders.set_leaf_id(report.leaf().leaf_id());
    orders.set_grant_ms(static_cast<std::uint32_t>(kGrant.count()));
    orders.set_last_seen(last_seen_[report.leaf().leaf_id()]);
    const std::uint64_t received = report.epoch() == epoch ? report.orders_received() : 0;
    for (const Order& order : orders_) add_order(orders, order, epoch, received);
    WorkerAgentFixture::answer_orders(call, orders);
  }

  void next_epoch() {
    ++epoch_;
    revision_ = 0;
  }

  // Runs that reports have declared over for good, by life of the leaf.
  std::set<std::pair<std::string, Run>> over;

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

  void order_some(const wire::WorkerReport& report, std::uint64_t epoch) {
    while (orders_.size() > kOrdersRemembered) orders_.pop_front();
    if (epoch != epoch_ || report.epoch() != epoch) return;
    if (generator_() % 3 == 0) {
      const Run run{"5c0e7a21d94b36f8.0.0." + std::to_string(generator_() % 8), ++run_};
      orders_.push_back(Order{epoch, ++revision_, report.leaf().leaf_id(), true, run});
    }
    if (generator_() % 6 == 0 && !orders_.empty()) {
      const Order& meant =
          orders_[orders_.size() - 1 - generator_() % std::min<std::size_t>(orders_.size(), 5)];
      orders_.push_back(Order{epoch, ++revision_, report.leaf().leaf_id(), false, Run(meant.run)});
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

  ScriptedRuntime& runtime_;
  std::mt19937_64& generator_;
  std::uint64_t epoch_ = 5;
  std::uint64_t revision_ = 0;
  std::uint64_t run_ = 0;
  std::deque<Order> orders_;
  std::map<std::string, std::uint64_t> last_seen_;
  std::map<std::uint64_t, std::set<Run>> lists_;  // by report
};

class WorkerAgentSimulation {
 public:
  explicit WorkerAgentSimulation(std::uint64_t seed)
      : generator_(seed), leaf_(runtime_, generator_), leaders_(runtime_, generator_) {
    settings_.bounds.hold_max = Millis(3000);
    agent_ = std::make_unique<WorkerAgent>(runtime_, settings_);
    agent_->start();
    leaf_.on_start = [this](const Run& run) {
      ++starts;
      if (leaders_.over.count({leaf_.id(), run}) != 0)
        violations.push_back("began after a report declared it over");
      if (leaf_.draining_told()) violations.push_back("began on a leaf that had said it drains");
    };
  }

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      runtime_.advance(kStep);
      leaf_.step(*agent_);
      handle_calls();
      if (leaf_.hold_until() > granted_until_) violations.push_back("held beyond the grant");
      trouble();
    }
  }

  std::vector<std::string> violations;
  std::size_t starts = 0;

 private:
  bool chance(unsigned in) { return generator_() % in == 0; }

  void trouble() {
    if (chance(800)) leaders_.next_epoch();
    if (chance(1500)) leaf_.crash();
    if (chance(2500)) leaf_.drain();
    if (chance(600)) runtime_.freeze(Millis(generator_() % 3000));
  }

  void handle_calls() {
    while (!runtime_.calls.empty()) {
      ScriptedRuntime::Call call = std::move(runtime_.calls.front());
      runtime_.calls.pop_front();
      if (call.request.has_worker_report()) {
        leaders_.read(call.request.worker_report());
        reports_.push_back({std::move(call), runtime_.now()});
      } else {
        answer_watch(call);
      }
    }
    for (auto report = reports_.begin(); report != reports_.end();) {
      if (!chance(10)) {
        ++report;
        continue;
      }
      const Waiting waiting = std::move(*report);
      report = reports_.erase(report);
      if (chance(10)) continue;  // lost
      granted_until_ = std::max(granted_until_, waiting.sent + kGrant);
      leaders_.answer(waiting.call);
    }
  }

  static void answer_watch(const ScriptedRuntime::Call& call) {
    wire::Envelope answer;
    wire::ShardLeader& entry = *answer.mutable_configuration_update()->add_leaders();
    entry.set_shard("service/core");
    entry.set_address(kLeader);
    entry.set_epoch(1'000'000);
    call.done(CallResult{std::move(answer), CallError::timed_out});
  }

  struct Waiting {
    ScriptedRuntime::Call call;
    TimePoint sent;
  };

  std::mt19937_64 generator_;
  ScriptedRuntime runtime_;
  NodeSettings settings_ = worker_settings();
  SimulatedLeaf leaf_;
  SimulatedLeaders leaders_;
  std::unique_ptr<WorkerAgent> agent_;
  std::vector<Waiting> reports_;
  TimePoint granted_until_{};
};

}  // namespace

TEST_CASE("reports, holds and drains are kept to, whatever gets lost") {
  std::size_t starts = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    WorkerAgentSimulation world(seed);
    world.run();
    INFO("seed " << seed << ": " << (world.violations.empty() ? "" : world.violations.front()));
    REQUIRE(world.violations.empty());
    starts += world.starts;
  }
  CHECK(starts > kSeeds * 20);
}
