#include "testbed/cluster/run_history.hpp"

#include <algorithm>
#include <map>

namespace winchhall::testbed::cluster {

namespace {

using Clock = std::chrono::steady_clock;

struct Run {
  std::string leaf;
  std::uint64_t number = 0;
  Clock::time_point began;
  Clock::time_point ended;
  bool done_recorded = false;
};

std::map<std::string, std::vector<Run>> runs_by_task(const std::vector<LeafHistory>& leaves,
                                                     Clock::time_point now) {
  std::map<std::string, std::vector<Run>> runs;
  for (const LeafHistory& leaf : leaves) {
    for (const FakeLeafTaskStart& start : leaf.starts) {
      const Clock::time_point ended = start.running ? now : start.ended;
      runs[start.task].push_back({leaf.leaf, start.run, start.began, ended, start.done_recorded});
    }
  }
  return runs;
}

std::string describe(const Run& run) { return "run " + std::to_string(run.number) + " on " + run.leaf; }

std::string milliseconds_between(Clock::time_point from, Clock::time_point to) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count()) + " ms";
}

// `later` began after `earlier`.
void check_pair(const std::string& task, const Run& earlier, const Run& later,
                std::vector<std::string>& faults) {
  if (later.began < earlier.ended) {
    faults.push_back("two runs of " + task + " at once: " + describe(later) + " began " +
                     milliseconds_between(later.began, earlier.ended) + " before the end of " +
                     describe(earlier));
  } else if (earlier.done_recorded) {
    faults.push_back("started after it was done: " + task + ", " + describe(later) + " after " +
                     describe(earlier));
  }
}

}  // namespace

std::vector<std::string> find_run_faults(const std::vector<LeafHistory>& leaves, Clock::time_point now) {
  std::vector<std::string> faults;
  for (auto& [task, runs] : runs_by_task(leaves, now)) {
    std::sort(runs.begin(), runs.end(), [](const Run& a, const Run& b) { return a.began < b.began; });
    for (std::size_t later = 1; later < runs.size(); ++later)
      for (std::size_t earlier = 0; earlier < later; ++earlier)
        check_pair(task, runs[earlier], runs[later], faults);
  }
  return faults;
}

std::vector<std::string> find_starts_after_cancel(const std::vector<LeafHistory>& leaves,
                                                  const std::vector<CancelledJob>& cancelled,
                                                  std::chrono::milliseconds max_delay) {
  std::map<std::string, Clock::time_point> answered;
  for (const CancelledJob& job : cancelled) answered.emplace(job.job, job.answered);
  std::vector<std::string> faults;
  for (const LeafHistory& leaf : leaves) {
    for (const FakeLeafTaskStart& start : leaf.starts) {
      const auto found = answered.find(start.task.substr(0, start.task.find('.')));
      if (found == answered.end() || start.began <= found->second + max_delay) continue;
      faults.push_back("started after its job was cancelled: " + start.task + " on " + leaf.leaf + ", " +
                       milliseconds_between(found->second, start.began) + " after the answer");
    }
  }
  return faults;
}

}  // namespace winchhall::testbed::cluster
