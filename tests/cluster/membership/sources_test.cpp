// Sampled control nodes and changed seeds as sources of contacts with the control group: for the agent, the
// worker-agent and a node that joins the group.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/worker_agent/leader_finder.hpp"
#include "tests/cluster/agent/agent_fixture.hpp"
#include "tests/cluster/support/consensus_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

constexpr Millis kJoinTimeout{60'000};

// An agent that starts while all its seeds are down.
struct AgentWithoutSeedsFixture : AgentFixture {
  AgentWithoutSeedsFixture() {
    for (int number = 0; number < 3; ++number) controls[static_cast<std::size_t>(number)]->stop();
    start_agent();
    runtime.run_for(Millis(5'000));
  }
};

// The leader finder of a worker-agent, and control nodes that return a leader.
struct LeaderFinderFixture {
  FakeRuntime runtime;
  std::optional<FoundLeader> found;
  std::vector<Address> probed;
  std::unique_ptr<LeaderFinder> finder;

  LeaderFinderFixture() {
    NodeSettings settings;
    settings.internal_port_first = 7380;
    settings.seeds = {"10.0.0.1:8144", "10.0.0.2:8144"};
    finder = std::make_unique<LeaderFinder>(runtime, settings,
                                            [this](const FoundLeader& leader) { found = leader; });
  }

  void serve(const Address& address) {
    runtime.peers[address] = [this, address](const wire::Envelope&, const ReplyCallback& reply) {
      probed.push_back(address);
      wire::Envelope answer;
      wire::ShardLeader& leader = *answer.mutable_configuration_update()->add_leaders();
      leader.set_shard("service/core");
      leader.set_epoch(4);
      leader.set_address("10.0.0.8:7380");
      reply(std::move(answer));
    };
  }
};

// A group of seven whose three seeds have crashed, and a joining node that knows only these seeds.
class JoiningNodeFixture {
 public:
  JoiningNodeFixture() : cluster(5, 7) {
    cluster.bootstrap();
    REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(20'000)));
    for (std::size_t seed = 0; seed < 3; ++seed) cluster.crash(seed);
    joining_node = cluster.add_machine();
    cluster.start(joining_node);
  }

  bool joins() {
    return cluster.simulation().run_until([&] { return cluster.is_member(joining_node); }, kJoinTimeout);
  }

  sim::ControlCluster<> cluster;
  std::size_t joining_node = 0;
};

}  // namespace

TEST_CASE_METHOD(AgentWithoutSeedsFixture,
                 "an agent whose seeds are all down finds the group by a sampled control node") {
  CHECK_FALSE(agent->has_quorum_contact());
  agent->set_sampled_control({address_of(3)});
  runtime.run_for(Millis(2'000));
  CHECK(agent->has_quorum_contact());
  CHECK(agent->view().version() == 1);
}

TEST_CASE_METHOD(AgentWithoutSeedsFixture,
                 "an agent whose seeds are all down finds the group by changed seeds") {
  agent->set_seeds({address_of(4)});
  runtime.run_for(Millis(2'000));
  CHECK(agent->has_quorum_contact());
}

TEST_CASE("seeds and members are preferred to sampled nodes") {
  FakeRuntime runtime;
  NodeSettings settings;
  settings.zone = "near";
  settings.internal_port_first = 7380;
  settings.seeds = {"10.0.0.1:8144"};
  ControlDirectory directory(runtime, settings);
  directory.set_sampled({"10.0.0.7:7380"});
  CHECK(directory.choose({})->address == "10.0.0.1:7380");
  for (unsigned turn = 0; turn < 20; ++turn) CHECK(directory.choose_any("") == "10.0.0.1:7380");
  directory.record_failure("10.0.0.1:7380");
  CHECK(directory.choose({})->address == "10.0.0.7:7380");
  CHECK(directory.choose({"10.0.0.7:7380"})->address == "10.0.0.1:7380");
}

TEST_CASE("a control node is removed once it is no seed, no member and not sampled") {
  FakeRuntime runtime;
  NodeSettings settings;
  settings.internal_port_first = 7380;
  settings.seeds = {"10.0.0.1:8144"};
  ControlDirectory directory(runtime, settings);
  directory.set_sampled({"10.0.0.1:7380", "10.0.0.7:7380"});
  wire::Member member;
  member.set_address("10.0.0.7:7380");
  directory.set_members({member});
  directory.set_sampled({});
  directory.set_seeds({});
  CHECK(directory.choose({})->address == "10.0.0.7:7380");
  directory.set_members({});
  CHECK_FALSE(directory.choose({}).has_value());
}

TEST_CASE_METHOD(LeaderFinderFixture, "a worker-agent probes sampled nodes once no other node answered") {
  serve("10.0.0.7:7380");
  finder->set_sampled({"10.0.0.7:7380"});
  finder->search("core", 1);
  runtime.run_for(Millis(1'000));
  REQUIRE(found);
  CHECK(found->address == "10.0.0.8:7380");
}

TEST_CASE_METHOD(LeaderFinderFixture, "a worker-agent does not probe sampled nodes while seeds answer") {
  for (const char* address : {"10.0.0.1:7380", "10.0.0.2:7380", "10.0.0.7:7380"}) serve(address);
  finder->set_sampled({"10.0.0.7:7380"});
  for (unsigned turn = 0; turn < 10; ++turn) {
    finder->search("core", 1);
    runtime.run_for(Millis(1'000));
  }
  REQUIRE(probed.size() == 10);
  CHECK(std::set<Address>(probed.begin(), probed.end()).count("10.0.0.7:7380") == 0);
}

TEST_CASE_METHOD(LeaderFinderFixture, "seeds are probed on while sampled nodes are dead, and vice versa") {
  finder->set_sampled({"10.0.0.7:7380", "10.0.0.6:7380"});
  finder->search("core", 1);
  runtime.run_for(Millis(5'000));
  REQUIRE_FALSE(found);
  serve("10.0.0.2:7380");
  runtime.run_for(Millis(2'000));
  CHECK(found);
}

TEST_CASE_METHOD(LeaderFinderFixture, "a worker-agent without any known node waits for new seeds") {
  finder->search("core", 1);
  finder->set_seeds({});
  runtime.run_for(Millis(2'000));
  serve("10.0.0.5:7380");
  finder->set_seeds({"10.0.0.5:7380"});
  runtime.run_for(Millis(1'000));
  CHECK(found);
}

TEST_CASE_METHOD(JoiningNodeFixture, "a joining node whose seeds are all down doesn't join") {
  CHECK_FALSE(joins());
}

TEST_CASE_METHOD(JoiningNodeFixture,
                 "a joining node whose seeds are all down joins by a sampled control node") {
  cluster.group(joining_node).set_sampled_control({sim::machine_ip(4) + ":7000"});
  CHECK(joins());
}

TEST_CASE_METHOD(JoiningNodeFixture, "a joining node whose seeds are all down joins by changed seeds") {
  cluster.group(joining_node).set_seeds({sim::machine_ip(5) + ":7000"});
  CHECK(joins());
}
