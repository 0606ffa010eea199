// Watched files under load: the same queries twice, with files that stand still and with files that are
// rewritten without pause, a third of them spoilt.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "testbed/config_file_writer.hpp"
#include "testbed/experiments.hpp"
#include "testbed/fleet.hpp"

namespace winchhall::testbed {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr Millis kStep = 20;         // ms between rewrites at the least
constexpr Millis kLastWait = 12000;  // ms for the last answers
constexpr Millis kQuiet = 600;   // ms of quiet after each burst, in which the last sound set has to be taken
constexpr Millis kBurst = 1400;  // ms

struct Outcome {
  Checker::Figures figures{};
  std::map<std::string, std::size_t> broken{};
  std::vector<std::string> cases{};
  Rewriter::Counts rewrites{};
  World::Counts world{};
  std::size_t parts = 0, most_attempts = 0, taken = 0, refused_lines = 0, held = 0;
  std::vector<double> take_ms{};  // from a change's first event to its use, as the aggregators log it
};

double quantile(std::vector<double> list, double q) {
  if (list.empty()) return 0;
  std::sort(list.begin(), list.end());
  return list[static_cast<std::size_t>(q * static_cast<double>(list.size() - 1))];
}

Outcome run(const WatchedFiles& o, bool moves) {
  std::string root = fs::temp_directory_path() / "winchhall-testbed-files-XXXXXX";
  if (!mkdtemp(root.data())) throw std::runtime_error("no folder for files");
  FleetOptions options;
  options.seed = o.common.seed;
  options.nodes = options.world.nodes = o.nodes;
  options.world.ranges = 3 * o.nodes;
  options.aggregators = o.aggregators;
  options.program = o.common.program;
  options.slack = o.common.slack_ms;
  options.files_root = root;
  options.node.cores = 16;
  options.node.work_least = 30;
  options.node.work_most = 220;
  Outcome out;
  {
    Fleet fleet(options);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < fleet.nodes(); ++i) addresses.push_back(fleet.node(i).frames_address());
    Rewriter rewriter(root, o.common.seed, addresses);
    rewriter.sound(fleet.world(), {});
    fleet.begin();
    event_loop::Loop& loop = fleet.loop();
    Millis begin = loop.now(), end = begin + 1000 * o.common.seconds;
    Random load(o.common.seed, 5), plan(o.common.seed, 6);
    std::uint64_t number = 0;
    Millis next_at = begin;
    std::function<void()> next = [&] {
      if (loop.now() >= end) return;
      Asked asked = fleet.draw(load, ++number);
      bool over_flight = load.chance(0.5);
      fleet.ask(load.below(fleet.aggregators()), over_flight, asked);
      loop.run_at(next_at += load.exponential(1000 / o.rate), next);
    };
    next();
    Millis step_at = begin, reshuffle_at = begin + 2000;
    while (loop.now() < end || (fleet.open() > 0 && loop.now() < end + kLastWait)) {
      fleet.turn();
      Millis now = loop.now();
      if (now < step_at) continue;
      step_at = now + kStep;
      if (!moves || now >= end) continue;
      if (now >= reshuffle_at) {
        reshuffle_at += 2000;
        fleet.world().reshuffle(now);
      }
      fleet.world().due(now);
      // Bursts as fast as the step allows, and a moment after each in which what is sound is to be found.
      bool quiet = std::fmod(now - begin, kBurst + kQuiet) > kBurst;
      if (!quiet && plan.chance(1.0 / 3))
        rewriter.spoilt(fleet.world());
      else if (!quiet || rewriter.last_was_spoilt())
        rewriter.sound(fleet.world(), {});
    }
    fleet.look_over();
    out.figures = fleet.checker().figures();
    out.broken = fleet.checker().broken();
    out.cases = fleet.checker().cases();
    out.rewrites = rewriter.counts();
    out.world = fleet.world().counts();
    out.parts = fleet.checker().parts_arrived();
    out.most_attempts = fleet.checker().most_attempts();
    for (std::size_t i = 0; i < fleet.aggregators(); ++i) {
      const Process& p = fleet.process(i);
      out.taken += p.count("files taken: ");
      out.refused_lines += p.count("files refused: ");
      out.held += p.count("files held: ");
      const std::string& log = p.log();
      const std::string words = " ranges, ";
      for (std::size_t at = 0; (at = log.find(words, at)) != std::string::npos; ++at)
        if (log.compare(log.find(" ms", at), 25, " ms after the first write") == 0)
          out.take_ms.push_back(std::atof(log.c_str() + at + words.size()));
      if (!o.common.logs.empty())
        std::ofstream(o.common.logs + "/" + (moves ? "moving-" : "still-") + std::to_string(i) + ".log")
            << log;
    }
  }
  fs::remove_all(root);
  return out;
}

