#include "review/judge.hpp"

#include <algorithm>
#include <cstdio>

namespace winchhall::review {

namespace {

struct JudgedRun {
  std::string leaf;
  LeafRun run;
};

std::string seconds(Clock::duration duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", std::chrono::duration<double>(duration).count());
  return text;
}

std::string name_of(const JudgedRun& judged) {
  return judged.run.task + " run " + std::to_string(judged.run.number) + " on " + judged.leaf;
}

}  // namespace

std::size_t count_double_runs(Record& record, const std::vector<JudgedLeaf>& leaves,
                              Clock::time_point until) {
  std::vector<JudgedRun> runs;
  for (const JudgedLeaf& judged : leaves) {
    for (LeafRun run : judged.leaf->runs()) {
      const bool running = run.running;
      if (running) run.ended = until;
      record.line(run.began, "run of task " + run.task + " run " + std::to_string(run.number) + " began on " +
                                 judged.name);
      if (!running) {
        record.line(run.ended, "run of task " + run.task + " run " + std::to_string(run.number) +
                                   " ended on " + judged.name + (run.done ? " done" : " not done") +
                                   (run.taken_note_of ? ", taken note of" : ""));
      }
      runs.push_back({judged.name, run});
    }
  }
  std::sort(runs.begin(), runs.end(),
            [](const JudgedRun& left, const JudgedRun& right) { return left.run.began < right.run.began; });
  std::size_t pairs = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      const JudgedRun& first = runs[i];
      const JudgedRun& second = runs[j];
      if (first.run.task != second.run.task) continue;
      const Clock::duration together = std::min(first.run.ended, second.run.ended) - second.run.began;
      if (together > Clock::duration::zero()) {
        ++pairs;
        record.line("TWICE: " + name_of(first) + " and " + name_of(second) + " were at work together for " +
                    seconds(together));
      } else if (first.run.done && first.run.taken_note_of) {
        ++pairs;
        record.line("TWICE: " + name_of(second) + " began after " + name_of(first) + " had ended done");
      }
    }
  }
  return pairs;
}

}  // namespace winchhall::review
