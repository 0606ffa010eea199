#include "cluster/scheduler/record_codec.hpp"

#include <catch2/catch.hpp>

#include "cluster/scheduler/job_table.hpp"

namespace winchhall::cluster::scheduling {
namespace {

TimePoint at(std::int64_t ms) { return TimePoint(Millis(ms)); }

TEST_CASE("progress is restored from its record") {
  wire::JobSpec spec;
  spec.set_repeat_count(4);
  spec.add_stages()->set_count(3);
  spec.add_stages()->set_count(2);
  JobTable jobs;
  Job& job = jobs.add("a", spec, {});
  for (std::uint32_t repeat = 0; repeat < 4; ++repeat) jobs.add_repeat(job, repeat, at(0));
  job.repeats[0].done = true;
  job.repeats[1].done = true;
  job.repeats[3].done = true;
  StageInstance& first = job.repeats[2].stages[0];
  for (Task& task : first.tasks) task.done = true;
  first.done_count = 3;
  Task& task = job.repeats[2].stages[1].tasks[1];
  task.failed_runs = {4, 9};
  task.checkpoint = {"text", 9};

  std::vector<ShardEntry> entries{{"job/a", encode_job(job)},
                                  {"progress/a", encode_progress(job)},
                                  {"progress/b", encode_progress(job)},
                                  {"worker/i-1", encode_worker("i-1", "node")},
                                  {"job/c", "\xff\xff"}};
  RestoredState state = decode_records(entries);
  REQUIRE(state.jobs.size() == 1);
  CHECK(state.orphaned_keys == std::vector<std::string>{"progress/b"});
  REQUIRE(state.workers.size() == 1);
  CHECK(state.workers[0].node_name() == "node");
  const wire::ProgressRecord& progress = state.jobs[0].progress;
  CHECK(count_started_repeats(progress) == 4);
  CHECK(is_repeat_done(progress, 0));
  CHECK(is_repeat_done(progress, 1));
  CHECK_FALSE(is_repeat_done(progress, 2));
  CHECK(is_repeat_done(progress, 3));

  JobTable restored;
  Job& restored_job = restored.add("a", spec, {});
  Repeat& restored_repeat = restored.add_repeat(restored_job, 2, at(0));
  apply_progress(progress, 2, restored_repeat);
  for (const Task& done_task : restored_repeat.stages[0].tasks) CHECK(done_task.done);
  CHECK_FALSE(restored_repeat.stages[1].tasks[0].done);
  const Task& failed_task = restored_repeat.stages[1].tasks[1];
  CHECK(failed_task.failed_runs == std::vector<RunNumber>{4, 9});
  CHECK(failed_task.checkpoint.text == "text");
  CHECK(failed_task.checkpoint.run == 9);
  CHECK(failed_task.last_run == 9);
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
