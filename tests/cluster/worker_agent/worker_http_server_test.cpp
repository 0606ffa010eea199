// The HTTP server through which a leaf calls its worker-agent.
#include "cluster/worker_agent/worker_http_server.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

namespace http = boost::beast::http;

// Sends a call and returns the status of the response, which is 0 until the response is sent.
std::shared_ptr<unsigned> call(WorkerAgent& agent, http::verb method, const std::string& path,
                               const std::string& body = "") {
  HttpRequest request(method, path, 11, body);
  auto status = std::make_shared<unsigned>(0);
  make_worker_http_handler(agent)(
      std::move(request), [status](const HttpResponse& response) { *status = response.result_int(); });
  return status;
}

}  // namespace

TEST_CASE_METHOD(WorkerAgentFixture, "heartbeats and deregistrations reach the agent") {
  start();
  CHECK(*call(*agent, http::verb::post, "/v1/Instances.Heartbeat/i-7",
              R"({"backend":"core","sequence":1})") == 200);
  CHECK_FALSE(agent->session().has_leaf());
  const auto heartbeat =
      call(*agent, http::verb::post, "/v1/Instances.Heartbeat/i-7?x=1", R"({"backend":"core","sequence":2})");
  CHECK(*heartbeat == 0);  // deferred
  runtime.advance(Millis(250));
  CHECK(*heartbeat == 200);
  CHECK(agent->session().leaf().leaf_id() == "i-7");
  CHECK(*call(*agent, http::verb::post, "/v1/Instances.Deregister/i-7") == 200);
}

TEST_CASE_METHOD(WorkerAgentFixture, "other paths, methods and invalid calls are rejected") {
  CHECK(*call(*agent, http::verb::get, "/v1/Instances.Heartbeat/i-7") == 405);
  CHECK(*call(*agent, http::verb::post, "/v1/Instances.List") == 404);
  CHECK(*call(*agent, http::verb::post, "/v1/Instances.Heartbeat/", "{}") == 400);
  CHECK(*call(*agent, http::verb::post, "/v1/Instances.Heartbeat/i-7", "{") == 400);
}
