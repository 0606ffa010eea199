// A job belongs to the service that accepted it, also when its queue moves to another service and agents and
// control nodes restart.
#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <set>

#include "cluster/agent/edge_agent.hpp"
#include "tests/cluster/support/configuration_fixture.hpp"
#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using winchhall::cluster::configuration_test::SharedRegisters;
using winchhall::cluster::testing::configuration_json;
using winchhall::cluster::testing::FakeRuntime;

namespace {

constexpr const char* kControlAddress = "10.0.0.1:7380";
constexpr const char* kControlSeed = "10.0.0.1:8144";
constexpr const char* kOtherControlAddress = "10.0.0.2:7380";  // of the same node
constexpr const char* kOtherControlSeed = "10.0.0.2:8144";
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr std::uint64_t kCancelled =
    std::numeric_limits<std::uint64_t>::max();  // tombstone of a cancelled job
constexpr const char* kQueue = "queue/a/";

std::string remove_queue(std::uint64_t version) {
  return R"({"version":)" + std::to_string(version) + R"(,"delete":{"routes":["queue/a/"]}})";
}

std::string add_queue(std::uint64_t version, const std::string& service,
                      const std::string& hostname = "jobs.example") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"upsert":{"routes":[{"name":"queue/a/","hostname":")" + hostname +
         R"(","path_prefix":"/a/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":800,)"
         R"("priority":1,"backend":")" +
         service + R"(","max_retries":2,"stretch":2.0}]}})";
}

// Moves the queue to the service "second" and removes the service "first".
std::string move_queue_and_remove_service(std::uint64_t version) {
  std::string patch = add_queue(version, "second");
  patch.insert(patch.size() - 1, R"(,"delete":{"services":["first"]})");
  return patch;
}

// A patch of another route that is large enough for a new snapshot.
std::string large_patch(std::uint64_t version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"upsert":{"routes":[{"name":"large","hostname":"jobs.example","path_prefix":"/large/",)"
         R"("route_type":")" +
         std::string(40000, 'x') +
         R"(","timeout_ms":3000,"target_latency_ms":800,"priority":1,"backend":"first","max_retries":2,)"
         R"("stretch":2.0}]}})";
}

// A control node with the real configuration service, whose registers outlive it, and which leads the
// services "first" and "second". An agent that follows it.
struct MovedQueueFixture {
  FakeRuntime runtime;
  SharedRegisters registers;
  bool members_read_snapshots = true;
  bool serves_configuration = true;  // at the first address of the control node
  std::unique_ptr<ConfigurationService> configuration;
  std::set<std::string> accepted_by;                // services that know the job
  std::map<std::string, std::uint64_t> tombstones;  // versions below which services reject the job
  unsigned unled_submits = 0;                       // so many submits more reach no leader
  std::set<std::string> led{"first", "second"};     // services with a known leader
  // Shards that a majority lists; none: the control node is of a version that doesn't list them.
  std::optional<std::set<std::string>> listed_shards;
  bool has_majority = true;  // if false, no list is read
  // The last one is in use. The others are kept, since calls of theirs are in flight.
  std::vector<std::unique_ptr<EdgeAgent>> agents;

  MovedQueueFixture() {
    runtime.peers[kControlAddress] = [this](const wire::Envelope& request, const ReplyCallback& reply) {
      if (request.has_job_request()) return reply(lead(request.job_request()));
      if (configuration && serves_configuration) configuration->handle(request, reply);
    };
    runtime.peers[kOtherControlAddress] = [this](const wire::Envelope& request, const ReplyCallback& reply) {
      configuration->handle(request, reply);
    };
  }

  wire::Envelope lead(const wire::JobRequest& request) {
    if (request.verb() == wire::JOB_SUBMIT && unled_submits > 0) {
      --unled_submits;
      wire::Envelope not_leader;
      not_leader.mutable_job_reply()->set_outcome(wire::JOB_NOT_LEADER);
      return not_leader;
    }
    wire::Envelope envelope;
    envelope.mutable_job_reply()->set_outcome(answer(request));
    return envelope;
  }
  // As JobRequestEndpoint does.
  wire::JobOutcome answer(const wire::JobRequest& request) {
    if (accepted_by.count(request.service()) > 0) return wire::JOB_OK;
    std::uint64_t& tombstone = tombstones[request.service()];
    if (request.verb() == wire::JOB_CANCEL) tombstone = kCancelled;
    if (request.confirms_unknown() && tombstone == kCancelled) return wire::JOB_REJECTED;
    if (request.confirms_unknown())
      tombstone = std::max<std::uint64_t>(tombstone, request.configuration_version());
    if (request.verb() != wire::JOB_SUBMIT) return wire::JOB_NOT_FOUND;
    if (request.configuration_version() < tombstone) return wire::JOB_REJECTED;
    accepted_by.insert(request.service());
    return wire::JOB_OK;
  }

