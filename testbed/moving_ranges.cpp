// Moving ranges under load: the same queries and the same faults twice, with ranges that stand still and with
// reshuffles every few seconds.
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

constexpr Millis kStep = 50;         // ms between looks at what the world has due
constexpr Millis kLastWait = 12000;  // ms for the last answers: longer than any client waits

struct Outcome {
  Checker::Figures figures{};
  std::map<std::string, std::size_t> broken{};
  std::vector<std::string> cases{};
  World::Counts world{};
  Directory::Counts directory{};
  Node::Counts nodes{};
  std::size_t parts = 0, most_attempts = 0, ranges = 0;
  std::vector<std::string> aggregators{};  // their last word on ranges
};

// Faults at set shares of the run, and some every few seconds; all drawn from the seed alone.
class Faults {
 public:
  Faults(Fleet& fleet, std::uint64_t seed, Millis begin, Millis length)
      : fleet_(fleet), random_(seed, 9), begin_(begin), length_(length) {}

  void plan(bool heavy) {
    for (std::size_t i = 0; i < fleet_.nodes(); ++i) fleet_.node(i).lag(random_.between(0, 400));
    if (!heavy) return;
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
        if (what == 1) fleet_.directory().skip_next();
        if (what == 2) fleet_.directory().delay(ms);
        if (what == 3) fleet_.node(node).deny_for(ms);  // says "not mine", whatever it is asked
      });
    }
    std::size_t drained = random_.below(fleet_.nodes()), killed = (drained + 7) % fleet_.nodes();
    std::size_t aggregator = random_.below(fleet_.aggregators());
    share(0.15, [this] { fleet_.directory().go_away(); });
    share(0.28, [this] { fleet_.directory().come_back(); });
    share(0.35, [this, drained] { fleet_.drain(drained); });
    share(0.45, [this, drained] { fleet_.undrain(drained); });
    share(0.50, [this] {
      for (std::size_t i = 0; i < fleet_.aggregators(); ++i) fleet_.process(i).signal(SIGHUP);
    });
    share(0.55, [this, killed] { fleet_.kill_node(killed); });
    share(0.62, [this, killed] { fleet_.return_node(killed); });
    share(0.65, [this] {
      Millis now = fleet_.loop().now();
      fleet_.directory().tell_older(now - 3000, now + 600);
    });
    share(0.70, [this, aggregator] { fleet_.kill(aggregator); });
    share(0.73, [this, aggregator] { fleet_.restart(aggregator); });
    share(0.82, [this] {
      fleet_.world().new_incarnation(fleet_.loop().now());
      fleet_.directory().tell();
    });
  }

 private:
  void at(double t, std::function<void()> run) { fleet_.loop().run_at(begin_ + t, std::move(run)); }
  void share(double of, std::function<void()> run) { at(of * length_, std::move(run)); }
  Fleet& fleet_;
  Random random_;
  Millis begin_, length_;
};

