// Job submissions to a leader without free capacity. A duplicate of a rejected message, which arrives when
// there is capacity again, must not be accepted.
#include "cluster/control/job_request_endpoint.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "tests/cluster/scheduler/scheduler_harness.hpp"
#include "tests/cluster/support/fake_runtime.hpp"

namespace winchhall::cluster {
namespace {

using test::apply_changes;
using test::RecordMap;
using test::shard_entries;
using Message = std::pair<std::uint64_t, std::uint64_t>;  // origin and number

// The endpoint of a service whose scheduler accepts at most three jobs. The test can lose and regain the
// lease within the same process.
struct EndpointFixture {
  static constexpr std::uint32_t kMaxLiveJobs = 3;

  testing::FakeRuntime runtime;
  JobRequestEndpoint endpoint{runtime, "s"};
  RecordMap records;
  std::unique_ptr<Scheduler> scheduler;
  std::uint64_t epoch = 0;
  std::uint64_t routed_submissions = 0;

  EndpointFixture() { lead(); }

  void lead() {
    SchedulerOptions terms;
    terms.service = "s";
    terms.max_live_jobs = kMaxLiveJobs;
    scheduler = make_scheduler(terms, ++epoch, 5);
    scheduler->restore(shard_entries(records), runtime.now(), runtime.wall_clock_ms());
  }
  void lose_lease() {
    endpoint.send_in_doubt_replies({});
    scheduler.reset();
  }
  void make_durable() {
    scheduler->plan(runtime.now(), runtime.wall_clock_ms());
    Scheduler::ChangeBatch changes = scheduler->take_changes();
    if (changes.number == 0) return;
    apply_changes(records, changes.changes);
    scheduler->on_changes_durable(changes.number);
    endpoint.send_durable_replies(changes.number);
  }

