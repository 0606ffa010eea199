// Clients' job requests: forwarding to the agent, retries and HTTP responses.
#include "cluster/ingress/job_gateway.hpp"

#include <catch2/catch.hpp>

#include "cluster/config/configuration_json.hpp"
#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;
namespace http = boost::beast::http;

namespace {

constexpr char kAgent[] = "127.0.0.1:7381";
constexpr char kJobPath[] = "/a/5c0e7a21d94b36f8";
constexpr char kJobBody[] = R"({"spec":"s","stages":[{"count":1}]})";

// The response that a client has received.
struct ClientResponse {
  unsigned status = 0;  // 0: no response yet
  std::string body;
  std::string retry_after;
  TimePoint at;
};

// A gateway with two queues: /a/ of the service "first" and /a/deep/ of the service "second".
struct JobGatewayFixture {
  FakeRuntime runtime;
  JobGateway gateway{runtime, kAgent};
  Configuration configuration = parse(configuration_json(1, {{"/a/", "first"}, {"/a/deep/", "second"}}));
  std::vector<wire::JobRequest> requests;
  TimePoint start = runtime.now();

  static Configuration parse(const std::string& json) {
    return leaf::try_handle_all(
        [&] { return parse_configuration(json, "test"); },
        []() -> Configuration { throw std::runtime_error("invalid test configuration"); });
  }

  void agent_replies(wire::JobReply job_reply) {
    runtime.peers[kAgent] = [this, job_reply](const wire::Envelope& request, const ReplyCallback& reply) {
      requests.push_back(request.job_request());
      wire::Envelope envelope;
      *envelope.mutable_job_reply() = job_reply;
      reply(std::move(envelope));
    };
  }
  void agent_replies(wire::JobOutcome outcome) {
    wire::JobReply reply;
    reply.set_outcome(outcome);
    agent_replies(reply);
  }
  void agent_never_replies() {
    runtime.peers[kAgent] = [this](const wire::Envelope& request, const ReplyCallback&) {
      requests.push_back(request.job_request());
    };
  }

  std::shared_ptr<ClientResponse> send(http::verb method, const std::string& path,
                                       const std::string& body = {}, const std::string& deadline = {},
                                       const Configuration* other = nullptr, bool configured = true) {
    HttpRequest request(method, path, 11);
    request.set(http::field::host, "Jobs.Example:8149");
    if (!deadline.empty()) request.set("X-Winchhall-Deadline", deadline);
    request.body() = body;
    auto answer = std::make_shared<ClientResponse>();
    const Configuration* used = other != nullptr ? other : &configuration;
    gateway.handle(configured ? used : nullptr, request, [this, answer](HttpResponse response) {
      answer->status = response.result_int();
      answer->body = response.body();
      answer->retry_after = std::string(response[http::field::retry_after]);
      answer->at = runtime.now();
    });
    return answer;
  }
  std::shared_ptr<ClientResponse> submit(const std::string& deadline = {}) {
    return send(http::verb::post, kJobPath, kJobBody, deadline);
  }
  Millis response_time(const std::shared_ptr<ClientResponse>& answer) const {
    return std::chrono::duration_cast<Millis>(answer->at - start);
  }
};

}  // namespace

TEST_CASE_METHOD(JobGatewayFixture, "a submitted job is forwarded to the agent with its queue's settings") {
  agent_replies(wire::JOB_OK);
  const auto answer = submit();
  runtime.run_for(Millis(10));
  CHECK(answer->status == 200);
  CHECK(answer->body == "{}");
  REQUIRE(requests.size() == 1);
  const auto& request = requests[0];
  CHECK(request.verb() == wire::JOB_SUBMIT);
  CHECK(request.service() == "first");
  CHECK(request.id() == "5c0e7a21d94b36f8");
  CHECK(request.spec().stages(0).count() == 1);
  CHECK(request.terms().queue() == "queue/a/");
  CHECK(request.terms().priority() == 1);
  CHECK(request.terms().max_retries() == 2);
  CHECK(request.terms().stretch() == 2.0);
  CHECK(request.terms().target_latency_ms() == 800);
}

