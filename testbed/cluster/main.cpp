// winchhall-cluster-testbed: a whole cluster on loopback, for a look at it.
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

#include "testbed/cluster/fake_leaf.hpp"
#include "testbed/cluster/http_call.hpp"
#include "testbed/cluster/local_cluster.hpp"

namespace {

using namespace winchhall::testbed::cluster;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kPatience{30};
constexpr std::chrono::milliseconds kPause{50};
constexpr const char* kConfiguration =
    R"({"version":1,"routes":[{"name":"extract","hostname":"demo.example","path_prefix":"/extract/",)"
    R"("route_type":"unsafe","timeout_ms":3000,"target_latency_ms":800,"priority":0,"backend":"records",)"
    R"("max_retries":3,"stretch":1.5}],"services":[{"name":"records","health_check_path":"/health",)"
    R"("max_connections":64,"protocol":"h1","tls":false,"preconditions":false}],"limits":{}})";
constexpr const char* kJob =
    R"({"spec":"count rainfall","stages":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":300},)"
    R"({"count":2,"cpu":1000,"mem_mb":512,"estimated_ms":300,"depends_on":[0]}]})";
constexpr const char* kHost = "demo.example";
constexpr const char* kJobPath = "/extract/5c0e7a21d94b36f8";

std::string program_beside(const std::string& name) {
  char path[4096];
  const ssize_t length = readlink("/proc/self/exe", path, sizeof path);
  const std::string self(path, length > 0 ? static_cast<std::size_t>(length) : 0);
  return self.substr(0, self.rfind('/') + 1) + name;
}

// Repeats a call until it is answered with 200 and, where given, a text in its body.
bool call_until(const HttpCall& call, const std::string& wanted) {
  const Clock::time_point limit = Clock::now() + kPatience;
  while (Clock::now() < limit) {
    const HttpCallResponse answer = send_http_call(call);
    if (answer.status == 200 && answer.body.find(wanted) != std::string::npos) {
      std::printf("%s %s -> %u %s\n", call.method.c_str(), call.target.c_str(), answer.status,
                  answer.body.c_str());
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  std::printf("%s %s: not answered as wanted\n", call.method.c_str(), call.target.c_str());
  return false;
}

HttpCall call_to(const std::string& address, const char* method, const char* target, const char* body = "") {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.target = target;
  call.host = kHost;
  call.body = body;
  return call;
}

int demo() {
  LocalCluster cluster(program_beside("winchhall-cluster"), 2, "records");
  cluster.start_all();
  std::printf("three control nodes, an ingress with its agent, two worker-agents with stand-in leaves\n");
  const FakeLeaf first({cluster.worker_address(0), "i-1", "records", "a"});
  const FakeLeaf second({cluster.worker_address(1), "i-2", "records", "a"});
  HttpCall put = call_to(cluster.control_address(0), "POST", "/v1/Config.Put", kConfiguration);
  put.headers.push_back({"X-Winchhall-Base-Version", "0"});
  const HttpCall ready = call_to(cluster.ready_address(), "GET", "/v1/readiness");
  const HttpCall submit = call_to(cluster.front_address(), "POST", kJobPath, kJob);
  const HttpCall query = call_to(cluster.front_address(), "GET", kJobPath);
  if (!call_until(put, "") || !call_until(ready, "")) return EXIT_FAILURE;
  if (!call_until(submit, "") || !call_until(query, "") || !call_until(query, "completed"))
    return EXIT_FAILURE;
  std::printf("tasks started: %zu on the first leaf, %zu on the second\n", first.starts().size(),
              second.starts().size());
  return EXIT_SUCCESS;
}

}  // namespace

int main() { return demo(); }
