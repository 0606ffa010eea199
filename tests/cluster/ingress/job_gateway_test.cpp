// What clients are answered.
#include "cluster/ingress/job_gateway.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;
namespace http = boost::beast::http;

namespace {

constexpr char kAgent[] = "127.0.0.1:7381";
constexpr char kJobPath[] = "/a/5c0e7a21d94b36f8";
constexpr char kJobBody[] = R"({"spec":"s","stages":[{"count":1}]})";

struct ClientAnswer {
  unsigned status = 0;  // 0: none yet
  std::string body;
  std::string retry_after;
  TimePoint at;
};

struct GatewayFixture {
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

  void agent_answers(wire::JobReply job_reply) {
    runtime.peers[kAgent] = [this, job_reply](const wire::Envelope& request, const ReplyCallback& reply) {
      requests.push_back(request.job_request());
      wire::Envelope envelope;
      *envelope.mutable_job_reply() = job_reply;
      reply(std::move(envelope));
    };
  }
  void agent_answers(wire::JobOutcome outcome) {
    wire::JobReply reply;
    reply.set_outcome(outcome);
    agent_answers(reply);
  }
  void agent_hangs() {
    runtime.peers[kAgent] = [this](const wire::Envelope& request, const ReplyCallback&) {
      requests.push_back(request.job_request());
    };
  }

  std::shared_ptr<ClientAnswer> send(http::verb method, const std::string& path, const std::string& body = {},
                                     const std::string& deadline = {},
                                     const Configuration* in_force = nullptr, bool configured = true) {
    HttpRequest request(method, path, 11);
    request.set(http::field::host, "Jobs.Example:8149");
    if (!deadline.empty()) request.set("X-Winchhall-Deadline", deadline);
    request.body() = body;
    auto answer = std::make_shared<ClientAnswer>();
    const Configuration* used = in_force != nullptr ? in_force : &configuration;
    gateway.handle(configured ? used : nullptr, request, [this, answer](HttpResponse response) {
      answer->status = response.result_int();
      answer->body = response.body();
      answer->retry_after = std::string(response[http::field::retry_after]);
      answer->at = runtime.now();
    });
    return answer;
  }
  std::shared_ptr<ClientAnswer> submit(const std::string& deadline = {}) {
    return send(http::verb::post, kJobPath, kJobBody, deadline);
  }
  Millis taken_by(const std::shared_ptr<ClientAnswer>& answer) const {
    return std::chrono::duration_cast<Millis>(answer->at - start);
  }
};

}  // namespace

TEST_CASE_METHOD(GatewayFixture, "a submitted job reaches the agent with its queue's terms") {
  agent_answers(wire::JOB_OK);
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

TEST_CASE_METHOD(GatewayFixture, "the longest prefix names the queue") {
  agent_answers(wire::JOB_OK);
  const auto answer = send(http::verb::get, "/a/deep/5c0e7a21d94b36f8?x=1");
  runtime.run_for(Millis(10));
  CHECK(answer->status == 200);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].service() == "second");
}

TEST_CASE_METHOD(GatewayFixture, "without a configuration clients are told to come back") {
  const auto answer = send(http::verb::post, kJobPath, kJobBody, "", nullptr, false);
  CHECK(answer->status == 503);
  CHECK(answer->retry_after == "1");
}

TEST_CASE_METHOD(GatewayFixture, "what names no queue or no job is refused at once") {
  agent_answers(wire::JOB_OK);
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

TEST_CASE_METHOD(GatewayFixture, "outcomes become statuses") {
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
  agent_answers(expected.outcome);
  const auto submitted = submit();
  const auto queried = send(http::verb::get, kJobPath);
  const auto cancelled = send(http::verb::delete_, kJobPath);
  runtime.run_for(Millis(10));
  CHECK(submitted->status == expected.submitted);
  CHECK(queried->status == expected.queried);
  CHECK(cancelled->status == expected.cancelled);
}

TEST_CASE_METHOD(GatewayFixture, "a state is shown by its name") {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_OK);
  const auto [state, name] =
      GENERATE(std::make_pair(wire::JOB_QUEUED, "queued"), std::make_pair(wire::JOB_RUNNING, "running"),
               std::make_pair(wire::JOB_COMPLETED, "completed"), std::make_pair(wire::JOB_FAILED, "failed"),
               std::make_pair(wire::JOB_CANCELED, "canceled"));
  reply.set_state(state);
  agent_answers(reply);
  const auto answer = send(http::verb::get, kJobPath);
  runtime.run_for(Millis(10));
  CHECK(answer->body == R"({"state":")" + std::string(name) + "\"}");
}

