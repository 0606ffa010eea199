// Who waits and who gives way: the order of waiting stages, preemption for small tasks, leaves that fail.
#include <catch2/catch.hpp>

#include "cluster/scheduler/leaf_health.hpp"
#include "cluster/scheduler/stage_queue.hpp"
#include "tests/cluster/scheduler/scheduler_script.hpp"

namespace winchhall::cluster {
namespace {

using test::add_end;
using test::add_running;
using test::one_stage;
using test::Script;

constexpr std::uint32_t kUrgent = 0;
constexpr std::uint32_t kLater = 2;

wire::JobSpec filling(std::uint32_t count, bool checkpoints) {
  wire::JobSpec spec = one_stage(count);
  spec.mutable_stages(0)->set_estimated_ms(20000);
  spec.mutable_stages(0)->set_checkpoints(checkpoints);
  return spec;
}

// Fills the one leaf with work of little urgency and reports it as running.
wire::WorkerReport fill(Script& script, const wire::JobSpec& spec) {
  script.tell(script.report_of("i-1"));
  script.submit("low", spec, 2, kLater);
  script.settle();
  wire::WorkerReport running = script.report_of("i-1");
  wire::WorkerOrders orders = script.orders("i-1");
  REQUIRE(orders.starts_size() == 8);
  for (const wire::StartOrder& start : orders.starts()) add_running(running, start);
  running.set_orders_received(orders.revision());
  running.set_orders_settled(orders.revision());
  script.tell(running);
  return running;
}

// The leaf says the same again, a while later.
void repeat(Script& script, wire::WorkerReport report, std::int64_t later_ms) {
  script.now_ms += later_ms;
  report.set_report_number(script.report_of("i-1").report_number());
  script.tell(report);
}

TEST_CASE("as many saved runs of less priority give way as small tasks wait") {
  Script script;
  const wire::WorkerReport running = fill(script, filling(8, true));
  script.submit("high", one_stage(3), 2, kUrgent);
  script.settle();
  CHECK(script.orders("i-1").stops_size() == 0);  // a short wait is borne
  repeat(script, running, 100);
  CHECK(script.orders("i-1").stops_size() == 3);
  repeat(script, running, 100);
  CHECK(script.orders("i-1").stops_size() == 3);  // what is on its way counts
}

TEST_CASE("work that is not saved, and tasks that last, give way only after a longer wait") {
  for (const bool lasts : {false, true}) {
    Script script;
    wire::JobSpec spec = filling(8, false);
    spec.mutable_stages(0)->set_long_running(lasts);
    const wire::WorkerReport running = fill(script, spec);
    script.submit("high", one_stage(2), 2, kUrgent);
    script.settle();
    repeat(script, running, 200);
    CHECK(script.orders("i-1").stops_size() == 0);
    repeat(script, running, 400);
    CHECK(script.orders("i-1").stops_size() == 2);
  }
}

TEST_CASE("work of the same priority never gives way") {
  Script script;
  const wire::WorkerReport running = fill(script, filling(8, true));
  script.submit("same", one_stage(3), 2, kLater);
  script.settle();
  for (int i = 0; i < 10; ++i) repeat(script, running, 200);
  CHECK(script.orders("i-1").stops_size() == 0);
}

TEST_CASE("a stage that can still end in time goes before one that can't, and that before a worthless one") {
  using namespace scheduling;
  const auto at = [](std::int64_t ms) { return TimePoint(Millis(ms)); };
  StageInstance early;
  StageInstance late;
  early.key.start_by = at(1000);
  early.late_after = at(1500);
  early.worthless_after = at(4000);
  late.key.start_by = at(2000);
  late.key.sequence = 1;
  late.late_after = at(2500);
  late.worthless_after = at(9000);
  StageQueue queue;
  queue.add(early);
  queue.add(late);
  CHECK(queue.stages().begin()->second == &early);
  queue.update_deadline_status(early, at(1600));
  queue.update_deadline_status(late, at(1600));
  CHECK(queue.stages().begin()->second == &late);
  queue.update_deadline_status(late, at(2600));
  CHECK(queue.stages().begin()->second == &early);  // both late
  queue.update_deadline_status(early, at(4001));
  CHECK(queue.stages().begin()->second == &late);
  late.key.priority = 1;
  CHECK(early.key < late.key);  // priority first
}

TEST_CASE("runs that began before a leaf turned bad don't clear it when they end well") {
  using scheduling::LeafHealth;
  const auto at = [](std::int64_t ms) { return TimePoint(Millis(ms)); };
  LeafHealth health;
  health.failed("a", at(100), at(200));
  health.succeeded(at(50));
  health.failed("b", at(120), at(210));
  health.succeeded(at(60));
  health.failed("c", at(130), at(220));
  CHECK(health.aside(at(300)));
  CHECK(health.unsound());
  health.succeeded(at(90));
  CHECK(health.suspect());
  health.succeeded(at(3000));
  CHECK_FALSE(health.suspect());
}

TEST_CASE("a leaf that fails a good part of what it starts is unsound though none fail in a row") {
  using scheduling::LeafHealth;
  const auto at = [](std::int64_t ms) { return TimePoint(Millis(ms)); };
  LeafHealth health;
  for (int i = 0; i < 30; ++i) {
    health.failed("job" + std::to_string(i), at(i), at(i));
    health.succeeded(at(i + 1));
  }
  CHECK_FALSE(health.suspect());
  CHECK(health.unsound());
  for (int i = 100; i < 130; ++i) health.succeeded(at(i));
  CHECK_FALSE(health.doubtful());
}

// The one task of job "a" has failed once of the two times it may, on leaf i-1.
wire::WorkerReport fail_once(Script& script) {
  script.submit("a", one_stage(1), 2, kUrgent);
  script.settle();
  const wire::WorkerOrders orders = script.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  wire::WorkerReport failed = script.report_of("i-1");
  add_end(failed, 1, orders.starts(0), wire::END_FAILED);
  failed.set_orders_received(orders.revision());
  failed.set_orders_settled(orders.revision());
  script.tell(failed);
  return failed;
}

TEST_CASE("a task has its last try where it failed only if no other leaf may take it") {
  Script script;
  script.tell(script.report_of("i-1"));
  fail_once(script);
  CHECK(script.orders("i-1").starts_size() == 1);
}

TEST_CASE("a task waits for a leaf where it has not failed to have its last try, but not for long") {
  Script script;
  script.tell(script.report_of("i-2"));
  script.submit("full", filling(8, false), 2, kUrgent);
  script.settle();
  const wire::WorkerOrders orders = script.orders("i-2");
  REQUIRE(orders.starts_size() == 8);
  wire::WorkerReport full = script.report_of("i-2");
  for (const wire::StartOrder& start : orders.starts()) add_running(full, start);
  script.tell(script.report_of("i-1"));
  wire::WorkerReport failed = fail_once(script);
  const auto pass = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      script.now_ms += 200;
      full.set_report_number(script.report_of("i-2").report_number());
      failed.set_report_number(script.report_of("i-1").report_number());
      script.tell(full);
      script.tell(failed);
    }
  };
  pass(8);
  CHECK(script.orders("i-1").starts_size() == 0);
  pass(3);
  CHECK(script.orders("i-1").starts_size() == 1);
}

}  // namespace
}  // namespace winchhall::cluster
