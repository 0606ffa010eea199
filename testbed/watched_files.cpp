// Watched files under load: runs the same queries twice, once with fixed files and once with files that are
// rewritten continuously, a third of the sets invalid, and compares the service.
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

constexpr Millis kStepInterval = 20;       // shortest time between rewrites
constexpr Millis kFinalReplyWait = 12000;  // for the last replies
constexpr Millis kQuietTime = 600;         // after each burst, for the aggregators to take the last valid set
constexpr Millis kBurstTime = 1400;

struct RunResult {
  Checker::Statistics statistics{};
  std::map<std::string, std::size_t> violations{};
  std::vector<std::string> violation_examples{};
  ConfigFileWriter::Counts rewrites{};
  SimulatedDeployment::Counts deployment{};
  std::size_t parts = 0, most_attempts = 0, taken = 0, refused_lines = 0, held = 0;
  std::vector<double> take_ms{};  // from a change's first file event to its use, as logged by the aggregators
};

double quantile(std::vector<double> list, double q) {
  if (list.empty()) return 0;
  std::sort(list.begin(), list.end());
  return list[static_cast<std::size_t>(q * static_cast<double>(list.size() - 1))];
}

RunResult run(const WatchedFilesOptions& o, bool moves) {
  std::string root = fs::temp_directory_path() / "winchhall-testbed-files-XXXXXX";
  if (!mkdtemp(root.data())) throw std::runtime_error("mkdtemp failed for the files' folder: " + root);
  FleetOptions options;
  options.seed = o.common.seed;
  options.nodes = options.deployment.nodes = o.nodes;
  options.deployment.ranges = 3 * o.nodes;
  options.aggregators = o.aggregators;
  options.program = o.common.program;
  options.slack = o.common.slack_ms;
  options.files_root = root;
  options.node.cores = 16;
  options.node.min_work = 30;
  options.node.max_work = 220;
  RunResult out;
  {
    Fleet fleet(options);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < fleet.nodes(); ++i) addresses.push_back(fleet.node(i).frames_address());
    ConfigFileWriter writer(root, o.common.seed, addresses);
    writer.write_valid(fleet.deployment(), {});
    fleet.start();
    event_loop::Loop& loop = fleet.loop();
    Millis begin = loop.now(), end = begin + 1000 * o.common.seconds;
    Random load(o.common.seed, 5), plan(o.common.seed, 6);
    std::uint64_t number = 0;
    Millis next_at = begin;
    std::function<void()> next = [&] {
      if (loop.now() >= end) return;
      Query query = fleet.random_query(load, ++number);
      bool over_flight = load.chance(0.5);
      fleet.ask(load.below(fleet.aggregators()), over_flight, query);
      loop.run_at(next_at += load.exponential(1000 / o.rate), next);
    };
    next();
    Millis step_at = begin, reshuffle_at = begin + 2000;
    while (loop.now() < end || (fleet.open_queries() > 0 && loop.now() < end + kFinalReplyWait)) {
      fleet.run_once();
      Millis now = loop.now();
      if (now < step_at) continue;
      step_at = now + kStepInterval;
      if (!moves || now >= end) continue;
      if (now >= reshuffle_at) {
        reshuffle_at += 2000;
        fleet.deployment().reshuffle(now);
      }
      fleet.deployment().run_due_steps(now);
      // Bursts rewrite the files at every step; the pause after each lets the aggregators take a valid set.
      bool quiet = std::fmod(now - begin, kBurstTime + kQuietTime) > kBurstTime;
      if (!quiet && plan.chance(1.0 / 3))
        writer.write_invalid(fleet.deployment());
      else if (!quiet || writer.last_was_invalid())
        writer.write_valid(fleet.deployment(), {});
    }
    fleet.check_final_state();
    out.statistics = fleet.checker().statistics();
    out.violations = fleet.checker().violations();
    out.violation_examples = fleet.checker().violation_examples();
    out.rewrites = writer.counts();
    out.deployment = fleet.deployment().counts();
    out.parts = fleet.checker().arrived_parts();
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

void print(const char* name, const RunResult& o) {
  const auto& f = o.statistics;
  std::printf(
      "%-14s asked %zu whole %zu partial %zu refused %zu failed %zu service %.4f p50 %.0f p99 %.0f ms bad "
      "rows %zu\n",
      name, f.asked, f.whole, f.partial, f.refused, f.failed, f.service(), f.latency.quantile(0.5),
      f.latency.quantile(0.99), f.rows_wrong + f.rows_doubled + f.rows_missing + f.rows_foreign);
  for (const auto& [rule, count] : o.violations)
    std::printf("  violated: %s, %zu times\n", rule.c_str(), count);
  for (const std::string& text : o.violation_examples) std::printf("    %s\n", text.c_str());
}

json as_json(const RunResult& o) {
  const auto& f = o.statistics;
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
          {"sound_sets", o.rewrites.valid},
          {"spoilt_sets", o.rewrites.invalid},
          {"spoilt_by_kind", o.rewrites.by_defect},
          {"taken", o.taken},
          {"refusals", o.refused_lines},
          {"held", o.held},
          {"take_ms", {{"median", quantile(o.take_ms, 0.5)}, {"worst", quantile(o.take_ms, 1)}}},
          {"broken", o.violations},
          {"cases", o.violation_examples}};
}

}  // namespace

int watched_files(const WatchedFilesOptions& o) {
  RunResult still = run(o, false), moved = run(o, true);
  double ratio = still.statistics.service() > 0 ? moved.statistics.service() / still.statistics.service() : 0;
  print("files still", still);
  print("files moving", moved);
  std::printf(
      "rewrites: %zu valid, %zu invalid; taken %zu, refusals logged %zu, held %zu; from first write to use "
      "median %.0f worst %.0f ms; service %.4f of the run without (at least %.2f required)\n",
      moved.rewrites.valid, moved.rewrites.invalid, moved.taken, moved.refused_lines, moved.held,
      quantile(moved.take_ms, 0.5), quantile(moved.take_ms, 1), ratio, o.min_service_ratio);
  bool passed =
      still.violations.empty() && moved.violations.empty() && ratio >= o.min_service_ratio && moved.taken > 0;
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
                                         {"sound", passed}}
                                        .dump(2)
                                 << "\n";
  return passed ? 0 : 1;
}

}  // namespace winchhall::testbed
