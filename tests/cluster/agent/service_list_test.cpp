// Before an agent says that a job doesn't exist, it asks all services that a majority of the control group
// lists.
#include <catch2/catch.hpp>

#include "tests/cluster/agent/agent_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

wire::ServiceList complete_list(const std::vector<std::string>& services, std::uint64_t version = 1) {
  wire::ServiceList list;
  list.set_complete(true);
  list.set_configuration_version(version);
  for (const std::string& service : services) list.add_services(service);
  return list;
}

// Replies JOB_OK for the given service, and otherwise that the job isn't known.
ScriptedControl::JobHandler known_by(const std::string& service) {
  return [service](const wire::JobRequest& request, const ReplyCallback& reply) {
    const bool known = request.service() == service;
    answer_with(known ? wire::JOB_OK : wire::JOB_NOT_FOUND)(request, reply);
  };
}

// An agent that has the configuration and knows the leaders of its services, none of which knows a job.
struct ServiceListFixture : AgentFixture {
  ServiceListFixture() {
    for (auto& control : controls) control->on_job = known_by("");
    list_services(complete_list({"first"}));
    start_agent();
    runtime.run_for(Millis(500));
  }
  void list_services(const wire::ServiceList& list) {
    for (auto& control : controls) control->service_list = list;
  }
  unsigned lists_read() const {
    unsigned count = 0;
    for (const auto& control : controls) count += control->lists_read;
    return count;
  }
};

}  // namespace

TEST_CASE_METHOD(ServiceListFixture, "a job that no service knows does not exist") {
  const wire::JobVerb verb = GENERATE(wire::JOB_CANCEL, wire::JOB_QUERY);
  const auto answer = job(verb);
  runtime.run_for(Millis(20));
  CHECK(outcome_of(answer) == wire::JOB_NOT_FOUND);
  CHECK(lists_read() == 1);
}

TEST_CASE_METHOD(ServiceListFixture, "a job that the present service knows needs no list") {
  controls[0]->on_job = known_by("first");
  const auto answer = job(wire::JOB_CANCEL);
  runtime.run_for(Millis(20));
  CHECK(outcome_of(answer) == wire::JOB_OK);
  CHECK(lists_read() == 0);
}

TEST_CASE_METHOD(ServiceListFixture, "a job that another known service knows needs no list") {
  controls[1]->on_job = known_by("second");
  const auto answer = job(wire::JOB_QUERY);
  runtime.run_for(Millis(20));
  CHECK(outcome_of(answer) == wire::JOB_OK);
  CHECK(lists_read() == 0);
}

TEST_CASE_METHOD(ServiceListFixture, "each service is asked once for a job that no service knows") {
  list_services(complete_list({"first", "second"}));
  const auto answer = job(wire::JOB_CANCEL);
  runtime.run_for(Millis(20));
  CHECK(outcome_of(answer) == wire::JOB_NOT_FOUND);
  std::size_t requests = 0;
  for (const auto& control : controls) requests += control->jobs.size();
  CHECK(requests == 2);
}

// Guards against cancels that are answered 410 while the jobs run on: a service that was deleted and had no
// leader at that moment was not asked.
TEST_CASE_METHOD(ServiceListFixture, "a listed service without a leader may know the job") {
  const wire::JobVerb verb = GENERATE(wire::JOB_CANCEL, wire::JOB_QUERY);
  list_services(complete_list({"first", "deleted"}));
  SECTION("in doubt while nobody leads it") {
    const auto answer = job(verb);
    runtime.run_for(Millis(2900));
    CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
  }
  SECTION("found once it has a leader") {
    const auto answer = job(verb);
    runtime.run_for(Millis(500));
    CHECK(outcome_of(answer) == wire::JOB_OUTCOME_NONE);
    controls[2]->on_job = known_by("deleted");
    set_leader("deleted", 1, address_of(2));
    runtime.run_for(Millis(300));
    CHECK(outcome_of(answer) == wire::JOB_OK);
  }
  SECTION("not found once its leader says so") {
    const auto answer = job(verb);
    set_leader("deleted", 1, address_of(2));
    runtime.run_for(Millis(300));
    CHECK(outcome_of(answer) == wire::JOB_NOT_FOUND);
  }
}

