// winchhall-testbed: runs experiments with real aggregators, stand-in services, load, faults and checkers, on
// loopback only. Every limit is an option or a named constant.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "testbed/experiments.hpp"

namespace {

std::string beside(const std::string& name) {
  char path[4096];
  ssize_t n = readlink("/proc/self/exe", path, sizeof path);
  std::string program(path, n > 0 ? static_cast<std::size_t>(n) : 0);
  return program.substr(0, program.rfind('/') + 1) + name;
}

void common_options(CLI::App& app, winchhall::testbed::CommonOptions& c) {
  c.program = beside("winchhall");
  app.add_option("--seed", c.seed, "of all random choices")->capture_default_str();
  app.add_option("--seconds", c.seconds, "of each run")->check(CLI::Range(2.0, 600.0))->capture_default_str();
  app.add_option("--json", c.json, "file for the results");
  app.add_option("--logs", c.logs, "folder for the aggregators' logs")->check(CLI::ExistingDirectory);
  app.add_option("--slack-ms", c.slack_ms, "added to time limits for a loaded machine")
      ->capture_default_str();
  app.add_option("--program", c.program, "the aggregator to run")->check(CLI::ExistingFile);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace winchhall;
  spdlog::set_level(spdlog::level::off);
  CLI::App app{"winchhall-testbed: experiments on loopback; exit code 1 if a rule is violated"};
  app.require_subcommand(1);
  CLI::App* experiment = app.add_subcommand("experiment", "run one experiment");
  experiment->require_subcommand(1);

  testbed::MovingRangesOptions moving;
  CLI::App* m = experiment->add_subcommand("moving-ranges", "ranges split, merge and move while queries run");
  common_options(*m, moving.common);
  m->add_option("--rate", moving.rate, "queries a second")
      ->check(CLI::Range(1.0, 2000.0))
      ->capture_default_str();
  m->add_option("--nodes", moving.nodes)->check(CLI::Range(4, 64))->capture_default_str();
  m->add_option("--aggregators", moving.aggregators)->check(CLI::Range(2, 9))->capture_default_str();
  m->add_option("--reshuffle-ms", moving.reshuffle_ms)->check(CLI::Range(50.0, 1e6))->capture_default_str();
  m->add_option("--service-least", moving.min_service_ratio, "compared with the run without reshuffles")
      ->capture_default_str();
  m->add_flag("!--no-faults", moving.faults, "no pauses, crashes, drains or directory failures");

  testbed::WatchedFilesOptions files;
  CLI::App* w = experiment->add_subcommand("watched-files",
                                           "files rewritten continuously, a third of the sets invalid");
  common_options(*w, files.common);
  w->add_option("--rate", files.rate, "queries a second")
      ->check(CLI::Range(1.0, 2000.0))
      ->capture_default_str();
  w->add_option("--nodes", files.nodes)->check(CLI::Range(4, 64))->capture_default_str();
  w->add_option("--aggregators", files.aggregators)->check(CLI::Range(1, 9))->capture_default_str();
  w->add_option("--service-least", files.min_service_ratio, "compared with the run whose files don't change")
      ->capture_default_str();

  testbed::OperationsOptions ops;
  CLI::App* o = experiment->add_subcommand(
      "operations", "an aggregator drained, reconfigured, replaced, killed and stopped under load");
  common_options(*o, ops.common);
  o->add_option("--clients", ops.clients)->check(CLI::Range(1, 400))->capture_default_str();
  o->add_option("--leafs", ops.leafs)->check(CLI::Range(3, 64))->capture_default_str();
  o->add_flag("--stop-at-end", ops.stop_at_end, "the last step of the history sends SIGSTOP");

  testbed::PlatformCostOptions cost;
  CLI::App* c = experiment->add_subcommand(
      "platform-cost", "start-up time, memory and CPU of two programs, measured alternately");
  common_options(*c, cost.common);
  c->add_option("--before", cost.before, "the executable to compare with")
      ->check(CLI::ExistingFile)
      ->required();
  c->add_option("--rounds", cost.rounds)->check(CLI::Range(1, 99))->capture_default_str();
  c->add_option("--queries", cost.queries, "in each round")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  c->add_option("--most", cost.max_cpu_ratio, "CPU time per query, as a multiple of --before")
      ->capture_default_str();

  testbed::CommonOptions shown;
  shown.program = beside("winchhall");
  CLI::App* demo =
      app.add_subcommand("demo", "one aggregator, four nodes, one query over HTTP and one over Flight");
  demo->add_option("--program", shown.program, "the aggregator to run")->check(CLI::ExistingFile);

  CLI11_PARSE(app, argc, argv);
  try {
    if (demo->parsed()) return testbed::demo(shown);
    if (o->parsed()) return testbed::operations(ops);
    if (w->parsed()) return testbed::watched_files(files);
    if (c->parsed()) return testbed::platform_cost(cost);
    return testbed::moving_ranges(moving);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "winchhall-testbed: %s\n", error.what());
    return 1;
  }
}
