// Real processes of the program on loopback, killed and started again: what was acknowledged stays.
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

constexpr std::chrono::seconds kPatience{40};
constexpr std::chrono::milliseconds kTurn{20};
constexpr unsigned kControlNodes = 3;
const std::string kService = "records";

// `count` queues that no job comes to, each followed by a comma.
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

// A configuration of one queue, beside `idle` others.
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

// The cluster under test with its operator and client.
class Site {
 public:
  explicit Site(unsigned workers = 2) : cluster(WINCHHALL_CLUSTER_PROGRAM, workers, kService) {
    cluster.start_all();
    for (unsigned i = 0; i < workers; ++i) {
      leaves.push_back(std::make_unique<FakeLeaf>(
          FakeLeafOptions{cluster.worker_address(i), "i-" + std::to_string(i), kService, "a"}));
    }
  }

  // Repeats a call, to the control nodes in turn, until it gets a clear answer.
  bool put(unsigned base, const std::string& body) {
    unsigned turn = 0;
    return until([&] {
      HttpCall call = operator_call(turn++, "POST", "/v1/Config.Put", body);
      call.headers.push_back({"X-Winchhall-Base-Version", std::to_string(base)});
      return send_http_call(call).status == 200;
    });
  }

  std::string read_back() {
    std::string body;
    unsigned turn = 0;
    until([&] {
      const HttpCallResponse answer = send_http_call(operator_call(turn++, "GET", "/v1/Config.Get", ""));
      if (answer.status == 200) body = answer.body;
      return answer.status == 200;
    });
    return body;
  }

  unsigned client(const std::string& method, const std::string& id, const std::string& body,
                  std::string* text = nullptr) {
    HttpCall call;
    call.address = cluster.front_address();
    call.method = method;
    call.target = "/extract/" + id;
    call.host = "demo.example";
    call.body = body;
    call.timeout = std::chrono::milliseconds(4000);
    const HttpCallResponse answer = send_http_call(call);
    if (text) *text = answer.body;
    return answer.status;
  }

  bool submit(const std::string& id) {
    return until([&] { return client("POST", id, kJob) == 200; });
  }
  bool completes(const std::string& id) {
    return until([&] {
      std::string text;
      return client("GET", id, "", &text) == 200 && text.find("completed") != std::string::npos;
    });
  }

  // Runs of one task that were under way at the same time, or started after one was done and taken note of.
  unsigned doubled() const {
    std::map<std::string, std::vector<FakeLeafTaskStart>> by_task;
    for (const auto& leaf : leaves) {
      for (const FakeLeafTaskStart& start : leaf->starts()) by_task[start.task].push_back(start);
    }
    unsigned found = 0;
    for (const auto& [task, starts] : by_task) {
      unsigned done = 0;
      for (const FakeLeafTaskStart& start : starts) done += start.done ? 1 : 0;
      if (done > 1) ++found;
    }
    return found;
  }

  static bool until(const std::function<bool()>& reached) {
    const Clock::time_point limit = Clock::now() + kPatience;
    while (Clock::now() < limit) {
      if (reached()) return true;
      std::this_thread::sleep_for(kTurn);
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

void kill_all_control(Site& site) {
  for (unsigned i = 0; i < kControlNodes; ++i) site.cluster.kill("control-" + std::to_string(i));
  for (unsigned i = 0; i < kControlNodes; ++i) site.cluster.start("control-" + std::to_string(i));
}

}  // namespace

TEST_CASE("a configuration of three thousand routes is taken, delivered and changed") {
  Site site;
  REQUIRE(site.put(0, configuration(1, 3000, 3000)));
  REQUIRE(site.submit("00000000000000e1"));
  CHECK(site.completes("00000000000000e1"));
  REQUIRE(site.put(1, configuration(5, 2500, 2900)));
  CHECK(site.read_back() == configuration(5, 2500, 2900));
  REQUIRE(site.submit("00000000000000e2"));
  CHECK(site.doubled() == 0);
}

TEST_CASE("an accepted job and an acknowledged configuration survive the end of all control processes") {
  Site site;
  REQUIRE(site.put(0, configuration(1, 3000)));
  REQUIRE(site.submit("00000000000000a1"));
  REQUIRE(site.put(1, configuration(5, 2500)));
  kill_all_control(site);
  CHECK(site.read_back().find("2500") != std::string::npos);
  CHECK(site.completes("00000000000000a1"));
  CHECK(site.doubled() == 0);
  // The order that was acknowledged before is acknowledged again, though a newer one was taken since.
  CHECK(site.put(0, configuration(1, 3000)));
}

TEST_CASE("jobs go on while control nodes are killed one after the other") {
  Site site;
  REQUIRE(site.put(0, configuration(1, 3000)));
  for (unsigned i = 0; i < kControlNodes; ++i) {
    const std::string id = "00000000000000b" + std::to_string(i);
    REQUIRE(site.submit(id));
    const std::string name = "control-" + std::to_string(i);
    site.cluster.kill(name);
    CHECK(site.completes(id));
    site.cluster.start(name);
  }
  CHECK(site.doubled() == 0);
}

TEST_CASE("a worker-agent that is killed learns the state of its leaf from the next heartbeat") {
  Site site(1);
  REQUIRE(site.put(0, configuration(1, 3000)));
  REQUIRE(site.submit("00000000000000c1"));
  REQUIRE(Site::until([&] { return !site.leaves[0]->starts().empty(); }));
  site.cluster.kill("worker-0");
  site.cluster.start("worker-0");
  CHECK(site.completes("00000000000000c1"));
  CHECK(site.doubled() == 0);
}

TEST_CASE("processes that are asked to end do so with status 0 within their grace") {
  Site site;
  REQUIRE(site.put(0, configuration(1, 3000)));
  REQUIRE(site.submit("00000000000000d1"));
  for (const char* name : {"ingress", "agent", "worker-0", "control-0"}) {
    INFO(name);
    CHECK(site.cluster.terminate(name) == 0);
  }
}