TEST_CASE_METHOD(GatewayFixture, "a rejection says when to come back, in whole seconds") {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_REJECTED);
  reply.set_retry_after_ms(1200);
  agent_answers(reply);
  const auto answer = submit();
  runtime.run_for(Millis(10));
  CHECK(answer->retry_after == "2");
  CHECK(answer->body == R"({"retry_after_ms":1200})");
}

TEST_CASE_METHOD(GatewayFixture, "a submit without a clear answer is in doubt by its deadline") {
  agent_hangs();
  const auto short_wait = submit("1000");
  const auto long_wait = submit("60000");
  const auto unsaid = submit();
  const auto tiny = submit("10");
  runtime.run_for(Millis(10000));
  CHECK(short_wait->status == 504);
  CHECK(taken_by(short_wait) == Millis(900));
  CHECK(long_wait->status == 504);
  CHECK(taken_by(long_wait) == Millis(2900));
  CHECK(taken_by(unsaid) == Millis(2900));
  CHECK(taken_by(tiny) == Millis(200));
  CHECK(requests[0].deadline_ms() < 900);
}

TEST_CASE_METHOD(GatewayFixture, "an agent that is down is asked again") {
  const auto answer = submit();
  runtime.run_for(Millis(1000));
  REQUIRE(answer->status == 0);
  agent_answers(wire::JOB_OK);
  runtime.run_for(Millis(100));
  CHECK(answer->status == 200);
}

TEST_CASE_METHOD(GatewayFixture, "a request that a killed agent held is sent to its successor") {
  agent_hangs();
  const auto answer = submit();
  runtime.run_for(Millis(500));
  agent_answers(wire::JOB_OK);
  runtime.run_for(Millis(1000));
  CHECK(answer->status == 200);
  CHECK(requests.size() == 2);
}

TEST_CASE_METHOD(GatewayFixture, "a rejection of a request that was sent before is in doubt") {
  agent_hangs();
  const auto answer = submit();
  runtime.run_for(Millis(500));
  agent_answers(wire::JOB_REJECTED);
  runtime.run_for(Millis(1000));
  CHECK(answer->status == 504);
}

TEST_CASE_METHOD(GatewayFixture, "a submit to an agent that stays down is in doubt, never refused") {
  const auto answer = submit();
  runtime.run_for(Millis(3000));
  CHECK(answer->status == 504);
  CHECK(taken_by(answer) <= Millis(2950));
}

TEST_CASE_METHOD(GatewayFixture, "a rejection by an agent that saw every try is certain") {
  agent_hangs();
  const auto answer = submit();
  runtime.run_for(Millis(500));
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_REJECTED);
  reply.set_relayed_ms(1399);
  agent_answers(reply);
  runtime.run_for(Millis(1000));
  CHECK(requests.size() == 2);
  CHECK(answer->status == 503);
  CHECK_FALSE(answer->retry_after.empty());
}

TEST_CASE_METHOD(GatewayFixture, "a count is at most two seconds old when it is given") {
  agent_hangs();
  const auto unknown = send(http::verb::get, "/a/");
  runtime.run_for(Millis(310));
  CHECK(unknown->status == 503);
  CHECK_FALSE(unknown->retry_after.empty());
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_OK);
  reply.set_pending(12);
  agent_answers(reply);
  const auto counted = send(http::verb::get, "/a/");
  runtime.run_for(Millis(10));
  CHECK(counted->body == R"({"pending":12})");
  agent_hangs();
  runtime.run_for(Millis(1100));
  const auto remembered = send(http::verb::get, "/a/");
  runtime.run_for(Millis(310));
  CHECK(remembered->body == R"({"pending":12})");
  runtime.run_for(Millis(500));
  const auto forgotten = send(http::verb::get, "/a/");
  runtime.run_for(Millis(310));
  CHECK(forgotten->status == 503);
}

TEST_CASE_METHOD(GatewayFixture, "giving up answers everything once") {
  agent_hangs();
  const auto submitted = submit();
  const auto counted = send(http::verb::get, "/a/");
  runtime.run_for(Millis(50));
  gateway.fail_all_pending();
  CHECK(submitted->status == 504);
  CHECK(counted->status == 503);
  CHECK(gateway.open() == 0);
  runtime.run_for(Millis(5000));
}