void print(const char* name, const Outcome& o) {
  const auto& f = o.figures;
  std::printf(
      "%-14s asked %zu whole %zu partial %zu refused %zu failed %zu service %.4f p50 %.0f p99 %.0f ms bad "
      "rows %zu\n",
      name, f.asked, f.whole, f.partial, f.refused, f.failed, f.service(), f.latency.quantile(0.5),
      f.latency.quantile(0.99), f.rows_wrong + f.rows_doubled + f.rows_missing + f.rows_foreign);
  for (const auto& [rule, count] : o.broken) std::printf("  broken: %s, %zu times\n", rule.c_str(), count);
  for (const std::string& text : o.cases) std::printf("    %s\n", text.c_str());
}

json as_json(const Outcome& o) {
  const auto& f = o.figures;
  return {{"asked", f.asked},
          {"whole", f.whole},
          {"partial", f.partial},
          {"refused", f.refused},
          {"failed", f.failed},
          {"service", f.service()},
          {"p99_ms", f.latency.quantile(0.99)},
          {"bad_rows", f.rows_wrong + f.rows_doubled + f.rows_missing + f.rows_foreign},
          {"parts", o.parts},
          {"most_attempts", o.most_attempts},
          {"sound_sets", o.rewrites.sound},
          {"spoilt_sets", o.rewrites.spoilt},
          {"spoilt_by_kind", o.rewrites.by_kind},
          {"taken", o.taken},
          {"refusals", o.refused_lines},
          {"held", o.held},
          {"take_ms", {{"median", quantile(o.take_ms, 0.5)}, {"worst", quantile(o.take_ms, 1)}}},
          {"broken", o.broken},
          {"cases", o.cases}};
}

}  // namespace

int watched_files(const WatchedFiles& o) {
  Outcome still = run(o, false), moved = run(o, true);
  double ratio = still.figures.service() > 0 ? moved.figures.service() / still.figures.service() : 0;
  print("files still", still);
  print("files moving", moved);
  std::printf(
      "rewrites: %zu sound, %zu spoilt; taken %zu, lines of refusal %zu, held %zu; from first write to use "
      "median %.0f worst %.0f ms; service %.4f of that without (%.2f wanted)\n",
      moved.rewrites.sound, moved.rewrites.spoilt, moved.taken, moved.refused_lines, moved.held,
      quantile(moved.take_ms, 0.5), quantile(moved.take_ms, 1), ratio, o.service_least);
  bool sound = still.broken.empty() && moved.broken.empty() && ratio >= o.service_least && moved.taken > 0;
  if (!o.common.json.empty())
    std::ofstream(o.common.json) << json{{"experiment", "watched-files"},
                                         {"seed", o.common.seed},
                                         {"seconds", o.common.seconds},
                                         {"rate", o.rate},
                                         {"nodes", o.nodes},
                                         {"aggregators", o.aggregators},
                                         {"still", as_json(still)},
                                         {"moving", as_json(moved)},
                                         {"service_ratio", ratio},
                                         {"sound", sound}}
                                        .dump(2)
                                 << "\n";
  return sound ? 0 : 1;
}

}  // namespace winchhall::testbed
