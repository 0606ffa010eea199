// Moving ranges under load: runs the same queries and faults twice, once with fixed ranges and once with
// reshuffles every few seconds, and compares the service.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "testbed/experiments.hpp"
#include "testbed/fleet.hpp"

namespace winchhall::testbed {
namespace {

using nlohmann::json;

constexpr Millis kStepInterval = 50;       // between checks for due steps of the deployment
constexpr Millis kFinalReplyWait = 12000;  // for the last replies: longer than any client waits

struct RunResult {
  Checker::Statistics statistics{};
  std::map<std::string, std::size_t> violations{};
  std::vector<std::string> violation_examples{};
  SimulatedDeployment::Counts deployment{};
  Directory::Counts directory{};
  Node::Counts nodes{};
  std::size_t parts = 0, most_attempts = 0, ranges = 0;
  std::vector<std::string> aggregators{};  // the last log line of each about ranges
};

// Schedules faults: some at fixed shares of the run, others every few seconds. All choices come from the
// seed.
class FaultSchedule {
 public:
  FaultSchedule(Fleet& fleet, std::uint64_t seed, Millis begin, Millis length)
      : fleet_(fleet), random_(seed, 9), begin_(begin), length_(length) {}

  void plan(bool all_faults) {
    for (std::size_t i = 0; i < fleet_.nodes(); ++i) fleet_.node(i).set_update_lag(random_.between(0, 400));
    if (!all_faults) return;
    for (double t = 1500; t < length_; t += random_.between(1500, 3500)) {
      std::size_t node = random_.below(fleet_.nodes());
      double ms = random_.between(150, 500);
      at(t, [this, node, ms] { fleet_.node(node).pause(ms); });
    }
    for (double t = 2500; t < length_; t += random_.between(2000, 5000)) {
      double ms = random_.between(0, 300);
      std::size_t what = random_.below(4), node = random_.below(fleet_.nodes());
      at(t, [this, ms, what, node] {
        if (what == 0) fleet_.directory().break_watches();
        if (what == 1) fleet_.directory().drop_next_update();
        if (what == 2) fleet_.directory().set_update_delay(ms);
        if (what == 3) fleet_.node(node).deny_for(ms);  // denies every part as misdirected
      });
    }
    std::size_t drained = random_.below(fleet_.nodes()), killed = (drained + 7) % fleet_.nodes();
    std::size_t aggregator = random_.below(fleet_.aggregators());
    at_share(0.15, [this] { fleet_.directory().stop(); });
    at_share(0.28, [this] { fleet_.directory().start(); });
    at_share(0.35, [this, drained] { fleet_.drain(drained); });
    at_share(0.45, [this, drained] { fleet_.undrain(drained); });
    at_share(0.50, [this] {
      for (std::size_t i = 0; i < fleet_.aggregators(); ++i) fleet_.process(i).signal(SIGHUP);
    });
    at_share(0.55, [this, killed] { fleet_.crash_node(killed); });
    at_share(0.62, [this, killed] { fleet_.restart_node(killed); });
    at_share(0.65, [this] {
      Millis now = fleet_.loop().now();
      fleet_.directory().serve_older_map(now - 3000, now + 600);
    });
    at_share(0.70, [this, aggregator] { fleet_.kill(aggregator); });
    at_share(0.73, [this, aggregator] { fleet_.restart(aggregator); });
    at_share(0.82, [this] {
      fleet_.deployment().new_incarnation(fleet_.loop().now());
      fleet_.directory().publish_changes();
    });
  }

