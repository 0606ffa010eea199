// The experiments: each runs against real aggregators, prints a table, writes JSON, and is 1 where a rule
// broke.
#pragma once

#include <cstdint>
#include <string>

namespace winchhall::testbed {

struct CommonOptions {
  std::uint64_t seed = 1;
  double seconds = 60;
  std::string json{};     // a file for the figures
  std::string program{};  // winchhall
  std::string logs{};     // a folder for the aggregators' logs
  double slack_ms = 250;  // that a busy machine may add to a limit in time
};

struct MovingRangesOptions {
  CommonOptions common{};
  double rate = 200;  // queries a second, all aggregators
  std::size_t nodes = 20, aggregators = 3;
  double reshuffle_ms = 2000;
  bool faults = true;               // pauses, breaks of the directory, deaths, drains; in both runs alike
  double min_service_ratio = 0.98;  // of the run without reshuffles
};
int moving_ranges(const MovingRangesOptions& options);

struct WatchedFilesOptions {
  CommonOptions common{};
  double rate = 200;
  std::size_t nodes = 16, aggregators = 3;
  double min_service_ratio = 0.98;  // of the run whose files stand still
};
int watched_files(const WatchedFilesOptions& options);

struct OperationsOptions {
  CommonOptions common{};
  std::size_t clients = 40, leafs = 8;
  bool stop_at_end = false;  // the last step of the history stops the process
};
int operations(const OperationsOptions& options);

struct PlatformCostOptions {
  CommonOptions common{};
  std::string before{};  // the program to compare with
  std::size_t rounds = 7, queries = 4000;
  double max_cpu_ratio = 1.02;  // CPU a query, x that of before
};
int platform_cost(const PlatformCostOptions& options);

// One aggregator, a few nodes, one query over each front; prints what was asked and what came back.
int demo(const CommonOptions& common);

}  // namespace winchhall::testbed
