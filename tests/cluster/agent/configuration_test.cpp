// An agent follows the control group and serves the configuration to its ingress.
#include <catch2/catch.hpp>

#include "tests/cluster/agent/agent_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

// Version of the configuration that the agent announced; 0: not answered yet.
std::uint64_t announced_version(const std::shared_ptr<AgentAnswer>& answer) {
  return answer->envelope ? answer->envelope->configuration_update().version() : 0;
}

}  // namespace

TEST_CASE_METHOD(AgentFixture, "a started agent soon has the configuration and quorum contact") {
  start_agent();
  runtime.run_for(Millis(50));
  CHECK(agent->view().version() == 1);
  CHECK(agent->has_quorum_contact());
  CHECK(agent->view().leader_of("first") == address_of(0));
}

TEST_CASE_METHOD(AgentFixture, "a pending poll is answered as soon as a newer configuration arrives") {
  start_agent();
  runtime.run_for(Millis(1500));
  const auto poll = watch(1, Millis(2000));
  runtime.run_for(Millis(300));
  REQUIRE_FALSE(poll->envelope);
  set_configuration(5, {{"/a/", "first"}});
  runtime.run_for(Millis(150));
  CHECK(announced_version(poll) == 5);
  CHECK_FALSE(poll->envelope->configuration_update().configuration().empty());
}

TEST_CASE_METHOD(AgentFixture, "a poll without a newer configuration ends after its wait") {
  start_agent();
  runtime.run_for(Millis(1000));
  const auto poll = watch(1, Millis(2000));
  runtime.run_for(Millis(1990));
  REQUIRE_FALSE(poll->envelope);
  runtime.run_for(Millis(20));
  REQUIRE(poll->envelope);
  CHECK(poll->envelope->configuration_update().configuration().empty());
}

TEST_CASE_METHOD(AgentFixture, "an ingress with a newer version gets no older configuration") {
  start_agent();
  runtime.run_for(Millis(1000));
  const auto poll = watch(7, Millis(100));
  runtime.run_for(Millis(200));
  REQUIRE(poll->envelope);
  CHECK(poll->envelope->configuration_update().configuration().empty());
}

TEST_CASE_METHOD(AgentFixture, "an older configuration of a lagging node changes nothing") {
  start_agent();
  runtime.run_for(Millis(100));
  set_configuration(9, {{"/a/", "second"}});
  runtime.run_for(Millis(200));
  REQUIRE(agent->view().version() == 9);
  for (auto& control : controls) control->set_configuration(4, configuration_json(4, {{"/a/", "first"}}));
  runtime.run_for(Millis(5000));
  CHECK(agent->view().version() == 9);
}

TEST_CASE_METHOD(AgentFixture, "control nodes that start after the agent are found soon") {
  for (auto& control : controls) control->hang();
  start_agent();
  runtime.run_for(Millis(400));
  CHECK_FALSE(agent->view().configuration());
  for (auto& control : controls) control->start();
  runtime.run_for(Millis(700));
  CHECK(agent->view().configuration());
}

TEST_CASE_METHOD(AgentFixture, "control nodes that take a second to answer are found") {
  for (auto& control : controls) control->delay_answers(Millis(1000));
  start_agent();
  runtime.run_for(Millis(6000));
  CHECK(agent->view().configuration());
}

TEST_CASE("a delayed answer does not bring back an older configuration or leader") {
  ClusterView view;
  const auto update = [](std::uint64_t version, std::uint64_t epoch, const std::string& leader) {
    wire::ConfigurationUpdate update;
    update.set_version(version);
    update.set_configuration(configuration_json(version, {{"/a/", "first"}}));
    update.set_in_touch(true);
    wire::ShardLeader& shard_leader = *update.add_leaders();
    shard_leader.set_shard("service/first");
    shard_leader.set_epoch(epoch);
    shard_leader.set_address(leader);
    return update;
  };
  REQUIRE(view.apply_update(update(9, 5, "10.0.0.2:7000"), TimePoint()).configuration);
  const ViewChanges late = view.apply_update(update(4, 3, "10.0.0.1:7000"), TimePoint());
  CHECK_FALSE(late.configuration);
  CHECK_FALSE(late.leaders);
  CHECK(view.version() == 9);
  CHECK(view.leader_of("first") == "10.0.0.2:7000");
}

TEST_CASE_METHOD(AgentFixture, "control nodes that are down or do not respond are replaced") {
  controls[0]->stop();
  controls[1]->hang();
  start_agent();
  runtime.run_for(Millis(3000));
  CHECK(agent->has_quorum_contact());
  set_configuration(2, {{"/a/", "first"}});
  runtime.run_for(Millis(200));
  CHECK(agent->view().version() == 2);
}

TEST_CASE_METHOD(AgentFixture, "a loss of quorum contact is reported, and so is its return") {
  start_agent();
  runtime.run_for(Millis(500));
  const auto before = watch(1, Millis(0));
  CHECK(before->envelope->configuration_update().in_touch());
  for (auto& control : controls) control->stop();
  runtime.run_for(Millis(5000));
  CHECK_FALSE(agent->has_quorum_contact());
  const auto without_contact = watch(1, Millis(0));
  CHECK_FALSE(without_contact->envelope->configuration_update().in_touch());
  const auto poll = watch(1, Millis(2000));
  controls[4]->start();
  runtime.run_for(Millis(1500));
  CHECK(agent->has_quorum_contact());
  REQUIRE(poll->envelope);
  CHECK(poll->envelope->configuration_update().in_touch());
}

TEST_CASE_METHOD(AgentFixture, "watching three idle nodes costs about three calls a second") {
  start_agent();
  runtime.run_for(Millis(2000));
  const auto before = runtime.calls_made;
  runtime.run_for(Millis(10000));
  CHECK(runtime.calls_made - before >= 27);
  CHECK(runtime.calls_made - before <= 33);
}

TEST_CASE_METHOD(AgentFixture, "while no node answers the rate of calls is bounded") {
  for (auto& control : controls) control->stop();
  start_agent();
  runtime.run_for(Millis(10000));
  CHECK(runtime.calls_made <= 310);
}

TEST_CASE_METHOD(AgentFixture, "an agent that shuts down serves until its ingress has stopped calling") {
  start_agent();
  runtime.run_for(Millis(500));
  bool done = false;
  agent->shut_down([&] { done = true; });
  for (int count = 0; count < 5; ++count) {
    watch(1, Millis(2000));
    runtime.run_for(Millis(400));
  }
  CHECK_FALSE(done);
  runtime.run_for(Millis(1200));
  CHECK(done);
}
