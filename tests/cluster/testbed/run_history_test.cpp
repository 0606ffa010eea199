// Which histories of runs on leaves the soak test reports as faults.
#include "testbed/cluster/run_history.hpp"

#include <catch2/catch.hpp>

using namespace winchhall::testbed::cluster;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

const Clock::time_point kBegin = Clock::time_point(std::chrono::hours(1));
const Clock::time_point kNow = kBegin + std::chrono::seconds(10);

FakeLeafTaskStart ended_run(std::uint64_t number, int began_ms, int ended_ms) {
  FakeLeafTaskStart run;
  run.task = "a.0.0.0";
  run.run = number;
  run.began = kBegin + milliseconds(began_ms);
  run.ended = kBegin + milliseconds(ended_ms);
  run.running = false;
  return run;
}

FakeLeafTaskStart open_run(std::uint64_t number, int began_ms) {
  FakeLeafTaskStart run = ended_run(number, began_ms, began_ms);
  run.running = true;
  return run;
}

}  // namespace

TEST_CASE("runs of one task one after another are no fault") {
  FakeLeafTaskStart done = ended_run(2, 600, 900);
  done.done = true;
  done.done_recorded = true;
  CHECK(find_run_faults({{"i-1", {ended_run(1, 0, 500)}}, {"i-2", {done}}}, kNow).empty());
}

TEST_CASE("runs of one task that overlap are a fault, in whichever order the leaves come") {
  const LeafHistory first{"i-1", {ended_run(1, 0, 500)}};
  const LeafHistory second{"i-2", {ended_run(2, 400, 900)}};
  CHECK(find_run_faults({first, second}, kNow).size() == 1);
  CHECK(find_run_faults({second, first}, kNow).size() == 1);
}

TEST_CASE("a run that has not ended overlaps with every later one") {
  CHECK(find_run_faults({{"i-1", {open_run(1, 0)}}, {"i-2", {ended_run(2, 5000, 6000)}}}, kNow).size() == 1);
}

TEST_CASE("a start after an end as done is a fault only if the leader had recorded that end") {
  FakeLeafTaskStart done = ended_run(1, 0, 500);
  done.done = true;
  CHECK(find_run_faults({{"i-1", {done}}, {"i-2", {ended_run(2, 600, 700)}}}, kNow).empty());
  done.done_recorded = true;
  CHECK(find_run_faults({{"i-1", {done}}, {"i-2", {ended_run(2, 600, 700)}}}, kNow).size() == 1);
}

TEST_CASE("a task that starts later than allowed after the cancel of its job is a fault") {
  constexpr milliseconds kAllowed{3000};
  const std::vector<CancelledJob> cancelled{{"a", kBegin}, {"b", kBegin}};
  CHECK(find_starts_after_cancel({{"i-1", {ended_run(1, 3000, 3100)}}}, cancelled, kAllowed).empty());
  CHECK(find_starts_after_cancel({{"i-1", {open_run(1, 3001)}}}, cancelled, kAllowed).size() == 1);
  CHECK(find_starts_after_cancel({{"i-1", {open_run(1, 3001)}}}, {{"ab", kBegin}}, kAllowed).empty());
}
