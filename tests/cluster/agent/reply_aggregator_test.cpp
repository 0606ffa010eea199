// The replies of several services are combined into one result.
#include "cluster/agent/reply_aggregator.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace winchhall::cluster;

namespace {

wire::JobReply reply_of(wire::JobOutcome outcome) {
  wire::JobReply reply;
  reply.set_outcome(outcome);
  return reply;
}

// Collects the results of an aggregator that expects three replies.
struct AggregatorFixture {
  std::vector<wire::JobOutcome> results;
  ReplyAggregator aggregator{3, [this](const wire::JobReply& reply) { results.push_back(reply.outcome()); }};

  void add(wire::JobOutcome outcome) { aggregator.add(reply_of(outcome)); }
};

using Outcomes = std::vector<wire::JobOutcome>;

}  // namespace

TEST_CASE_METHOD(AggregatorFixture, "the first success is the result at once, and the only one") {
  add(wire::JOB_NOT_FOUND);
  CHECK(results.empty());
  add(wire::JOB_OK);
  CHECK(results == Outcomes{wire::JOB_OK});
  add(wire::JOB_OK);
  CHECK(results == Outcomes{wire::JOB_OK});
}

TEST_CASE_METHOD(AggregatorFixture, "a job is not found only if every service has replied so") {
  add(wire::JOB_NOT_FOUND);
  add(wire::JOB_NOT_FOUND);
  CHECK(results.empty());
  add(wire::JOB_NOT_FOUND);
  CHECK(results == Outcomes{wire::JOB_NOT_FOUND});
}

TEST_CASE_METHOD(AggregatorFixture, "an unclear reply without any success is in doubt") {
  add(wire::JOB_NOT_FOUND);
  add(wire::JOB_IN_DOUBT);
  add(wire::JOB_NOT_FOUND);
  CHECK(results == Outcomes{wire::JOB_IN_DOUBT});
}

// Guards against a start of a cancelled job at a service that the cancelling edge did not know yet.
TEST_CASE_METHOD(AggregatorFixture, "a rejection by one service counts if no other reply is in doubt") {
  add(wire::JOB_NOT_FOUND);
  add(wire::JOB_REJECTED);
  SECTION("and the job is unknown elsewhere") {
    add(wire::JOB_NOT_FOUND);
    CHECK(results == Outcomes{wire::JOB_REJECTED});
  }
  SECTION("and another reply is unclear") {
    add(wire::JOB_IN_DOUBT);
    CHECK(results == Outcomes{wire::JOB_IN_DOUBT});
  }
  SECTION("and another service knows the job") {
    add(wire::JOB_OK);
    CHECK(results == Outcomes{wire::JOB_OK});
  }
}
