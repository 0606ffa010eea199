// An edge's agent says that a job doesn't exist only if no service of the cluster knows it: complete control
// nodes and an agent in a simulation, with a queue that moves, a service that is deleted, and processes that
// are killed at the same moment.
#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/agent/edge_agent.hpp"
#include "cluster/config/former_routes.hpp"
#include "cluster/control/control_node.hpp"
#include "tests/cluster/support/configuration_fixture.hpp"
#include "tests/cluster/support/consensus_fixture.hpp"
#include "tests/cluster/support/seed_range.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::sim;
using winchhall::cluster::test::SeedRange;

namespace {

constexpr std::size_t kControlNodes = 3;
constexpr std::size_t kEdge = kControlNodes;        // index of the edge's machine
constexpr std::size_t kClient = kControlNodes + 1;  // index of the clients' machine
constexpr const char* kEdgeAddress = "10.0.2.1:7000";
constexpr const char* kQueue = "r-1";
constexpr const char* kFormerService = "core";
constexpr const char* kPresentService = "fraud";
constexpr std::uint64_t kFirstVersion = 5;
constexpr std::uint64_t kMovedVersion = 6;
constexpr Millis kCatchUp{8000};

// Three control nodes, the agent of an edge, and clients. The queue `r-1` is routed to the service `core`
// first; later to `fraud`, and `core` is deleted.
class EdgeCluster {
 public:
  explicit EdgeCluster(std::uint64_t seed)
      : simulation_(seed, SimulationOptions{}), controls_(kControlNodes) {
    for (std::size_t index = 0; index < kControlNodes; ++index) add_control(index);
    simulation_.add_node(kEdgeAddress, [this](SimNode& node) { return start_edge(node); });
    simulation_.add_node("10.0.3.1:7000", [](SimNode&) { return SimNode::Program{}; }).start();
    for (std::size_t index = 0; index <= kEdge; ++index) start(index);
    first_start_ = false;
    simulation_.run_for(Millis(3000));
    change("/v1/Config.Put", 0, configuration_test::small_configuration(kFirstVersion));
  }
  ~EdgeCluster() {
    for (std::size_t index = 0; index <= kClient; ++index) crash(index);
  }

  Simulation& simulation() { return simulation_; }

  void start(std::size_t index) {
    if (!simulation_.node(index).running()) simulation_.node(index).start();
  }
  void crash(std::size_t index) {
    if (simulation_.node(index).running()) simulation_.node(index).crash();
  }
  void start_in(std::size_t index, Millis delay) {
    simulation_.in(delay, [this, index] { start(index); });
  }
  // Moves the queue to its next service and deletes the former one.
  void move_queue() {
    const std::string route = configuration_test::route_json(kQueue, "one", kPresentService);
    change("/v1/Config.Patch", kFirstVersion,
           R"({"version":)" + std::to_string(kMovedVersion) + R"(,"upsert":{"routes":[)" + route +
               R"(]},"delete":{"services":[")" + kFormerService + R"("]}})");
  }
  // Makes a change that drops the former routes which are older than their retention.
  void forget_former_routes() {
    simulation_.run_for(FormerRoutes::kRetention + Millis(1000));
    const std::string route = configuration_test::route_json("r-2", "two", kPresentService);
    change("/v1/Config.Patch", kMovedVersion,
           R"({"version":)" + std::to_string(kMovedVersion + 1) + R"(,"upsert":{"routes":[)" + route + "]}}");
  }
  std::optional<std::size_t> leader_of(const std::string& service) const {
    for (std::size_t index = 0; index < kControlNodes; ++index) {
      const bool leads = simulation_.node(index).running() &&
                         controls_[index]->inspection().leadership(service).kind == LeadershipKind::this_node;
      if (leads) return index;
    }
    return std::nullopt;
  }

  // The definite outcome of a client's request, which it sends again while there is none.
  wire::JobOutcome call(wire::JobVerb verb, const std::string& id, const std::string& service,
                        std::uint64_t version) {
    constexpr Millis kLimit{20000};
    const auto outcome = std::make_shared<std::optional<wire::JobOutcome>>();
    send(job_request(verb, id, service, version), outcome);
    simulation_.run_until([&] { return outcome->has_value(); }, kLimit);
    return outcome->value_or(wire::JOB_OUTCOME_NONE);
  }

 private:
  void add_control(std::size_t index) {
    simulation_.add_node(machine_ip(index) + ":7000", [this, index](SimNode& node) {
      auto control = std::make_shared<ControlNode>(node, node.store(), control_settings(index, first_start_));
      controls_[index] = control.get();
      control->start();
      return SimNode::Program{control, [control](const wire::Envelope& request, const ReplyCallback& reply) {
                                return control->handle(request, reply);
                              }};
    });
  }
  static SimNode::Program start_edge(SimNode& node) {
    NodeSettings settings;
    settings.zone = "zone-0";
    settings.ip = "10.0.2.1";
    settings.internal_port_first = 7000;
    settings.internal_port_last = 7015;
    for (std::size_t seed = 0; seed < kControlNodes; ++seed)
      settings.seeds.push_back(machine_ip(seed) + ":8000");
    auto agent = std::make_shared<EdgeAgent>(node, settings);
    agent->start();
    return {agent, [agent](const wire::Envelope& request, const ReplyCallback& reply) {
              return agent->handle(request, reply);
            }};
  }