TEST_CASE_METHOD(JobGatewayFixture, "the queue is the route with the longest matching prefix") {
  agent_replies(wire::JOB_OK);
  const auto answer = send(http::verb::get, "/a/deep/5c0e7a21d94b36f8?x=1");
  runtime.run_for(Millis(10));
  CHECK(answer->status == 200);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].service() == "second");
}

TEST_CASE_METHOD(JobGatewayFixture, "without a configuration, requests are rejected with Retry-After") {
  const auto answer = send(http::verb::post, kJobPath, kJobBody, "", nullptr, false);
  CHECK(answer->status == 503);
  CHECK(answer->retry_after == "1");
}

TEST_CASE_METHOD(JobGatewayFixture, "a request without a valid queue or job is rejected at once") {
  agent_replies(wire::JOB_OK);
  CHECK(send(http::verb::get, "/other/")->status == 404);
  CHECK(send(http::verb::post, "/other/5c0e7a21d94b36f8", kJobBody)->status == 404);
  CHECK(send(http::verb::get, "/a/gone/")->status == 404);
  CHECK(send(http::verb::post, "/a/gone/5c0e7a21d94b36f8", kJobBody)->status == 404);
  CHECK(send(http::verb::post, "/a/short", kJobBody)->status == 400);
  CHECK(send(http::verb::put, kJobPath)->status == 405);
  CHECK(send(http::verb::post, "/a/", kJobBody)->status == 405);
  CHECK(send(http::verb::post, kJobPath, "{")->status == 400);
  CHECK(send(http::verb::post, kJobPath, R"({"stages":[{"count":-1}]})")->body.find("stages[0].count") !=
        std::string::npos);
  CHECK(requests.empty());
}

TEST_CASE_METHOD(JobGatewayFixture, "each outcome has its HTTP status") {
  struct Case {
    wire::JobOutcome outcome;
    unsigned submitted;
    unsigned queried;
    unsigned cancelled;
  };
  const auto expected =
      GENERATE(Case{wire::JOB_OK, 200, 200, 200}, Case{wire::JOB_NOT_FOUND, 410, 410, 410},
               Case{wire::JOB_REJECTED, 503, 503, 503}, Case{wire::JOB_IN_DOUBT, 504, 503, 504},
               Case{wire::JOB_INVALID, 400, 400, 400}, Case{wire::JOB_OUTCOME_NONE, 504, 503, 504});
  agent_replies(expected.outcome);
  const auto submitted = submit();
  const auto queried = send(http::verb::get, kJobPath);
  const auto cancelled = send(http::verb::delete_, kJobPath);
  runtime.run_for(Millis(10));
  CHECK(submitted->status == expected.submitted);
  CHECK(queried->status == expected.queried);
  CHECK(cancelled->status == expected.cancelled);
}

TEST_CASE_METHOD(JobGatewayFixture, "a job's state is returned by name") {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_OK);
  const auto [state, name] =
      GENERATE(std::make_pair(wire::JOB_QUEUED, "queued"), std::make_pair(wire::JOB_RUNNING, "running"),
               std::make_pair(wire::JOB_COMPLETED, "completed"), std::make_pair(wire::JOB_FAILED, "failed"),
               std::make_pair(wire::JOB_CANCELED, "canceled"));
  reply.set_state(state);
  agent_replies(reply);
  const auto answer = send(http::verb::get, kJobPath);
  runtime.run_for(Millis(10));
  CHECK(answer->body == R"({"state":")" + std::string(name) + "\"}");
}

TEST_CASE_METHOD(JobGatewayFixture,
                 "all attempts of a request carry its number, another request has another") {
  agent_never_replies();
  send(http::verb::post, kJobPath, kJobBody);
  runtime.run_for(Millis(1500));
  REQUIRE(requests.size() == 2);
  CHECK(requests[0].origin() != 0);
  CHECK(requests[0].number() == requests[1].number());
  CHECK(requests[0].origin() == requests[1].origin());
  send(http::verb::post, kJobPath, kJobBody);
  runtime.run_for(Millis(10));
  REQUIRE(requests.size() == 3);
  CHECK(requests[2].origin() == requests[0].origin());
  CHECK(requests[2].number() > requests[0].number());
}

