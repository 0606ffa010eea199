#include "cluster/scheduler/submission_fences.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster::test {
namespace {

using scheduling::SubmissionFences;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr std::uint64_t kVersion = 7;

FenceResult fence(SchedulerHarness& harness, std::uint64_t version) {
  return harness.scheduler->fence_submissions(kJob, version, harness.time(), harness.wall());
}

TEST_CASE("a job that was unknown is rejected as far as it was routed by an earlier configuration") {
  SchedulerHarness harness;
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, kVersion - 1));
  const FenceResult result = fence(harness, kVersion);
  CHECK(result.knowledge == JobKnowledge::unknown);
  CHECK(harness.scheduler->rejects_submission(kJob, 0));
  CHECK(harness.scheduler->rejects_submission(kJob, kVersion - 1));
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, kVersion));
  CHECK_FALSE(harness.scheduler->rejects_submission("another job", 0));
}

TEST_CASE("a fence is to be durable before it is relied on, and the next leader restores it") {
  SchedulerHarness harness;
  const FenceResult first = fence(harness, kVersion);
  REQUIRE(first.durable_after > 0);
  CHECK(fence(harness, kVersion).durable_after == first.durable_after);
  harness.make_durable_and_plan();
  CHECK(fence(harness, kVersion - 1).durable_after == 0);
  SchedulerHarness successor(2, harness.entries());
  CHECK(successor.scheduler->rejects_submission(kJob, kVersion - 1));
  CHECK(fence(successor, kVersion).durable_after == 0);
}

TEST_CASE("a fence is never lowered") {
  SchedulerHarness harness;
  fence(harness, kVersion);
  fence(harness, kVersion - 3);
  CHECK(harness.scheduler->rejects_submission(kJob, kVersion - 1));
}

TEST_CASE("a known job is not fenced, and is known for certain once it is durable") {
  SchedulerHarness harness;
  const SubmitResult submitted = harness.submit(kJob, single_stage_job(1));
  const FenceResult result = fence(harness, kVersion);
  CHECK(result.knowledge == JobKnowledge::known);
  CHECK(result.durable_after == submitted.durable_after);
  harness.make_durable_and_plan();
  CHECK(fence(harness, kVersion).durable_after == 0);
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, 0));
}

TEST_CASE("a fence and its record are removed once nobody has asked for the retention time") {
  SchedulerHarness harness;
  fence(harness, kVersion);
  harness.make_durable_and_plan();
  const std::size_t records = harness.records.size();
  harness.now_ms += SubmissionFences::kRetention.count() - 1;
  fence(harness, kVersion);
  harness.now_ms += SubmissionFences::kRetention.count() - 1;
  harness.make_durable_and_plan();
  CHECK(harness.scheduler->rejects_submission(kJob, 0));
  harness.now_ms += 1;
  harness.make_durable_and_plan();
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, 0));
  CHECK(harness.records.size() + 1 == records);
}

TEST_CASE("beyond the limit nothing is promised") {
  SchedulerHarness harness;
  for (std::size_t number = 0; number < SubmissionFences::kMaxFences; ++number)
    harness.scheduler->fence_submissions(std::to_string(number), kVersion, harness.time(), harness.wall());
  CHECK(fence(harness, kVersion).knowledge == JobKnowledge::undecided);
  CHECK_FALSE(harness.scheduler->rejects_submission(kJob, 0));
}

}  // namespace
}  // namespace winchhall::cluster::test