  void change(const std::string& target, std::uint64_t base, const std::string& body) {
    HttpRequest request{boost::beast::http::verb::post, target, 11};
    request.set("X-Winchhall-Base-Version", std::to_string(base));
    request.body() = body;
    unsigned status = 0;
    controls_[0]->handle_http(request, [&](const HttpResponse& response) { status = response.result_int(); });
    simulation_.run_for(Millis(3000));
    REQUIRE(status == 200);
  }

  static wire::Envelope job_request(wire::JobVerb verb, const std::string& id, const std::string& service,
                                    std::uint64_t version) {
    constexpr std::uint32_t kDeadlineMs = 2800;
    wire::Envelope envelope;
    wire::JobRequest& request = *envelope.mutable_job_request();
    request.set_verb(verb);
    request.set_id(id);
    request.set_service(service);
    request.set_configuration_version(version);
    request.set_deadline_ms(kDeadlineMs);
    request.mutable_terms()->set_queue(kQueue);
    request.mutable_terms()->set_max_retries(3);
    request.mutable_terms()->set_stretch(2);
    if (verb != wire::JOB_SUBMIT) return envelope;
    request.mutable_spec()->set_spec("text");
    wire::Stage& stage = *request.mutable_spec()->add_stages();
    stage.set_count(1);
    stage.set_cpu(100);
    stage.set_estimated_ms(1000);
    return envelope;
  }
  void send(const wire::Envelope& request, const std::shared_ptr<std::optional<wire::JobOutcome>>& outcome) {
    constexpr Millis kTimeout{3000};
    constexpr Millis kRetryBackoff{10};
    simulation_.node(kClient).call(kEdgeAddress, request, kTimeout, [=, this](const CallResult& result) {
      const wire::JobOutcome answer =
          result.answer ? result.answer->job_reply().outcome() : wire::JOB_IN_DOUBT;
      if (answer == wire::JOB_OK || answer == wire::JOB_NOT_FOUND) {
        *outcome = answer;
      } else {
        simulation_.in(kRetryBackoff, [=, this] { send(request, outcome); });
      }
    });
  }

  mutable Simulation simulation_;
  std::vector<ControlNode*> controls_;
  bool first_start_ = true;
};

std::vector<std::string> submit_jobs(EdgeCluster& cluster, std::size_t count) {
  std::vector<std::string> jobs;
  for (std::size_t number = 0; number < count; ++number) {
    jobs.push_back("5c0e7a21d94b3" + std::to_string(100 + number));
    REQUIRE(cluster.call(wire::JOB_SUBMIT, jobs.back(), kFormerService, kFirstVersion) == wire::JOB_OK);
  }
  return jobs;
}

// Leader and edge are killed at the same moment, again and again. Meanwhile clients look the accepted jobs
// up, and cancel one after another.
void kill_leader_and_edge(std::uint64_t seed) {
  constexpr std::size_t kRounds = 12;
  constexpr double kDiskLost = 0.25;
  constexpr std::uint64_t kSeedsWithoutFormerRoutes = 8;  // one seed in so many
  CAPTURE(seed);
  EdgeCluster cluster(seed);
  Simulation& simulation = cluster.simulation();
  const std::vector<std::string> jobs = submit_jobs(cluster, kRounds);
  cluster.move_queue();
  if (seed % kSeedsWithoutFormerRoutes == 0) cluster.forget_former_routes();
  for (std::size_t round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    const std::optional<std::size_t> leader = cluster.leader_of(kFormerService);
    REQUIRE(leader);
    cluster.crash(*leader);
    cluster.crash(kEdge);
    if (simulation.chance(kDiskLost)) simulation.node(*leader).lose_disk();
    cluster.start_in(*leader, Millis(simulation.random_between(200, 2500)));
    cluster.start_in(kEdge, Millis(simulation.random_between(20, 800)));
    for (const std::string& job : jobs)
      CHECK(cluster.call(wire::JOB_QUERY, job, kPresentService, kMovedVersion) == wire::JOB_OK);
    CHECK(cluster.call(wire::JOB_CANCEL, jobs[round], kPresentService, kMovedVersion) == wire::JOB_OK);
    simulation.run_for(kCatchUp);
  }
  CHECK(cluster.call(wire::JOB_CANCEL, "5c0e7a21d94b3fff", kPresentService, kMovedVersion) ==
        wire::JOB_NOT_FOUND);
}

}  // namespace

// Guards against cancels that are answered 410 while the jobs run on: an agent that had just started didn't
// know of a deleted service that was between two leaders.
TEST_CASE("an edge that restarts together with a leader knows the jobs of a deleted service") {
  SeedRange::from_environment({1, 40}).for_each(kill_leader_and_edge);
}
