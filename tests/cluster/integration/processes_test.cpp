// Real processes on loopback that are killed and restarted. Guards against the loss of acknowledged jobs and
// configurations, and against tasks that are completed twice.
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <thread>

#include "testbed/cluster/fake_leaf.hpp"
#include "testbed/cluster/http_call.hpp"
#include "testbed/cluster/local_cluster.hpp"

using namespace winchhall::testbed::cluster;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kTimeout{40};
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr unsigned kControlNodes = 3;
const std::string kService = "records";

// JSON of `count` routes that get no jobs, each followed by a comma.
std::string idle_routes(unsigned count) {
  std::string routes;
  for (unsigned number = 0; number < count; ++number) {
    const std::string name = "idle-" + std::to_string(number);
    routes += R"({"name":")" + name + R"(","hostname":"demo.example","path_prefix":"/)" + name +
              R"(/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":800,"priority":2,)"
              R"("backend":"records","max_retries":3,"stretch":2.2},)";
  }
  return routes;
}

// JSON of a configuration with the route "extract" and `idle` unused routes.
std::string configuration(unsigned version, unsigned timeout_ms, unsigned idle = 0) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + idle_routes(idle) +
         R"({"name":"extract","hostname":"demo.example","path_prefix":"/extract/","route_type":"unsafe",)"
         R"("timeout_ms":)" +
         std::to_string(timeout_ms) +
         R"(,"target_latency_ms":800,"priority":0,"backend":"records","max_retries":3,"stretch":1.5}],)"
         R"("services":[{"name":"records","health_check_path":"/health","max_connections":64,"protocol":"h1",)"
         R"("tls":false,"preconditions":false}],"limits":{}})";
}

const std::string kJob = R"({"spec":"x","stages":[{"count":6,"cpu":1000,"mem_mb":100,"estimated_ms":300},)"
                         R"({"count":3,"cpu":1000,"mem_mb":100,"estimated_ms":300,"depends_on":[0]}]})";

// A cluster of real processes with fake leaves, and calls to it as its operator and as a client.
class ClusterFixture {
 public:
  explicit ClusterFixture(unsigned workers = 2) : cluster(WINCHHALL_CLUSTER_PROGRAM, workers, kService) {
    cluster.start_all();
    for (unsigned i = 0; i < workers; ++i) {
      leaves.push_back(std::make_unique<FakeLeaf>(
          FakeLeafOptions{cluster.worker_address(i), "i-" + std::to_string(i), kService, "a"}));
    }
  }

  // Replaces the configuration. Repeats the call, to the control nodes in turn, until it succeeds.
  bool put(unsigned base, const std::string& body) {
    unsigned turn = 0;
    return wait_until([&] {
      HttpCall call = operator_call(turn++, "POST", "/v1/Config.Put", body);
      call.headers.push_back({"X-Winchhall-Base-Version", std::to_string(base)});
      return send_http_call(call).status == 200;
    });
  }

  std::string get_configuration() {
    std::string body;
    unsigned turn = 0;
    wait_until([&] {
      const HttpCallResponse response = send_http_call(operator_call(turn++, "GET", "/v1/Config.Get", ""));
      if (response.status == 200) body = response.body;
      return response.status == 200;
    });
    return body;
  }

  unsigned call_queue(const std::string& method, const std::string& id, const std::string& body,
                      std::string* text = nullptr) {
    HttpCall call;
    call.address = cluster.front_address();
    call.method = method;
    call.target = "/extract/" + id;
    call.host = "demo.example";
    call.body = body;
    call.timeout = std::chrono::milliseconds(4000);
    const HttpCallResponse response = send_http_call(call);
    if (text) *text = response.body;
    return response.status;
  }

  bool submit(const std::string& id) {
    return wait_until([&] { return call_queue("POST", id, kJob) == 200; });
  }
  bool completes(const std::string& id) {
    return wait_until([&] {
      std::string text;
      return call_queue("GET", id, "", &text) == 200 && text.find("completed") != std::string::npos;
    });
  }

