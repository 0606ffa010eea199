// An agent relays job requests; each result is definite, or reported as in doubt.
#include <catch2/catch.hpp>

#include "tests/cluster/agent/agent_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

// An agent that has the configuration and knows the leaders.
struct RelayFixture : AgentFixture {
  RelayFixture() {
    start_agent();
    runtime.run_for(Millis(500));
  }
};

}  // namespace

TEST_CASE_METHOD(RelayFixture, "a request is relayed to the leader and its reply returned") {
  controls[0]->on_job = answer_with(wire::JOB_OK);
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(answer) == wire::JOB_OK);
  CHECK(controls[0]->jobs.size() == 1);
}

TEST_CASE_METHOD(RelayFixture, "a redirect to the leader is followed") {
  controls[0]->on_job = answer_with(wire::JOB_NOT_LEADER, address_of(2));
  controls[2]->on_job = answer_with(wire::JOB_OK);
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(answer) == wire::JOB_OK);
}

TEST_CASE_METHOD(RelayFixture, "a redirect loop is not followed forever") {
  controls[0]->on_job = answer_with(wire::JOB_NOT_LEADER, address_of(2));
  controls[2]->on_job = answer_with(wire::JOB_NOT_LEADER, address_of(0));
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(2900));
  // A duplicate of the request may still reach a node that leads by then.
  CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
  CHECK(controls[0]->jobs.size() + controls[2]->jobs.size() <= 25);
}

TEST_CASE_METHOD(RelayFixture, "a rejection after a redirect is in doubt") {
  controls[0]->on_job = answer_with(wire::JOB_NOT_LEADER, address_of(2));
  controls[2]->on_job = answer_with(wire::JOB_REJECTED);
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
}

TEST_CASE_METHOD(RelayFixture, "a duplicate request is relayed once and answered twice") {
  ReplyCallback pending_reply;
  controls[0]->on_job = [&](const wire::JobRequest&, const ReplyCallback& reply) { pending_reply = reply; };
  const auto first = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(50));
  const auto second = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(50));
  REQUIRE(controls[0]->jobs.size() == 1);
  wire::Envelope success;
  success.mutable_job_reply()->set_outcome(wire::JOB_OK);
  pending_reply(success);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(first) == wire::JOB_OK);
  CHECK(outcome_of(second) == wire::JOB_OK);
}

TEST_CASE_METHOD(RelayFixture, "a request that joined another one keeps its own deadline") {
  controls[0]->hang();
  const auto first = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(1500));
  const auto second = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(1400));
  CHECK(outcome_of(first) == wire::JOB_IN_DOUBT);
  REQUIRE_FALSE(second->envelope);
  set_leader("first", 2, address_of(3));
  controls[3]->on_job = answer_with(wire::JOB_OK);
  runtime.run_for(Millis(300));
  CHECK(outcome_of(second) == wire::JOB_OK);
}

TEST_CASE_METHOD(RelayFixture, "a submit without any leader is rejected before its deadline") {
  const auto answer = job(wire::JOB_SUBMIT, "unled", "queue/new/");
  runtime.run_for(Millis(2200));
  REQUIRE(outcome_of(answer) == wire::JOB_REJECTED);
  CHECK(answer->envelope->job_reply().retry_after_ms() == 500);
}

TEST_CASE_METHOD(RelayFixture, "a submit that a leader may have accepted is in doubt") {
  controls[0]->hang();
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(2900));
  CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
}

TEST_CASE_METHOD(RelayFixture, "a rejection after an attempt without a reply is in doubt") {
  unsigned attempts = 0;
  controls[0]->on_job = [&](const wire::JobRequest& request, const ReplyCallback& reply) {
    if (++attempts > 1) answer_with(wire::JOB_REJECTED)(request, reply);
  };
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(2900));
  CHECK(attempts == 2);
  CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
}

TEST_CASE_METHOD(RelayFixture, "a duplicate of a rejected submission reaches no leader, a new attempt does") {
  wire::Envelope request;
  auto& submission = *request.mutable_job_request();
  submission.set_verb(wire::JOB_SUBMIT);
  submission.set_service("first");
  submission.set_id("5c0e7a21d94b36f8");
  submission.mutable_terms()->set_queue("queue/a/");
  submission.set_deadline_ms(2800);
  submission.set_origin(7);
  submission.set_number(1);
  controls[0]->on_job = answer_with(wire::JOB_REJECTED);
  const auto first = send(request);
  runtime.run_for(Millis(10));
  REQUIRE(outcome_of(first) == wire::JOB_REJECTED);
  set_leader("first", 2, address_of(3));  // this one has capacity
  controls[3]->on_job = answer_with(wire::JOB_OK);
  runtime.run_for(Millis(300));
  const auto duplicate = send(request);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(duplicate) == wire::JOB_REJECTED);
  CHECK(controls[3]->jobs.empty());
  submission.set_number(2);
  const auto new_attempt = send(request);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(new_attempt) == wire::JOB_OK);
  REQUIRE(controls[3]->jobs.size() == 1);
  CHECK(controls[3]->jobs[0].origin() == 7);
  CHECK(controls[3]->jobs[0].number() == 2);
}