TEST_CASE_METHOD(ServiceListFixture, "without a list a job that nobody knows is in doubt") {
  list_services(wire::ServiceList());
  const auto answer = job(wire::JOB_CANCEL);
  runtime.run_for(Millis(2700));
  CHECK(outcome_of(answer) == wire::JOB_OUTCOME_NONE);
  runtime.run_for(Millis(200));
  CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
  CHECK(lists_read() <= 60);
}

TEST_CASE_METHOD(ServiceListFixture, "another control node is asked where one can't read the list") {
  for (std::size_t number = 0; number < 4; ++number) controls[number]->service_list = wire::ServiceList();
  const auto answer = job(wire::JOB_CANCEL);
  runtime.run_for(Millis(1500));
  CHECK(outcome_of(answer) == wire::JOB_NOT_FOUND);
}

TEST_CASE_METHOD(ServiceListFixture, "control nodes that hang or are down are passed over") {
  controls[1]->hang();
  controls[3]->stop();
  controls[4]->stop();
  runtime.run_for(Millis(2000));
  const auto answer = job(wire::JOB_CANCEL, "first");
  runtime.run_for(Millis(2900));
  // The service "second" is led by the node that hangs.
  CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
  set_leader("second", 2, address_of(2));
  runtime.run_for(Millis(500));
  const auto next = job(wire::JOB_CANCEL, "first");
  runtime.run_for(Millis(2500));
  CHECK(outcome_of(next) == wire::JOB_NOT_FOUND);
}

// Guards against a start after a 410: a later submission was routed by a configuration that the cancelling
// agent didn't know, to a service that it had not asked.
TEST_CASE_METHOD(ServiceListFixture, "a job is looked for by the newest configuration") {
  list_services(complete_list({"first"}, 2));
  const auto answer = job(wire::JOB_CANCEL);
  runtime.run_for(Millis(500));
  CHECK(outcome_of(answer) == wire::JOB_OUTCOME_NONE);
  for (auto& control : controls) control->on_job = known_by("third");
  set_leader("third", 1, address_of(2));
  set_configuration(2, {{"/a/", "third"}, {"/b/", "second"}});
  runtime.run_for(Millis(500));
  CHECK(outcome_of(answer) == wire::JOB_OK);
}

TEST_CASE_METHOD(ServiceListFixture, "a configuration that does not arrive leaves the job in doubt") {
  list_services(complete_list({"first"}, 2));
  const auto answer = job(wire::JOB_QUERY);
  runtime.run_for(Millis(2900));
  CHECK(outcome_of(answer) == wire::JOB_IN_DOUBT);
}

TEST_CASE_METHOD(ServiceListFixture, "a list serves only requests that came before it was read") {
  for (auto& control : controls) control->delay_lists(Millis(100));
  const auto first = job(wire::JOB_CANCEL, "first", "queue/a/");
  const auto second = job(wire::JOB_QUERY, "first", "queue/a/");
  runtime.run_for(Millis(50));
  const auto late = job(wire::JOB_CANCEL, "first", "queue/c/");
  runtime.run_for(Millis(80));
  CHECK(outcome_of(first) == wire::JOB_NOT_FOUND);
  CHECK(outcome_of(late) == wire::JOB_OUTCOME_NONE);
  runtime.run_for(Millis(150));
  CHECK(outcome_of(second) == wire::JOB_NOT_FOUND);
  CHECK(outcome_of(late) == wire::JOB_NOT_FOUND);
  CHECK(lists_read() == 2);
}

TEST_CASE_METHOD(AgentFixture, "control nodes of an earlier version list no services") {
  for (auto& control : controls) control->on_job = known_by("");
  start_agent();
  runtime.run_for(Millis(500));
  const auto answer = job(wire::JOB_CANCEL);
  runtime.run_for(Millis(20));
  CHECK(outcome_of(answer) == wire::JOB_NOT_FOUND);
}