 private:
  void at(double t, std::function<void()> run) { fleet_.loop().run_at(begin_ + t, std::move(run)); }
  void at_share(double of, std::function<void()> run) { at(of * length_, std::move(run)); }
  Fleet& fleet_;
  Random random_;
  Millis begin_, length_;
};

RunResult run(const MovingRangesOptions& o, bool moves) {
  FleetOptions options;
  options.seed = o.common.seed;
  options.nodes = o.nodes;
  options.aggregators = o.aggregators;
  options.program = o.common.program;
  options.slack = o.common.slack_ms;
  options.deployment.nodes = o.nodes;
  options.deployment.ranges = 3 * o.nodes;
  // Parts take long enough to be in progress while their ranges move, and nodes have capacity for many of
  // them.
  options.node.cores = 16;
  options.node.min_work = 30;
  options.node.max_work = 220;
  options.deployment.copy_time = 500;
  options.deployment.leave_time = 300;
  options.deployment.handover_time = 250;
  options.deployment.splits = options.deployment.merges = 6;
  options.deployment.moves = 10;
  Fleet fleet(options);
  fleet.start();
  event_loop::Loop& loop = fleet.loop();
  Millis begin = loop.now(), length = 1000 * o.common.seconds, end = begin + length;
  FaultSchedule faults(fleet, o.common.seed, begin, length);
  faults.plan(o.faults);

  Random load(o.common.seed, 5);
  std::uint64_t number = 0;
  Millis next_at = begin;
  std::function<void()> next = [&] {
    if (loop.now() >= end) return;
    Query query = fleet.random_query(load, ++number);
    bool over_flight = load.chance(0.5);
    std::size_t at = load.below(fleet.aggregators());
    // A client chooses another aggregator while this one is down.
    while (!fleet.running(at) || !fleet.process(at).logged("phase ready"))
      at = (at + 1) % fleet.aggregators();
    fleet.ask(at, over_flight, query);
    // Send times follow their own schedule, so a late event loop doesn't reduce the load.
    loop.run_at(next_at += load.exponential(1000 / o.rate), next);
  };
  next();
  Millis step_at = begin, reshuffle_at = begin + o.reshuffle_ms;
  while (loop.now() < end || (fleet.open_queries() > 0 && loop.now() < end + kFinalReplyWait)) {
    fleet.run_once();
    Millis now = loop.now();
    if (now < step_at) continue;
    step_at = now + kStepInterval;
    if (moves && now >= reshuffle_at && now < end) {
      reshuffle_at += o.reshuffle_ms;
      fleet.deployment().reshuffle(now);
    }
    fleet.deployment().run_due_steps(now);
    fleet.directory().publish_changes();
  }
  fleet.check_final_state();
  RunResult out;
  out.statistics = fleet.checker().statistics();
  out.violations = fleet.checker().violations();
  out.violation_examples = fleet.checker().violation_examples();
  out.deployment = fleet.deployment().counts();
  out.directory = fleet.directory().counts();
  out.parts = fleet.checker().arrived_parts();
  out.most_attempts = fleet.checker().most_attempts();
  out.ranges = fleet.deployment().map().size();
  for (std::size_t i = 0; i < fleet.nodes(); ++i) {
    const Node::Counts& c = fleet.node(i).counts();
    out.nodes.asked += c.asked;
    out.nodes.served += c.served;
    out.nodes.denied += c.denied;
    out.nodes.queue_full += c.queue_full;
    out.nodes.late += c.late;
    out.nodes.cancelled += c.cancelled;
    out.nodes.worst_cold = std::max(out.nodes.worst_cold, c.worst_cold);
  }
  for (std::size_t i = 0; i < fleet.aggregators(); ++i) {
    const std::string& log = fleet.process(i).log();
    std::size_t at = log.rfind("ranges: revision");
    if (!o.common.logs.empty())
      std::ofstream(o.common.logs + "/" + (moves ? "moving-" : "still-") + std::to_string(i) + ".log") << log;
    out.aggregators.push_back(at == std::string::npos ? "" : log.substr(at, log.find('\n', at) - at));
  }
  return out;
}

json as_json(const RunResult& o) {
  const auto& f = o.statistics;
  return {{"asked", f.asked},
          {"whole", f.whole},
          {"partial", f.partial},
          {"refused", f.refused},
          {"failed", f.failed},
          {"late", f.late},
          {"excused", f.excused},
          {"service", f.service()},
          {"rows",
           {{"right", f.rows_right},
            {"wrong", f.rows_wrong},
            {"doubled", f.rows_doubled},
            {"missing", f.rows_missing},
            {"foreign", f.rows_foreign}}},
          {"latency_ms",
           {{"p50", f.latency.quantile(0.5)},
            {"p99", f.latency.quantile(0.99)},
            {"p999", f.latency.quantile(0.999)},
            {"most", f.latency.max()}}},
          {"parts", o.parts},
          {"most_attempts", o.most_attempts},
          {"denied", o.nodes.denied},
          {"node_full", o.nodes.queue_full},
          {"worst_cold", o.nodes.worst_cold},
          {"world",
           {{"splits", o.deployment.splits},
            {"merges", o.deployment.merges},
            {"moves", o.deployment.moves},
            {"weighs", o.deployment.weight_changes},
            {"ranges", o.ranges}}},
          {"directory",
           {{"asked", o.directory.requests},
            {"whole", o.directory.full_maps},
            {"words", o.directory.updates},
            {"skipped", o.directory.dropped_updates}}},
          {"aggregators", o.aggregators},
          {"broken", o.violations},
          {"cases", o.violation_examples}};
}

void print(const char* name, const RunResult& o) {
  const auto& f = o.statistics;
  std::printf("%-14s %6zu %6zu %5zu %5zu %5zu %5zu  %.4f  %6.1f %7.1f %7.1f  %6zu %6zu %4zu  %zu\n", name,
              f.asked, f.whole, f.partial, f.refused, f.failed, f.late, f.service(), f.latency.quantile(0.5),
              f.latency.quantile(0.99), f.latency.max(), o.parts, o.nodes.denied, o.most_attempts,
              f.rows_wrong + f.rows_doubled + f.rows_missing + f.rows_foreign);
  for (const auto& [rule, count] : o.violations)
    std::printf("  violated: %s, %zu times\n", rule.c_str(), count);
  for (const std::string& text : o.violation_examples) std::printf("    %s\n", text.c_str());
}

}  // namespace

int moving_ranges(const MovingRangesOptions& o) {
  RunResult still = run(o, false);
  RunResult moved = run(o, true);
  double ratio = still.statistics.service() > 0 ? moved.statistics.service() / still.statistics.service() : 0;
  std::printf("%-14s %6s %6s %5s %5s %5s %5s  %7s %6s %7s %7s  %6s %6s %4s  %s\n", "run", "asked", "whole",
              "part", "refus", "fail", "late", "service", "p50", "p99", "most", "parts", "denied", "att",
              "bad rows");
  print("ranges still", still);
  print("ranges moving", moved);
  std::printf(
      "reshuffles: %zu splits, %zu merges, %zu moves, %zu weights; service %.4f of the run without (at "
      "least %.2f required)\n",
      moved.deployment.splits, moved.deployment.merges, moved.deployment.moves,
      moved.deployment.weight_changes, ratio, o.min_service_ratio);
  for (const std::string& line : moved.aggregators) std::printf("  %s\n", line.c_str());
  bool passed = still.violations.empty() && moved.violations.empty() && ratio >= o.min_service_ratio;
  if (!o.common.json.empty())
    std::ofstream(o.common.json) << json{{"experiment", "moving-ranges"},
                                         {"seed", o.common.seed},
                                         {"seconds", o.common.seconds},
                                         {"rate", o.rate},
                                         {"nodes", o.nodes},
                                         {"aggregators", o.aggregators},
                                         {"reshuffle_ms", o.reshuffle_ms},
                                         {"faults", o.faults},
                                         {"still", as_json(still)},
                                         {"moving", as_json(moved)},
                                         {"service_ratio", ratio},
                                         {"sound", passed}}
                                        .dump(2)
                                 << "\n";
  return passed ? 0 : 1;
}

}  // namespace winchhall::testbed