TEST_CASE_METHOD(RelayFixture, "a rejection of the first attempt is passed on") {
  controls[0]->on_job = answer_with(wire::JOB_REJECTED);
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(answer) == wire::JOB_REJECTED);
}

TEST_CASE_METHOD(RelayFixture, "a request that waits for a lost leader goes to the new one at once") {
  controls[0]->hang();
  controls[3]->on_job = answer_with(wire::JOB_OK);
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(200));
  for (int number = 1; number < 5; ++number) controls[number]->set_leader("first", 2, address_of(3));
  runtime.run_for(Millis(250));
  CHECK(outcome_of(answer) == wire::JOB_OK);
}

TEST_CASE_METHOD(RelayFixture, "the late success of a superseded attempt counts") {
  ReplyCallback late;
  controls[0]->on_job = [&](const wire::JobRequest&, const ReplyCallback& reply) { late = reply; };
  const auto answer = job(wire::JOB_SUBMIT);
  runtime.run_for(Millis(100));
  set_leader("first", 2, address_of(3));
  runtime.run_for(Millis(150));
  REQUIRE(controls[3]->jobs.size() == 1);
  wire::Envelope success;
  success.mutable_job_reply()->set_outcome(wire::JOB_OK);
  late(success);
  runtime.run_for(Millis(10));
  CHECK(outcome_of(answer) == wire::JOB_OK);
}

TEST_CASE_METHOD(RelayFixture, "a job that is not found is searched for in every other service") {
  controls[0]->on_job = answer_with(wire::JOB_NOT_FOUND);
  SECTION("found there") {
    controls[1]->on_job = answer_with(wire::JOB_OK);
    const auto answer = job(wire::JOB_QUERY);
    runtime.run_for(Millis(10));
    CHECK(outcome_of(answer) == wire::JOB_OK);
    REQUIRE(controls[1]->jobs.size() == 1);
    CHECK(controls[1]->jobs[0].service() == "second");
  }
  SECTION("found nowhere") {
    controls[1]->on_job = answer_with(wire::JOB_NOT_FOUND);
    const auto answer = job(wire::JOB_CANCEL);
    runtime.run_for(Millis(10));
    CHECK(outcome_of(answer) == wire::JOB_NOT_FOUND);
  }
  SECTION("another service does not answer") {
    const auto answer = job(wire::JOB_QUERY);
    runtime.run_for(Millis(2900));
    CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
  }
}

TEST_CASE_METHOD(RelayFixture, "a submit to a moved queue queries its previous service first") {
  controls[1]->on_job = answer_with(wire::JOB_OK);
  set_configuration(2, {{"/a/", "second"}, {"/b/", "first"}});
  runtime.run_for(Millis(200));
  SECTION("the previous service knows the job") {
    controls[0]->on_job = answer_with(wire::JOB_OK);
    const auto answer = job(wire::JOB_SUBMIT, "second");
    runtime.run_for(Millis(10));
    CHECK(outcome_of(answer) == wire::JOB_OK);
    CHECK(controls[1]->jobs.empty());
    REQUIRE(controls[0]->jobs.size() == 1);
    CHECK(controls[0]->jobs[0].verb() == wire::JOB_QUERY);
  }
  SECTION("the previous service does not know it") {
    controls[0]->on_job = answer_with(wire::JOB_NOT_FOUND);
    const auto answer = job(wire::JOB_SUBMIT, "second");
    runtime.run_for(Millis(10));
    CHECK(outcome_of(answer) == wire::JOB_OK);
    REQUIRE(controls[1]->jobs.size() == 1);
    CHECK(controls[1]->jobs[0].verb() == wire::JOB_SUBMIT);
  }
  SECTION("the previous service does not answer") {
    const auto answer = job(wire::JOB_SUBMIT, "second");
    runtime.run_for(Millis(2900));
    CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
    CHECK(controls[1]->jobs.empty());
  }
}

TEST_CASE_METHOD(RelayFixture, "retries of many requests at once stay within the budget") {
  controls[0]->hang();
  for (int count = 0; count < 200; ++count) job(wire::JOB_SUBMIT);
  const auto before = runtime.calls_made;
  runtime.run_for(Millis(2900));
  const auto extra = runtime.calls_made - before;
  // The ratio of the 200 first attempts, three seconds of the minimum rate, the unused budget, and the
  // agent's own polls.
  CHECK(extra <= 40 + 60 + 30 + 60);
}
