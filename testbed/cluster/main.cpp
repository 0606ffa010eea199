// winchhall-cluster-testbed: runs a complete cluster on loopback. Without arguments: a demonstration.
// `rolling-upgrade OLD_PROGRAM NEW_PROGRAM`: replaces the processes one at a time, under load.
// `soak SEED SECONDS [CONTROL_NODES WORKERS]`: injects overlapping faults, under load.
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "testbed/cluster/fake_leaf.hpp"
#include "testbed/cluster/fault_soak.hpp"
#include "testbed/cluster/http_call.hpp"
#include "testbed/cluster/local_cluster.hpp"
#include "testbed/cluster/rolling_upgrade.hpp"

namespace {

using namespace winchhall::testbed::cluster;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kTimeout{30};
constexpr std::chrono::milliseconds kRetryInterval{50};
constexpr const char* kConfiguration =
    R"({"version":1,"routes":[{"name":"extract","hostname":"demo.example","path_prefix":"/extract/",)"
    R"("route_type":"unsafe","timeout_ms":3000,"target_latency_ms":800,"priority":0,"backend":"records",)"
    R"("max_retries":3,"stretch":1.5}],"services":[{"name":"records","health_check_path":"/health",)"
    R"("max_connections":64,"protocol":"h1","tls":false,"preconditions":false}],"limits":{}})";
constexpr const char* kJob =
    R"({"spec":"count rainfall","stages":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":300},)"
    R"({"count":2,"cpu":1000,"mem_mb":512,"estimated_ms":300,"depends_on":[0]}]})";
constexpr int kExitUsage = 2;
constexpr const char* kHost = "demo.example";
constexpr const char* kJobPath = "/extract/5c0e7a21d94b36f8";

std::string sibling_program(const std::string& name) {
  char path[4096];
  const ssize_t length = readlink("/proc/self/exe", path, sizeof path);
  const std::string self(path, length > 0 ? static_cast<std::size_t>(length) : 0);
  return self.substr(0, self.rfind('/') + 1) + name;
}

// Repeats a call until the response has status 200 and the expected text in its body. False after a time-out.
bool call_until(const HttpCall& call, const std::string& expected_text) {
  const Clock::time_point limit = Clock::now() + kTimeout;
  while (Clock::now() < limit) {
    const HttpCallResponse response = send_http_call(call);
    if (response.status == 200 && response.body.find(expected_text) != std::string::npos) {
      std::printf("%s %s -> %u %s\n", call.method.c_str(), call.target.c_str(), response.status,
                  response.body.c_str());
      return true;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  std::printf("%s %s: not answered as wanted\n", call.method.c_str(), call.target.c_str());
  return false;
}

HttpCall make_call(const std::string& address, const char* method, const char* target,
                   const char* body = "") {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.target = target;
  call.host = kHost;
  call.body = body;
  return call;
}

int demo() {
  LocalCluster cluster(sibling_program("winchhall-cluster"), 2, "records");
  cluster.start_all();
  std::printf("three control nodes, an ingress with its agent, two worker-agents with fake leaves\n");
  const FakeLeaf first({cluster.worker_address(0), "i-1", "records", "a"});
  const FakeLeaf second({cluster.worker_address(1), "i-2", "records", "a"});
  HttpCall put = make_call(cluster.control_address(0), "POST", "/v1/Config.Put", kConfiguration);
  put.headers.push_back({"X-Winchhall-Base-Version", "0"});
  const HttpCall ready = make_call(cluster.ready_address(), "GET", "/v1/readiness");
  const HttpCall submit = make_call(cluster.front_address(), "POST", kJobPath, kJob);
  const HttpCall query = make_call(cluster.front_address(), "GET", kJobPath);
  if (!call_until(put, "") || !call_until(ready, "")) return EXIT_FAILURE;
  if (!call_until(submit, "") || !call_until(query, "") || !call_until(query, "completed"))
    return EXIT_FAILURE;
  std::printf("tasks started: %zu on the first leaf, %zu on the second\n", first.starts().size(),
              second.starts().size());
  return EXIT_SUCCESS;
}

// `arguments`: seed, seconds, and the numbers of control nodes and workers.
int soak(const std::vector<std::string>& arguments) {
  FaultSoakOptions options;
  options.program = sibling_program("winchhall-cluster");
  options.seed = std::stoull(arguments[0]);
  options.duration = std::chrono::seconds(std::stoul(arguments[1]));
  if (arguments.size() > 2) {
    options.control_nodes = static_cast<unsigned>(std::stoul(arguments[2]));
    options.workers = static_cast<unsigned>(std::stoul(arguments[3]));
  }
  return run_fault_soak(options);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 1) return demo();
  if (argc == 4 && std::string(argv[1]) == "rolling-upgrade") return run_rolling_upgrade(argv[2], argv[3]);
  if ((argc == 4 || argc == 6) && std::string(argv[1]) == "soak")
    return soak(std::vector<std::string>(argv + 2, argv + argc));
  std::fprintf(stderr,
               "usage: winchhall-cluster-testbed [rolling-upgrade OLD_PROGRAM NEW_PROGRAM | "
               "soak SEED SECONDS [CONTROL_NODES WORKERS]]\n");
  return kExitUsage;
}