  std::vector<wire::ShardLeader> leaders() const {
    std::vector<wire::ShardLeader> leaders;
    for (const std::string& service : led) {
      wire::ShardLeader& leader = leaders.emplace_back();
      leader.set_shard("service/" + service);
      leader.set_epoch(1);
      leader.set_address(kControlAddress);
    }
    return leaders;
  }

  void start_control() {
    ConfigurationDependencies dependencies{[this] { return leaders(); },
                                           [] { return std::vector<wire::Member>(); }, [] { return true; }};
    if (listed_shards)
      dependencies.list_shards = [this](const ShardListReader::Done& done) { list_shards(done); };
    dependencies.members_read_snapshots = [this] { return members_read_snapshots; };
    configuration = std::make_unique<ConfigurationService>(runtime, registers, dependencies);
    configuration->on_register_value(registers.value());
    registers.run_all();
  }
  void list_shards(const ShardListReader::Done& done) {
    if (!has_majority) return done(std::nullopt);
    ShardList list;
    list.shards = *listed_shards;
    list.accepted_configuration = registers.value().ballot;
    done(std::move(list));
    registers.run_all();
  }
  void start_agent(const char* seed = kControlSeed) {
    NodeSettings settings;
    settings.zone = "near";
    settings.ip = "10.0.1.1";
    settings.internal_port_first = 7380;
    settings.internal_port_last = 7395;
    settings.seeds = {seed};
    agents.push_back(std::make_unique<EdgeAgent>(runtime, settings));
    agents.back()->start();
  }
  void restart_all() {
    start_control();
    start_agent();
    runtime.run_for(Millis(1500));
  }

  void put(std::uint64_t base, const std::string& body) { change(base, body, &ConfigurationService::put); }
  void patch(std::uint64_t base, const std::string& body) {
    change(base, body, &ConfigurationService::patch);
  }
  // Without time for the agents to follow.
  void patch_at_once(std::uint64_t base, const std::string& body) {
    change(base, body, &ConfigurationService::patch, Millis(0));
  }

  wire::JobOutcome call(wire::JobVerb verb, const std::string& service, std::uint64_t version,
                        Millis patience = Millis(1000), Millis deadline = Millis(2800)) {
    wire::Envelope envelope;
    auto& request = *envelope.mutable_job_request();
    request.set_verb(verb);
    request.set_service(service);
    request.set_id(kJob);
    request.mutable_terms()->set_queue(kQueue);
    request.set_deadline_ms(static_cast<std::uint32_t>(deadline.count()));
    request.set_configuration_version(version);
    const auto outcome = std::make_shared<wire::JobOutcome>(wire::JOB_OUTCOME_NONE);
    agents.back()->handle(envelope,
                          [outcome](const wire::Envelope& reply) { *outcome = reply.job_reply().outcome(); });
    runtime.run_for(patience);
    return *outcome;
  }

 private:
  using Change = void (ConfigurationService::*)(const std::optional<std::string>&, std::string,
                                                ConfigurationService::ChangeCallback);
  void change(std::uint64_t base, const std::string& body, Change apply,
              Millis time_to_follow = Millis(500)) {
    auto kind = ConfigurationOutcomeKind::unavailable;
    (configuration.get()->*apply)(std::to_string(base), body,
                                  [&](const ConfigurationOutcome& outcome) { kind = outcome.kind; });
    registers.run_all();
    REQUIRE(kind == ConfigurationOutcomeKind::applied);
    runtime.run_for(time_to_follow);
  }
};

const std::map<std::string, std::string> kBeforeMove{{"/a/", "first"}, {"/b/", "second"}};
const std::map<std::string, std::string> kAfterMove{{"/a/", "second"}, {"/b/", "first"}};

// A job has been accepted by the service "first".
struct AcceptedJobFixture : MovedQueueFixture {
  void accept_job() {
    start_control();
    put(0, configuration_json(1, kBeforeMove));
    start_agent();
    runtime.run_for(Millis(500));
    REQUIRE(call(wire::JOB_SUBMIT, "first", 1) == wire::JOB_OK);
  }
};

}  // namespace

