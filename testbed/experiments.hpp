// The experiments. Each runs real aggregator processes, prints a table, writes JSON if asked to, and returns
// the exit code: 0, or 1 if a rule was violated.
#pragma once

#include <cstdint>
#include <string>

namespace winchhall::testbed {

// Options of all experiments.
struct CommonOptions {
  std::uint64_t seed = 1;
  double seconds = 60;
  std::string json{};     // file for the results; none if empty
  std::string program{};  // path of the winchhall executable
  std::string logs{};     // folder for the aggregators' logs; none if empty
  double slack_ms = 250;  // added to time limits for a loaded machine
};

struct MovingRangesOptions {
  CommonOptions common{};
  double rate = 200;  // queries per second over all aggregators
  std::size_t nodes = 20, aggregators = 3;
  double reshuffle_ms = 2000;
  bool faults = true;               // pauses, directory failures, crashes and drains; the same in both runs
  double min_service_ratio = 0.98;  // compared with the run without reshuffles
};
int moving_ranges(const MovingRangesOptions& options);

struct WatchedFilesOptions {
  CommonOptions common{};
  double rate = 200;
  std::size_t nodes = 16, aggregators = 3;
  double min_service_ratio = 0.98;  // compared with the run whose files don't change
};
int watched_files(const WatchedFilesOptions& options);

struct OperationsOptions {
  CommonOptions common{};
  std::size_t clients = 40, leafs = 8;
  bool stop_at_end = false;  // the last step of the history sends SIGSTOP
};
int operations(const OperationsOptions& options);

struct PlatformCostOptions {
  CommonOptions common{};
  std::string before{};  // path of the executable to compare with
  std::size_t rounds = 7, queries = 4000;
  double max_cpu_ratio = 1.02;  // CPU time per query, as a multiple of `before`
};
int platform_cost(const PlatformCostOptions& options);

// Runs one aggregator with four nodes, sends one query over HTTP and one over Flight, and prints both
// replies.
int demo(const CommonOptions& common);

}  // namespace winchhall::testbed