  // Number of tasks that were completed more than once.
  unsigned tasks_done_twice() const {
    std::map<std::string, std::vector<FakeLeafTaskStart>> by_task;
    for (const auto& leaf : leaves) {
      for (const FakeLeafTaskStart& start : leaf->starts()) by_task[start.task].push_back(start);
    }
    unsigned tasks = 0;
    for (const auto& [task, starts] : by_task) {
      unsigned done = 0;
      for (const FakeLeafTaskStart& start : starts) done += start.done ? 1 : 0;
      if (done > 1) ++tasks;
    }
    return tasks;
  }

  static bool wait_until(const std::function<bool()>& reached) {
    const Clock::time_point limit = Clock::now() + kTimeout;
    while (Clock::now() < limit) {
      if (reached()) return true;
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

  LocalCluster cluster;
  std::vector<std::unique_ptr<FakeLeaf>> leaves;

 private:
  HttpCall operator_call(unsigned turn, const char* method, const char* target,
                         const std::string& body) const {
    HttpCall call;
    call.address = cluster.control_address(turn % kControlNodes);
    call.method = method;
    call.target = target;
    call.body = body;
    return call;
  }
};

void restart_all_control_nodes(ClusterFixture& fixture) {
  for (unsigned i = 0; i < kControlNodes; ++i) fixture.cluster.kill("control-" + std::to_string(i));
  for (unsigned i = 0; i < kControlNodes; ++i) fixture.cluster.start("control-" + std::to_string(i));
}

}  // namespace

TEST_CASE("a configuration of three thousand routes is applied, delivered and changed") {
  ClusterFixture fixture;
  REQUIRE(fixture.put(0, configuration(1, 3000, 3000)));
  REQUIRE(fixture.submit("00000000000000e1"));
  CHECK(fixture.completes("00000000000000e1"));
  REQUIRE(fixture.put(1, configuration(5, 2500, 2900)));
  CHECK(fixture.get_configuration() == configuration(5, 2500, 2900));
  REQUIRE(fixture.submit("00000000000000e2"));
  CHECK(fixture.tasks_done_twice() == 0);
}

TEST_CASE("an accepted job and an acknowledged configuration survive a kill of all control processes") {
  ClusterFixture fixture;
  REQUIRE(fixture.put(0, configuration(1, 3000)));
  REQUIRE(fixture.submit("00000000000000a1"));
  REQUIRE(fixture.put(1, configuration(5, 2500)));
  restart_all_control_nodes(fixture);
  CHECK(fixture.get_configuration().find("2500") != std::string::npos);
  CHECK(fixture.completes("00000000000000a1"));
  CHECK(fixture.tasks_done_twice() == 0);
  // An acknowledged change is acknowledged again, although a newer one has been applied since.
  CHECK(fixture.put(0, configuration(1, 3000)));
}

TEST_CASE("jobs complete while control nodes are killed one after another") {
  ClusterFixture fixture;
  REQUIRE(fixture.put(0, configuration(1, 3000)));
  for (unsigned i = 0; i < kControlNodes; ++i) {
    const std::string id = "00000000000000b" + std::to_string(i);
    REQUIRE(fixture.submit(id));
    const std::string name = "control-" + std::to_string(i);
    fixture.cluster.kill(name);
    CHECK(fixture.completes(id));
    fixture.cluster.start(name);
  }
  CHECK(fixture.tasks_done_twice() == 0);
}

TEST_CASE("a killed worker-agent recovers the state of its leaf from the next heartbeat") {
  ClusterFixture fixture(1);
  REQUIRE(fixture.put(0, configuration(1, 3000)));
  REQUIRE(fixture.submit("00000000000000c1"));
  REQUIRE(ClusterFixture::wait_until([&] { return !fixture.leaves[0]->starts().empty(); }));
  fixture.cluster.kill("worker-0");
  fixture.cluster.start("worker-0");
  CHECK(fixture.completes("00000000000000c1"));
  CHECK(fixture.tasks_done_twice() == 0);
}

TEST_CASE("processes that receive SIGTERM exit with status 0 within their grace period") {
  ClusterFixture fixture;
  REQUIRE(fixture.put(0, configuration(1, 3000)));
  REQUIRE(fixture.submit("00000000000000d1"));
  for (const char* name : {"ingress", "agent", "worker-0", "control-0"}) {
    INFO(name);
    CHECK(fixture.cluster.terminate(name) == 0);
  }
}