// Guards against a second run: agents that started after a queue had moved didn't know of its former service.
TEST_CASE_METHOD(AcceptedJobFixture,
                 "a job stays with its service when all restart after its queue has moved") {
  members_read_snapshots = GENERATE(true, false);
  accept_job();
  SECTION("by a removal and an addition") {
    patch(1, remove_queue(3));
    patch(3, add_queue(5, "second"));
  }
  SECTION("by an addition with the hostname in another case") {
    patch(1, remove_queue(3));
    patch(3, add_queue(5, "second", "Jobs.Example"));
  }
  SECTION("by a change of the route") { patch(1, add_queue(5, "second")); }
  SECTION("by a new configuration") { put(1, configuration_json(5, kAfterMove)); }
  SECTION("before a new snapshot") {
    patch(1, remove_queue(3));
    patch(3, add_queue(4, "second"));
    patch(4, large_patch(5));
  }
  SECTION("after a restart between removal and addition") {
    patch(1, remove_queue(3));
    restart_all();
    patch(3, add_queue(5, "second"));
  }
  restart_all();
  CHECK(call(wire::JOB_SUBMIT, "second", 5) == wire::JOB_OK);
  CHECK(accepted_by == std::set<std::string>{"first"});
}

TEST_CASE_METHOD(AcceptedJobFixture, "a queue that has moved back is not searched elsewhere") {
  accept_job();
  patch(1, remove_queue(3));
  patch(3, add_queue(5, "first"));
  restart_all();
  accepted_by = {"second"};
  CHECK(call(wire::JOB_SUBMIT, "first", 5) == wire::JOB_OK);
  CHECK(accepted_by == std::set<std::string>{"first", "second"});
}

// Guards against a second run: an agent that got moves there and back at once did not learn of the service
// between.
TEST_CASE_METHOD(AcceptedJobFixture,
                 "a service that was in force between two versions of an agent is known") {
  const bool control_restarted = GENERATE(false, true);
  accept_job();
  patch(1, add_queue(2, "second"));
  runtime.run_for(Millis(70000));  // the agent has forgotten the first move
  accepted_by.clear();
  serves_configuration = false;
  patch(2, add_queue(3, "first"));
  patch(3, add_queue(4, "second"));
  accepted_by = {"first"};  // through another agent, between the two changes
  if (control_restarted) start_control();
  serves_configuration = true;
  runtime.run_for(Millis(1500));
  CHECK(call(wire::JOB_SUBMIT, "second", 4) == wire::JOB_OK);
  CHECK(accepted_by == std::set<std::string>{"first"});
}

// Guards against a lost job and a second run: agents knew only the services of the present configuration.
TEST_CASE_METHOD(AcceptedJobFixture,
                 "a job of a service that is removed from the configuration stays known") {
  const bool restarted = GENERATE(false, true);
  accept_job();
  patch(1, move_queue_and_remove_service(5));
  if (restarted) restart_all();
  CHECK(call(wire::JOB_QUERY, "second", 5) == wire::JOB_OK);
  CHECK(call(wire::JOB_SUBMIT, "second", 5) == wire::JOB_OK);
  CHECK(accepted_by == std::set<std::string>{"first"});
  accepted_by.clear();
  CHECK(call(wire::JOB_QUERY, "second", 5) == wire::JOB_NOT_FOUND);
}

TEST_CASE_METHOD(AcceptedJobFixture,
                 "a removed service that has a leader is asked without any former route") {
  accept_job();
  patch(1, move_queue_and_remove_service(5));
  runtime.run_for(RouteHistory::kRetention + Millis(1000));
  CHECK(call(wire::JOB_QUERY, "second", 5) == wire::JOB_OK);
}

// Guards against cancels that are answered 410 while the jobs run on: an agent that had just started knew
// only the configured services and those with a leader.
TEST_CASE_METHOD(AcceptedJobFixture, "a job of a removed service that has no leader is not called unknown") {
  const wire::JobVerb verb = GENERATE(wire::JOB_CANCEL, wire::JOB_QUERY);
  listed_shards = {"service/first"};
  accept_job();
  patch(1, move_queue_and_remove_service(5));
  led = {"second"};
  runtime.run_for(FormerRoutes::kRetention + Millis(1000));
  patch(5, add_queue(7, "second"));  // drops the queue's former route
  restart_all();
  SECTION("in doubt until it has a leader") {
    CHECK(call(verb, "second", 7, Millis(2900)) == wire::JOB_IN_DOUBT);
    led = {"first", "second"};
    CHECK(call(verb, "second", 7) == wire::JOB_OK);
  }
  SECTION("in doubt while the services can't be listed") {
    has_majority = false;
    CHECK(call(verb, "second", 7, Millis(2900)) == wire::JOB_IN_DOUBT);
  }
}

