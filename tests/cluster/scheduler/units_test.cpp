// The scheduler's small parts by themselves.
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "cluster/scheduler/job_table.hpp"
#include "cluster/scheduler/job_validation.hpp"
#include "cluster/scheduler/leaf_registry.hpp"
#include "cluster/scheduler/record_codec.hpp"
#include "cluster/scheduler/wall_clock.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

TimePoint at(std::int64_t ms) { return TimePoint(Millis(ms)); }

TEST_CASE("task names are read as they are written") {
  TaskName name{"5c0e7a21d94b36f8", 3, 1, 17};
  CHECK(format_task_name(name) == "5c0e7a21d94b36f8.3.1.17");
  CHECK(parse_task_name("5c0e7a21d94b36f8.3.1.17").value() == name);
  for (const char* bad :
       {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.-3", "a.1.2.99999999999", "a.1.2.", "a.1..3"})
    CHECK_FALSE(parse_task_name(bad));
}

TEST_CASE("the least cost is kept and ties are broken evenly") {
  std::mt19937_64 random(7);
  std::map<int, int> kept;
  for (int i = 0; i < 3000; ++i) {
    placement::LeastCost<int> choice;
    CHECK(choice.empty());
    choice.offer(1, 5, random);
    choice.offer(2, 3, random);
    choice.offer(3, 3, random);
    choice.offer(4, 3, random);
    choice.offer(5, 1, random, 1);
    ++kept[choice.best()];
  }
  CHECK(kept.size() == 3);
  for (int candidate : {2, 3, 4}) CHECK(kept[candidate] > 850);
}

TEST_CASE("the time of day follows jumps only once they have lasted") {
  WallClock clock;
  clock.observe(at(1000), 50000);
  CHECK(clock.at(at(2000)) == 51000);
  clock.observe(at(2000), 51100);
  CHECK(clock.at(at(2000)) == 51100);
  clock.observe(at(3000), 57100);
  clock.observe(at(17000), 71100);
  CHECK(clock.at(at(17000)) == 66100);
  clock.observe(at(18100), 72200);
  CHECK(clock.at(at(18100)) == 72200);
  CHECK(clock.when(72300) == at(18200));
}

TEST_CASE("reports that are older than one that was taken are dropped") {
  ReportDeduplicator order;
  CHECK(order.accept(11, 1));
  CHECK_FALSE(order.accept(11, 1));
  CHECK(order.accept(11, 5));
  CHECK_FALSE(order.accept(11, 4));
  CHECK(order.accept(12, 1));
  CHECK_FALSE(order.accept(11, 6));
  CHECK_FALSE(order.accept(11, 8));
  CHECK(order.accept(11, 9));
  CHECK(order.accept(12, 5));
}

TEST_CASE("jobs that can't be are refused with a reason") {
  wire::JobSpec good;
  good.add_stages()->set_count(2);
  good.add_stages()->set_count(1);
  good.mutable_stages(1)->add_depends_on(0);
  CHECK(validate_job("a", good));
  wire::JobSpec spec;
  CHECK_FALSE(validate_job("a", spec));
  CHECK_FALSE(validate_job("", good));
  spec = good;
  spec.mutable_stages(0)->set_count(0);
  CHECK_FALSE(validate_job("a", spec));
  spec.mutable_stages(0)->set_count(10001);
  CHECK_FALSE(validate_job("a", spec));
  spec = good;
  spec.mutable_stages(1)->add_depends_on(1);
  CHECK_FALSE(validate_job("a", spec));
  spec = good;
  spec.set_spec(std::string(4001, 'x'));
  CHECK_FALSE(validate_job("a", spec));
}

TEST_CASE("progress comes back from its record as it was") {
  wire::JobSpec spec;
  spec.set_repeat_count(4);
  spec.add_stages()->set_count(3);
  spec.add_stages()->set_count(2);
  JobTable jobs;
  Job& job = jobs.add("a", spec, {});
  for (std::uint32_t repeat = 0; repeat < 4; ++repeat) jobs.open_repeat(job, repeat, at(0));
  job.repeats[0].done = true;
  job.repeats[1].done = true;
  job.repeats[3].done = true;
  StageInstance& first = job.repeats[2].stages[0];
  for (Task& task : first.tasks) task.done = true;
  first.done_count = 3;
  Task& task = job.repeats[2].stages[1].tasks[1];
  task.failed_runs = {4, 9};
  task.saved = {"text", 9};

  std::vector<ShardEntry> entries{{"job/a", encode_job(job)},
                                  {"progress/a", encode_progress(job)},
                                  {"progress/b", encode_progress(job)},
                                  {"worker/i-1", encode_worker("i-1", "node")},
                                  {"job/c", "\xff\xff"}};
  RestoredState state = decode_records(entries);
  REQUIRE(state.jobs.size() == 1);
  CHECK(state.stray_keys == std::vector<std::string>{"progress/b"});
  REQUIRE(state.workers.size() == 1);
  CHECK(state.workers[0].node_name() == "node");
  const wire::ProgressRecord& progress = state.jobs[0].progress;
  CHECK(begun_in(progress) == 4);
  CHECK(repeat_done_in(progress, 0));
  CHECK(repeat_done_in(progress, 1));
  CHECK_FALSE(repeat_done_in(progress, 2));
  CHECK(repeat_done_in(progress, 3));

  JobTable restored;
  Job& again = restored.add("a", spec, {});
  Repeat& opened = restored.open_repeat(again, 2, at(0));
  apply_progress(progress, 2, opened);
  for (const Task& done : opened.stages[0].tasks) CHECK(done.done);
  CHECK_FALSE(opened.stages[1].tasks[0].done);
  const Task& failed = opened.stages[1].tasks[1];
  CHECK(failed.failed_runs == std::vector<RunNumber>{4, 9});
  CHECK(failed.saved.text == "text");
  CHECK(failed.saved.run == 9);
  CHECK(failed.last_run == 9);
}

TEST_CASE("a leaf that fails what several jobs start there is set aside and tried again") {
  LeafHealth health;
  health.failed("a", at(0), at(0));
  health.failed("a", at(0), at(0));
  health.failed("b", at(0), at(0));
  CHECK_FALSE(health.aside(at(0)));
  health.failed("c", at(0), at(0));
  CHECK(health.aside(at(1000)));
  CHECK_FALSE(health.aside(at(2500)));
  health.started();
  CHECK(health.aside(at(2500)));
  health.failed("d", at(2500), at(2600));
  CHECK(health.aside(at(6000)));
  CHECK_FALSE(health.aside(at(7000)));
  health.started();
  health.succeeded(at(7000));
  CHECK_FALSE(health.suspect());
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
