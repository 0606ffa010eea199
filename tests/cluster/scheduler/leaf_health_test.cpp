#include "cluster/scheduler/leaf_health.hpp"

#include <catch2/catch.hpp>

namespace winchhall::cluster::scheduling {
namespace {

TimePoint at(std::int64_t ms) { return TimePoint(Millis(ms)); }

TEST_CASE("a leaf that fails runs of several jobs is ejected, then tried with one run") {
  LeafHealth health;
  health.on_failure("a", at(0), at(0));
  health.on_failure("a", at(0), at(0));
  health.on_failure("b", at(0), at(0));
  CHECK_FALSE(health.is_ejected(at(0)));
  health.on_failure("c", at(0), at(0));
  CHECK(health.is_ejected(at(1000)));
  CHECK_FALSE(health.is_ejected(at(2500)));
  health.on_start(at(2500));
  CHECK(health.is_ejected(at(2500)));
  health.on_failure("d", at(2500), at(2600));
  CHECK(health.is_ejected(at(6000)));
  CHECK_FALSE(health.is_ejected(at(7000)));
  health.on_start(at(7000));
  health.on_success(at(7000));
  CHECK_FALSE(health.is_suspect());
}

// A leaf that became suspect: three runs of different jobs, ordered at 0, have failed at `failed_at_ms`.
LeafHealth suspect_leaf(std::int64_t failed_at_ms) {
  LeafHealth health;
  for (const char* job : {"a", "b", "c"}) health.on_failure(job, at(0), at(failed_at_ms));
  return health;
}

// Guards against a leaf that is never used again: the trial run was a task that lasts, or was withdrawn.
TEST_CASE("a trial run that does not end delays the next one for a bounded time") {
  LeafHealth health = suspect_leaf(0);
  health.on_start(at(2500));
  CHECK(health.is_ejected(at(3999)));
  CHECK_FALSE(health.is_ejected(at(4000)));
  CHECK(health.is_suspect());
  health.on_start(at(4000));
  CHECK(health.is_ejected(at(5499)));
  CHECK_FALSE(health.is_ejected(at(5500)));
}

TEST_CASE("a trial run that outlasts the failed ones makes a leaf healthy") {
  LeafHealth health = suspect_leaf(3000);
  health.on_start(at(6000));
  health.on_running(at(6000), at(9000));
  CHECK(health.is_suspect());
  health.on_running(at(6000), at(9001));
  CHECK_FALSE(health.is_suspect());
  CHECK(health.has_elevated_failure_rate());
}

TEST_CASE("a run that was ordered before a leaf became suspect is no trial run") {
  LeafHealth health = suspect_leaf(3000);
  health.on_running(at(2999), at(60000));
  CHECK(health.is_suspect());
}

TEST_CASE("a trial run that lasts does not clear a leaf where runs have stalled") {
  LeafHealth health;
  for (const char* job : {"a", "b", "c"}) health.on_stall(job, at(0), at(3000));
  health.on_start(at(6000));
  health.on_running(at(6000), at(60000));
  CHECK(health.is_suspect());
  CHECK_FALSE(health.is_ejected(at(60000)));
}

TEST_CASE("runs ordered before a leaf's failures don't clear it when they succeed") {
  LeafHealth health;
  health.on_failure("a", at(100), at(200));
  health.on_success(at(50));
  health.on_failure("b", at(120), at(210));
  health.on_success(at(60));
  health.on_failure("c", at(130), at(220));
  CHECK(health.is_ejected(at(300)));
  CHECK(health.has_high_failure_rate());
  health.on_success(at(90));
  CHECK(health.is_suspect());
  health.on_success(at(3000));
  CHECK_FALSE(health.is_suspect());
}

TEST_CASE("a leaf that fails many runs, though not in a row, has a high failure rate") {
  LeafHealth health;
  for (int i = 0; i < 30; ++i) {
    health.on_failure("job" + std::to_string(i), at(i), at(i));
    health.on_success(at(i + 1));
  }
  CHECK_FALSE(health.is_suspect());
  CHECK(health.has_high_failure_rate());
  for (int i = 100; i < 130; ++i) health.on_success(at(i));
  CHECK_FALSE(health.has_elevated_failure_rate());
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