  static wire::JobRequest submission(const std::string& id, const Message& message) {
    wire::JobRequest request;
    request.set_verb(wire::JOB_SUBMIT);
    request.set_service("s");
    request.set_id(id);
    *request.mutable_spec() = test::single_stage_job(1);
    request.mutable_terms()->set_queue("q");
    request.set_origin(message.first);
    request.set_number(message.second);
    return request;
  }
  wire::JobOutcome send(const wire::JobRequest& request) {
    wire::JobOutcome outcome = wire::JOB_OUTCOME_NONE;
    endpoint.handle(*scheduler, request,
                    [&outcome](const wire::Envelope& envelope) { outcome = envelope.job_reply().outcome(); });
    make_durable();
    return outcome;
  }
  wire::JobOutcome submit(const std::string& id, const Message& message) {
    return send(submission(id, message));
  }
  wire::JobOutcome cancel(const std::string& id) {
    wire::JobRequest request;
    request.set_verb(wire::JOB_CANCEL);
    request.set_id(id);
    return send(request);
  }
  // Submits a job that was routed by this configuration, with a message of its own.
  wire::JobOutcome submit_routed_by(std::uint64_t version, const std::string& id) {
    wire::JobRequest request = submission(id, {9, ++routed_submissions});
    request.set_configuration_version(version);
    return send(request);
  }
  // An agent with this configuration asks before it hands the job in at another service.
  wire::JobRequest confirming_query(std::uint64_t version, const std::string& id) {
    wire::JobRequest request;
    request.set_verb(wire::JOB_QUERY);
    request.set_id(id);
    request.set_configuration_version(version);
    request.set_confirms_unknown(true);
    return request;
  }
  void fill_capacity() {
    for (std::uint64_t job = 0; job < kMaxLiveJobs; ++job)
      REQUIRE(submit("filler-" + std::to_string(job), {1, job + 1}) == wire::JOB_OK);
  }
};

TEST_CASE_METHOD(EndpointFixture,
                 "a duplicate of a rejected submission is rejected even when there is capacity again") {
  fill_capacity();
  REQUIRE(submit("job", {2, 1}) == wire::JOB_REJECTED);
  cancel("filler-0");
  CHECK(submit("job", {2, 1}) == wire::JOB_REJECTED);
  CHECK(scheduler->state("job") == wire::JOB_UNKNOWN);
}

TEST_CASE_METHOD(EndpointFixture, "a new attempt of the client under the same id is accepted") {
  fill_capacity();
  REQUIRE(submit("job", {2, 1}) == wire::JOB_REJECTED);
  cancel("filler-0");
  CHECK(submit("job", {2, 2}) == wire::JOB_OK);
  CHECK(submit("job", {2, 1}) == wire::JOB_REJECTED);
}

TEST_CASE_METHOD(EndpointFixture, "a rejection remains valid under a later lease of the same process") {
  fill_capacity();
  REQUIRE(submit("job", {2, 1}) == wire::JOB_REJECTED);
  cancel("filler-0");
  lose_lease();
  lead();
  CHECK(submit("job", {2, 1}) == wire::JOB_REJECTED);
}

TEST_CASE_METHOD(EndpointFixture, "a submission that may have been rejected long ago is in doubt") {
  fill_capacity();
  for (std::uint64_t number = 1; number <= 20000; ++number)
    REQUIRE(submit("job-" + std::to_string(number), {2, number}) == wire::JOB_REJECTED);
  cancel("filler-0");
  CHECK(submit("job-1", {2, 1}) == wire::JOB_IN_DOUBT);
  CHECK(scheduler->state("job-1") == wire::JOB_UNKNOWN);
  CHECK(submit("job-1", {2, 20001}) == wire::JOB_OK);
  CHECK(submit("job-1", {2, 1}) == wire::JOB_OK);  // the job is known by now
}

// Guards against a second run: an edge machine that was frozen handed a job in at the former service of a
// queue, after another one had asked there and had then handed it in at the present service.
TEST_CASE_METHOD(EndpointFixture, "a late submission by an earlier configuration is rejected") {
  const bool leader_changes = GENERATE(false, true);
  REQUIRE(send(confirming_query(5, "job")) == wire::JOB_NOT_FOUND);
  if (leader_changes) {
    lose_lease();
    lead();
  }
  CHECK(submit_routed_by(4, "job") == wire::JOB_REJECTED);
  CHECK(submit_routed_by(0, "job") == wire::JOB_REJECTED);
  CHECK(scheduler->state("job") == wire::JOB_UNKNOWN);
  CHECK(submit_routed_by(4, "another job") == wire::JOB_OK);
}

TEST_CASE_METHOD(EndpointFixture, "a job is accepted by the service that its queue has moved back to") {
  REQUIRE(send(confirming_query(5, "job")) == wire::JOB_NOT_FOUND);
  CHECK(submit_routed_by(5, "job") == wire::JOB_OK);
  CHECK(send(confirming_query(6, "job")) == wire::JOB_OK);
  CHECK(submit_routed_by(4, "job") == wire::JOB_OK);  // the job is known by now
}

TEST_CASE_METHOD(EndpointFixture, "an answer that a job is unknown is sent once its tombstone is durable") {
  wire::JobOutcome outcome = wire::JOB_OUTCOME_NONE;
  const auto keep = [&](const wire::Envelope& reply) { outcome = reply.job_reply().outcome(); };
  CHECK(endpoint.handle(*scheduler, confirming_query(5, "job"), keep));
  CHECK(outcome == wire::JOB_OUTCOME_NONE);
  SECTION("if it becomes durable") {
    make_durable();
    CHECK(outcome == wire::JOB_NOT_FOUND);
  }
  SECTION("if the lease is lost before") {
    lose_lease();
    CHECK(outcome == wire::JOB_IN_DOUBT);
  }
}

// Guards against a start of a cancelled job: an edge machine that was frozen handed it in after its cancel
// had been answered with "unknown".
TEST_CASE_METHOD(EndpointFixture, "a job that was cancelled while it was unknown is never accepted") {
  const bool leader_changes = GENERATE(false, true);
  REQUIRE(cancel("job") == wire::JOB_NOT_FOUND);
  if (leader_changes) {
    lose_lease();
    lead();
  }
  CHECK(submit_routed_by(4, "job") == wire::JOB_REJECTED);
  CHECK(cancel("job") == wire::JOB_NOT_FOUND);
  CHECK(scheduler->state("job") == wire::JOB_UNKNOWN);
  // An agent that asks before it hands the job in at the present service of a queue that has moved.
  CHECK(send(confirming_query(5, "job")) == wire::JOB_REJECTED);
  CHECK(submit_routed_by(6, "job") == wire::JOB_REJECTED);
}

TEST_CASE("no message is accepted after it was rejected, however often and late it is duplicated") {
  std::size_t repeated_rejections = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 generator(seed);
    EndpointFixture fixture;
    std::vector<wire::JobRequest> sent;
    std::map<Message, wire::JobOutcome> first_outcome;
    std::map<std::string, bool> ever_accepted;
    std::uint64_t number = 0;
    for (int step = 0; step < 200; ++step) {
      const std::uint64_t choice = generator() % 10;
      if (choice == 0) {
        fixture.lose_lease();
        fixture.lead();
      } else if (choice <= 2) {
        fixture.cancel("job-" + std::to_string(generator() % 12));
      } else {
        const bool is_duplicate = choice <= 6 && !sent.empty();
        const std::string id = "job-" + std::to_string(generator() % 12);
        if (!is_duplicate) sent.push_back(EndpointFixture::submission(id, {1 + generator() % 3, ++number}));
        const wire::JobRequest request = is_duplicate ? sent[generator() % sent.size()] : sent.back();
        const wire::JobOutcome outcome = fixture.send(request);
        const Message message{request.origin(), request.number()};
        const bool is_new = first_outcome.try_emplace(message, outcome).second;
        if (first_outcome[message] == wire::JOB_REJECTED) CHECK(outcome == wire::JOB_REJECTED);
        if (!is_new && outcome == wire::JOB_REJECTED) ++repeated_rejections;
        if (outcome == wire::JOB_OK) ever_accepted[request.id()] = true;
      }
      for (const wire::JobRequest& request : sent) {
        const bool known = fixture.scheduler->state(request.id()) != wire::JOB_UNKNOWN;
        if (known) CHECK(ever_accepted[request.id()]);
      }
    }
  }
  CHECK(repeated_rejections > 1000);
}

}  // namespace
}  // namespace winchhall::cluster