// Guards against a start after a 410: a late submission reached a former service that had no jobs yet, and
// that had not been asked.
TEST_CASE_METHOD(MovedQueueFixture, "a former service without jobs has to say that it knows none") {
  listed_shards.emplace();
  start_control();
  put(0, configuration_json(1, kBeforeMove));
  patch(1, move_queue_and_remove_service(5));
  led = {"second"};
  restart_all();
  CHECK(call(wire::JOB_CANCEL, "second", 5, Millis(2900)) == wire::JOB_IN_DOUBT);
  led = {"first", "second"};
  CHECK(call(wire::JOB_CANCEL, "second", 5) == wire::JOB_NOT_FOUND);
  CHECK(tombstones["first"] == kCancelled);
}

// Guards against a second run: an agent that had just started submitted before it knew the configuration.
TEST_CASE_METHOD(AcceptedJobFixture, "a submit waits for the configuration that its ingress has") {
  const std::uint64_t ingress_version = GENERATE(0, 5);
  accept_job();
  patch(1, remove_queue(3));
  patch(3, add_queue(5, "second"));
  start_agent();
  CHECK(call(wire::JOB_SUBMIT, "second", ingress_version) == wire::JOB_OK);
  CHECK(accepted_by == std::set<std::string>{"first"});
}

TEST_CASE_METHOD(AcceptedJobFixture, "a submit whose configuration does not arrive is rejected") {
  accept_job();
  CHECK(call(wire::JOB_SUBMIT, "second", 5, Millis(1900)) == wire::JOB_OUTCOME_NONE);
  runtime.run_for(Millis(200));
  CHECK(call(wire::JOB_SUBMIT, "second", 5, Millis(2100)) == wire::JOB_REJECTED);
  CHECK(accepted_by == std::set<std::string>{"first"});
}

TEST_CASE_METHOD(AcceptedJobFixture, "a query without a configuration does not say that the job is unknown") {
  accept_job();
  configuration.reset();
  start_agent();
  CHECK(call(wire::JOB_QUERY, "second", 1, Millis(2900)) == wire::JOB_IN_DOUBT);
  start_control();
  CHECK(call(wire::JOB_QUERY, "second", 1) == wire::JOB_OK);
}

// Guards against a second run: a submit that the agent still retried was accepted after the job had been
// accepted by its queue's next service.
TEST_CASE_METHOD(MovedQueueFixture, "a submit waits for one of the same job to the queue's former service") {
  start_control();
  put(0, configuration_json(1, kBeforeMove));
  start_agent();
  runtime.run_for(Millis(500));
  unled_submits = 5;
  REQUIRE(call(wire::JOB_SUBMIT, "first", 1, Millis(10)) == wire::JOB_OUTCOME_NONE);
  patch_at_once(1, add_queue(5, "second"));
  CHECK(call(wire::JOB_SUBMIT, "second", 5) == wire::JOB_OK);
  CHECK(accepted_by == std::set<std::string>{"first"});
}

TEST_CASE_METHOD(MovedQueueFixture, "a submit that waits for another one is in doubt at its deadline") {
  start_control();
  put(0, configuration_json(1, kBeforeMove));
  start_agent();
  runtime.run_for(Millis(500));
  unled_submits = 1000;
  REQUIRE(call(wire::JOB_SUBMIT, "first", 1, Millis(100)) == wire::JOB_OUTCOME_NONE);
  CHECK(call(wire::JOB_SUBMIT, "second", 1, Millis(310), Millis(300)) == wire::JOB_IN_DOUBT);
}

// Guards against a second run: an edge machine that was frozen handed the job in by the configuration that it
// still had, after another one had handed it in at the present service.
TEST_CASE_METHOD(MovedQueueFixture, "a job is not accepted by two agents with different configurations") {
  start_control();
  put(0, configuration_json(1, kBeforeMove));
  start_agent();
  runtime.run_for(Millis(500));
  serves_configuration = false;
  patch(1, add_queue(2, "second"));
  start_agent(kOtherControlSeed);
  runtime.run_for(Millis(500));
  CHECK(call(wire::JOB_SUBMIT, "second", 2) == wire::JOB_OK);
  std::swap(agents.front(), agents.back());
  CHECK(call(wire::JOB_SUBMIT, "first", 1) == wire::JOB_REJECTED);
  CHECK(accepted_by == std::set<std::string>{"second"});
}

// Guards against a start of a cancelled job: the cancelling agent did not know the queue's present service
// yet.
TEST_CASE_METHOD(MovedQueueFixture, "a job that was cancelled by an earlier configuration is not handed in") {
  start_control();
  put(0, configuration_json(1, kBeforeMove));
  start_agent();
  runtime.run_for(Millis(500));
  tombstones["first"] = kCancelled;
  patch(1, add_queue(2, "second"));
  CHECK(call(wire::JOB_SUBMIT, "second", 2) == wire::JOB_REJECTED);
  CHECK(accepted_by.empty());
}
