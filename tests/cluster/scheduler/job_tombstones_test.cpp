#include "cluster/scheduler/job_tombstones.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster::test {
namespace {

using scheduling::JobTombstones;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr std::uint64_t kVersion = 7;

JobLookup confirm_unknown(SchedulerHarness& harness, std::uint64_t version) {
  return harness.scheduler->confirm_unknown(kJob, version, harness.time(), harness.wall());
}

TEST_CASE("a job that was unknown is rejected as far as it was routed by an earlier configuration") {
  SchedulerHarness harness;
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, kVersion - 1));
  const JobLookup result = confirm_unknown(harness, kVersion);
  CHECK(result.knowledge == JobKnowledge::unknown);
  CHECK(harness.scheduler->rejects_submission(kJob, 0));
  CHECK(harness.scheduler->rejects_submission(kJob, kVersion - 1));
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, kVersion));
  CHECK_FALSE(harness.scheduler->rejects_submission("another job", 0));
}

TEST_CASE("a tombstone is to be durable before it is relied on, and the next leader restores it") {
  SchedulerHarness harness;
  const JobLookup first = confirm_unknown(harness, kVersion);
  REQUIRE(first.durable_after > 0);
  CHECK(confirm_unknown(harness, kVersion).durable_after == first.durable_after);
  harness.make_durable_and_plan();
  CHECK(confirm_unknown(harness, kVersion - 1).durable_after == 0);
  SchedulerHarness successor(2, harness.entries());
  CHECK(successor.scheduler->rejects_submission(kJob, kVersion - 1));
  CHECK(confirm_unknown(successor, kVersion).durable_after == 0);
}

TEST_CASE("the version of a tombstone is never lowered") {
  SchedulerHarness harness;
  confirm_unknown(harness, kVersion);
  confirm_unknown(harness, kVersion - 3);
  CHECK(harness.scheduler->rejects_submission(kJob, kVersion - 1));
}

TEST_CASE("a known job has no tombstone, and is known for certain once it is durable") {
  SchedulerHarness harness;
  const SubmitResult submitted = harness.submit(kJob, single_stage_job(1));
  const JobLookup result = confirm_unknown(harness, kVersion);
  CHECK(result.knowledge == JobKnowledge::known);
  CHECK(result.durable_after == submitted.durable_after);
  harness.make_durable_and_plan();
  CHECK(confirm_unknown(harness, kVersion).durable_after == 0);
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, 0));
}

TEST_CASE("a tombstone and its record are removed once nobody has asked for the retention time") {
  SchedulerHarness harness;
  confirm_unknown(harness, kVersion);
  harness.make_durable_and_plan();
  const std::size_t records = harness.records.size();
  harness.now_ms += JobTombstones::kRetention.count() - 1;
  confirm_unknown(harness, kVersion);
  harness.now_ms += JobTombstones::kRetention.count() - 1;
  harness.make_durable_and_plan();
  CHECK(harness.scheduler->rejects_submission(kJob, 0));
  harness.now_ms += 1;
  harness.make_durable_and_plan();
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, 0));
  CHECK(harness.records.size() + 1 == records);
}

TEST_CASE("beyond the limit nothing is promised") {
  SchedulerHarness harness;
  for (std::size_t number = 0; number < JobTombstones::kMaxTombstones; ++number)
    harness.scheduler->confirm_unknown(std::to_string(number), kVersion, harness.time(), harness.wall());
  CHECK(confirm_unknown(harness, kVersion).knowledge == JobKnowledge::undecided);
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, 0));
}

}  // namespace
}  // namespace winchhall::cluster::test