Outcome run(const MovingRanges& o, bool moves) {
  FleetOptions options;
  options.seed = o.common.seed;
  options.nodes = o.nodes;
  options.aggregators = o.aggregators;
  options.program = o.common.program;
  options.slack = o.common.slack_ms;
  options.world.nodes = o.nodes;
  options.world.ranges = 3 * o.nodes;
  // Parts that take long enough to be out when ranges move under them, on nodes that have room for many.
  options.node.cores = 16;
  options.node.work_least = 30;
  options.node.work_most = 220;
  options.world.copy_time = 500;
  options.world.leave_time = 300;
  options.world.handover_time = 250;
  options.world.splits = options.world.merges = 6;
  options.world.moves = 10;
  Fleet fleet(options);
  fleet.begin();
  event_loop::Loop& loop = fleet.loop();
  Millis begin = loop.now(), length = 1000 * o.common.seconds, end = begin + length;
  Faults faults(fleet, o.common.seed, begin, length);
  faults.plan(o.faults);

  Random load(o.common.seed, 5);
  std::uint64_t number = 0;
  Millis next_at = begin;
  std::function<void()> next = [&] {
    if (loop.now() >= end) return;
    Asked asked = fleet.draw(load, ++number);
    bool over_flight = load.chance(0.5);
    std::size_t at = load.below(fleet.aggregators());
    // Its client finds another one while this one is down.
    while (!fleet.running(at) || !fleet.process(at).said("phase ready")) at = (at + 1) % fleet.aggregators();
    fleet.ask(at, over_flight, asked);
    // By a schedule of its own: a loop that is late doesn't thin the load.
    loop.run_at(next_at += load.exponential(1000 / o.rate), next);
  };
  next();
  Millis step_at = begin, reshuffle_at = begin + o.reshuffle_ms;
  while (loop.now() < end || (fleet.open() > 0 && loop.now() < end + kLastWait)) {
    fleet.turn();
    Millis now = loop.now();
    if (now < step_at) continue;
    step_at = now + kStep;
    if (moves && now >= reshuffle_at && now < end) {
      reshuffle_at += o.reshuffle_ms;
      fleet.world().reshuffle(now);
    }
    fleet.world().due(now);
    fleet.directory().tell();
  }
  fleet.look_over();
  Outcome out;
  out.figures = fleet.checker().figures();
  out.broken = fleet.checker().broken();
  out.cases = fleet.checker().cases();
  out.world = fleet.world().counts();
  out.directory = fleet.directory().counts();
  out.parts = fleet.checker().parts_arrived();
  out.most_attempts = fleet.checker().most_attempts();
  out.ranges = fleet.world().map().size();
  for (std::size_t i = 0; i < fleet.nodes(); ++i) {
    const Node::Counts& c = fleet.node(i).counts();
    out.nodes.asked += c.asked;
    out.nodes.served += c.served;
    out.nodes.denied += c.denied;
    out.nodes.full += c.full;
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

json as_json(const Outcome& o) {
  const auto& f = o.figures;
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
            {"most", f.latency.most()}}},
          {"parts", o.parts},
          {"most_attempts", o.most_attempts},
          {"denied", o.nodes.denied},
          {"node_full", o.nodes.full},
          {"worst_cold", o.nodes.worst_cold},
          {"world",
           {{"splits", o.world.splits},
            {"merges", o.world.merges},
            {"moves", o.world.moves},
            {"weighs", o.world.weighs},
            {"ranges", o.ranges}}},
          {"directory",
           {{"asked", o.directory.asked},
            {"whole", o.directory.whole},
            {"words", o.directory.words},
            {"skipped", o.directory.skipped}}},
          {"aggregators", o.aggregators},
          {"broken", o.broken},
          {"cases", o.cases}};
}

void print(const char* name, const Outcome& o) {
  const auto& f = o.figures;
  std::printf("%-14s %6zu %6zu %5zu %5zu %5zu %5zu  %.4f  %6.1f %7.1f %7.1f  %6zu %6zu %4zu  %zu\n", name,
              f.asked, f.whole, f.partial, f.refused, f.failed, f.late, f.service(), f.latency.quantile(0.5),
              f.latency.quantile(0.99), f.latency.most(), o.parts, o.nodes.denied, o.most_attempts,
              f.rows_wrong + f.rows_doubled + f.rows_missing + f.rows_foreign);
  for (const auto& [rule, count] : o.broken) std::printf("  broken: %s, %zu times\n", rule.c_str(), count);
  for (const std::string& text : o.cases) std::printf("    %s\n", text.c_str());
}

}  // namespace

int moving_ranges(const MovingRanges& o) {
  Outcome still = run(o, false);
  Outcome moved = run(o, true);
  double ratio = still.figures.service() > 0 ? moved.figures.service() / still.figures.service() : 0;
  std::printf("%-14s %6s %6s %5s %5s %5s %5s  %7s %6s %7s %7s  %6s %6s %4s  %s\n", "run", "asked", "whole",
              "part", "refus", "fail", "late", "service", "p50", "p99", "most", "parts", "denied", "att",
              "bad rows");
  print("ranges still", still);
  print("ranges moving", moved);
  std::printf(
      "reshuffles: %zu splits, %zu merges, %zu moves, %zu weights; service %.4f of that without (%.2f "
      "wanted)\n",
      moved.world.splits, moved.world.merges, moved.world.moves, moved.world.weighs, ratio, o.service_least);
  for (const std::string& line : moved.aggregators) std::printf("  %s\n", line.c_str());
  bool sound = still.broken.empty() && moved.broken.empty() && ratio >= o.service_least;
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
                                         {"sound", sound}}
                                        .dump(2)
                                 << "\n";
  return sound ? 0 : 1;
}

}  // namespace winchhall::testbed