TEST_CASE_METHOD(JobGatewayFixture, "a rejection has Retry-After in whole seconds") {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_REJECTED);
  reply.set_retry_after_ms(1200);
  agent_replies(reply);
  const auto answer = submit();
  runtime.run_for(Millis(10));
  CHECK(answer->retry_after == "2");
  CHECK(answer->body == R"({"retry_after_ms":1200})");
}

TEST_CASE_METHOD(JobGatewayFixture, "a submit without a reply has an unknown outcome at its deadline") {
  agent_never_replies();
  const auto short_wait = submit("1000");
  const auto long_wait = submit("60000");
  const auto without_header = submit();
  const auto tiny_wait = submit("10");
  runtime.run_for(Millis(10000));
  CHECK(short_wait->status == 504);
  CHECK(response_time(short_wait) == Millis(900));
  CHECK(long_wait->status == 504);
  CHECK(response_time(long_wait) == Millis(2900));
  CHECK(response_time(without_header) == Millis(2900));
  CHECK(response_time(tiny_wait) == Millis(200));
  CHECK(requests[0].deadline_ms() < 900);
}

TEST_CASE_METHOD(JobGatewayFixture, "an unreachable agent is called again") {
  const auto answer = submit();
  runtime.run_for(Millis(1000));
  REQUIRE(answer->status == 0);
  agent_replies(wire::JOB_OK);
  runtime.run_for(Millis(100));
  CHECK(answer->status == 200);
}

TEST_CASE_METHOD(JobGatewayFixture,
                 "a request that was pending at a killed agent is sent again to its successor") {
  agent_never_replies();
  const auto answer = submit();
  runtime.run_for(Millis(500));
  agent_replies(wire::JOB_OK);
  runtime.run_for(Millis(1000));
  CHECK(answer->status == 200);
  CHECK(requests.size() == 2);
}

TEST_CASE_METHOD(JobGatewayFixture, "a rejection after an earlier attempt has an unknown outcome") {
  agent_never_replies();
  const auto answer = submit();
  runtime.run_for(Millis(500));
  agent_replies(wire::JOB_REJECTED);
  runtime.run_for(Millis(1000));
  CHECK(answer->status == 504);
}

TEST_CASE_METHOD(JobGatewayFixture,
                 "a submit to an agent that stays unreachable has an unknown outcome, never a rejection") {
  const auto answer = submit();
  runtime.run_for(Millis(3000));
  CHECK(answer->status == 504);
  CHECK(response_time(answer) <= Millis(2950));
}

TEST_CASE_METHOD(JobGatewayFixture, "a rejection by an agent that knows of every attempt is definite") {
  agent_never_replies();
  const auto answer = submit();
  runtime.run_for(Millis(500));
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_REJECTED);
  reply.set_relayed_ms(1399);
  agent_replies(reply);
  runtime.run_for(Millis(1000));
  CHECK(requests.size() == 2);
  CHECK(answer->status == 503);
  CHECK_FALSE(answer->retry_after.empty());
}

TEST_CASE_METHOD(JobGatewayFixture, "a count is at most two seconds old when it is returned") {
  agent_never_replies();
  const auto unknown = send(http::verb::get, "/a/");
  runtime.run_for(Millis(310));
  CHECK(unknown->status == 503);
  CHECK_FALSE(unknown->retry_after.empty());
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_OK);
  reply.set_pending(12);
  agent_replies(reply);
  const auto counted = send(http::verb::get, "/a/");
  runtime.run_for(Millis(10));
  CHECK(counted->body == R"({"pending":12})");
  agent_never_replies();
  runtime.run_for(Millis(1100));
  const auto cached = send(http::verb::get, "/a/");
  runtime.run_for(Millis(310));
  CHECK(cached->body == R"({"pending":12})");
  runtime.run_for(Millis(500));
  const auto expired = send(http::verb::get, "/a/");
  runtime.run_for(Millis(310));
  CHECK(expired->status == 503);
}

TEST_CASE_METHOD(JobGatewayFixture, "failing all pending requests responds to each exactly once") {
  agent_never_replies();
  const auto submitted = submit();
  const auto counted = send(http::verb::get, "/a/");
  runtime.run_for(Millis(50));
  gateway.fail_all_pending();
  CHECK(submitted->status == 504);
  CHECK(counted->status == 503);
  CHECK(gateway.pending_calls() == 0);
  runtime.run_for(Millis(5000));
}
