// Responses of a control node's operator API, with a fake NodeInspection.
#include "cluster/control/operator_api.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "tests/cluster/support/configuration_fixture.hpp"
#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

// A node that leads the service "core". "fraud" is led by another node, and "idle" has no known leader.
class FakeNodeInspection : public NodeInspection {
 public:
  ControlStatus status() const override {
    ControlStatus status;
    status.node = "core-a-1";
    status.member_id = 7;
    status.has_quorum_contact = quorum_contact;
    status.configuration_version = 12;
    status.members.set_epoch(3);
    wire::Member& member = *status.members.add_members();
    member.set_id(7);
    member.set_http_address("127.0.0.1:8144");
    ServiceStatus service;
    service.service = "core";
    service.leads = true;
    service.epoch = 5;
    service.stats.live_jobs = 2;
    service.stats.counters.ends[wire::END_DONE] = 9;
    status.services.push_back(service);
    return status;
  }
  bool has_quorum_contact() const override { return quorum_contact; }
  Leadership leadership(const std::string& service) const override {
    if (service == "core") return {LeadershipKind::this_node, {}};
    if (service == "fraud") return {LeadershipKind::other_node, "127.0.0.2:8144"};
    if (service == "idle") return {LeadershipKind::unknown, {}};
    return {LeadershipKind::no_such_service, {}};
  }
  std::vector<ServiceJobs> jobs(const std::string&, std::size_t limit) const override {
    requested_limit = limit;
    JobView job;
    job.id = "00000000000000a1";
    job.state = wire::JOB_RUNNING;
    return {ServiceJobs{"core", JobList{40, {job}}}};
  }
  std::optional<ServiceJob> job(const std::string&, const std::string& id) const override {
    if (id != "00000000000000a1") return std::nullopt;
    JobDetail detail;
    detail.job.id = id;
    detail.job.state = wire::JOB_COMPLETED;
    detail.stages.push_back({0, 1, 4, 4, 0, 1});
    detail.runs.push_back({id + ".0.1.2", 4097, "leaf-3", 50, true});
    return ServiceJob{"core", detail};
  }
  std::vector<ServiceLeaves> leaves(const std::string&) const override {
    LeafView leaf;
    leaf.id = "leaf-3";
    leaf.labels = {"a", "r1-3"};
    leaf.capacity.cpu = 4000;
    return {ServiceLeaves{"core", {leaf}}};
  }
  void cancel(const std::string&, const std::string& id, std::function<void(CancelOutcome)> done) override {
    canceled.insert(id);
    done(cancel_outcome);
  }

  bool quorum_contact = true;
  mutable std::size_t requested_limit = 0;
  std::set<std::string> canceled;
  CancelOutcome cancel_outcome = CancelOutcome::canceled;
};

struct OperatorApiFixture {
  testing::FakeRuntime runtime;
  configuration_test::SharedRegisters registers;
  std::optional<ShardList> shards =
      ShardList{{"service/deleted", "service/core"}, {}};  // as a majority lists
  ConfigurationService configuration{runtime, registers, dependencies()};
  FakeNodeInspection node;
  OperatorApi api{configuration, node};

  ConfigurationDependencies dependencies() {
    ConfigurationDependencies dependencies{[] { return std::vector<wire::ShardLeader>(); },
                                           [] { return std::vector<wire::Member>(); }, [] { return true; }};
    dependencies.list_shards = [this](const ShardListReader::Done& done) { done(shards); };
    return dependencies;
  }

  HttpResponse send(http::verb method, const std::string& target) {
    HttpRequest request;
    request.method(method);
    request.target(target);
    std::optional<HttpResponse> answer;
    api.handle(request, [&answer](HttpResponse response) { answer = std::move(response); });
    REQUIRE(answer);
    return *answer;
  }
  json::value get(const std::string& target) {
    const HttpResponse answer = send(http::verb::get, target);
    REQUIRE(answer.result_int() == 200);
    return json::parse(answer.body());
  }
};

}  // namespace

TEST_CASE_METHOD(OperatorApiFixture,
                 "status shows the member record, the leases and the figures of led services") {
  const json::value status = get("/v1/status");
  CHECK(status.at("node").as_string() == "core-a-1");
  CHECK(status.at("member_id").to_number<std::uint64_t>() == 7);
  CHECK(status.at("in_touch").as_bool());
  CHECK(status.at("configuration_version").to_number<std::uint64_t>() == 12);
  CHECK(status.at("member_record").at("epoch").to_number<std::uint64_t>() == 3);
  CHECK(status.at("member_record").at("members").at(0).at("http_address").as_string() == "127.0.0.1:8144");
  const json::value& service = status.at("services").at(0);
  CHECK(service.at("epoch").to_number<std::uint64_t>() == 5);
  CHECK(service.at("jobs").to_number<std::uint64_t>() == 2);
  CHECK(service.at("ends").at("done").to_number<std::uint64_t>() == 9);
}

TEST_CASE_METHOD(
    OperatorApiFixture,
    "a node without quorum contact shows that in its status and answers 503 for jobs and nodes") {
  node.quorum_contact = false;
  CHECK_FALSE(get("/v1/status").at("in_touch").as_bool());
  const char* target =
      GENERATE("/v1/jobs", "/v1/nodes", "/v1/jobs/00000000000000a1", "/v1/jobs/00000000000000a2",
               "/v1/jobs?service=core", "/v1/nodes?service=unknown");
  const HttpResponse answer = send(http::verb::get, target);
  CHECK(answer.result_int() == 503);
  CHECK(json::parse(answer.body()).at("error").at("field").as_string() == "in_touch");
  CHECK(send(http::verb::post, "/v1/jobs/00000000000000a1/cancel").result_int() == 503);
  CHECK(node.canceled.empty());
}

TEST_CASE_METHOD(OperatorApiFixture, "jobs are listed within a limit") {
  const json::value listed = get("/v1/jobs?limit=3");
  CHECK(node.requested_limit == 3);
  CHECK(listed.at("services").at(0).at("total").to_number<std::uint64_t>() == 40);
  CHECK(listed.at("services").at(0).at("jobs").at(0).at("state").as_string() == "running");
  get("/v1/jobs?limit=none");
  CHECK(node.requested_limit == kDefaultJobLimit);
  get("/v1/jobs?limit=99999999");
  CHECK(node.requested_limit == kMaxJobLimit);
}

TEST_CASE_METHOD(OperatorApiFixture, "a job is shown with its stages and runs") {
  const json::value job = get("/v1/jobs/00000000000000a1?service=core");
  CHECK(job.at("service").as_string() == "core");
  CHECK(job.at("state").as_string() == "completed");
  CHECK(job.at("stages").at(0).at("failures").to_number<std::uint64_t>() == 1);
  CHECK(job.at("running").at(0).at("run").to_number<std::uint64_t>() == 4097);
  CHECK(send(http::verb::get, "/v1/jobs/00000000000000a2").result_int() == 404);
}

TEST_CASE_METHOD(OperatorApiFixture, "the response to a cancel depends on its outcome") {
  CHECK(send(http::verb::post, "/v1/jobs/00000000000000a1/cancel").result_int() == 200);
  CHECK(node.canceled.count("00000000000000a1") == 1);
  node.cancel_outcome = CancelOutcome::not_found;
  CHECK(send(http::verb::post, "/v1/jobs/00000000000000a2/cancel").result_int() == 404);
  node.cancel_outcome = CancelOutcome::unavailable;
  CHECK(send(http::verb::post, "/v1/jobs/00000000000000a1/cancel").result_int() == 503);
}

TEST_CASE_METHOD(OperatorApiFixture, "leaves are listed with labels and capacity") {
  const json::value nodes = get("/v1/nodes?service=core");
  const json::value& leaf = nodes.at("services").at(0).at("nodes").at(0);
  CHECK(leaf.at("id").as_string() == "leaf-3");
  CHECK(leaf.at("labels").at(1).as_string() == "r1-3");
  CHECK(leaf.at("capacity").at("cpu").to_number<std::uint64_t>() == 4000);
}

TEST_CASE_METHOD(OperatorApiFixture, "calls for a service are redirected to the node that leads it") {
  const HttpResponse elsewhere = send(http::verb::get, "/v1/jobs?service=fraud&limit=5");
  CHECK(elsewhere.result_int() == 307);
  CHECK(elsewhere[http::field::location] == "http://127.0.0.2:8144/v1/jobs?service=fraud&limit=5");
  CHECK(send(http::verb::get, "/v1/nodes?service=idle").result_int() == 503);
  CHECK(send(http::verb::get, "/v1/nodes?service=none").result_int() == 404);
  send(http::verb::post, "/v1/jobs/00000000000000a1/cancel?service=fraud");
  CHECK(node.canceled.empty());
}

// Guards against a job that operators are told doesn't exist: a node that had just started knew fewer
// services than the others.
TEST_CASE_METHOD(OperatorApiFixture, "a service that only other nodes know is not called unknown") {
  CHECK(send(http::verb::get, "/v1/jobs/00000000000000a1?service=deleted").result_int() == 503);
  CHECK(send(http::verb::post, "/v1/jobs/00000000000000a1/cancel?service=deleted").result_int() == 503);
  CHECK(send(http::verb::get, "/v1/nodes?service=none").result_int() == 404);
  shards.reset();
  CHECK(send(http::verb::get, "/v1/nodes?service=none").result_int() == 503);
}

TEST_CASE_METHOD(OperatorApiFixture, "all services that may hold jobs are listed by a majority") {
  configuration.put("0", configuration_test::small_configuration(5), [](const ConfigurationOutcome&) {});
  registers.run_all();
  const json::value listed = get("/v1/services");
  CHECK(listed.at("services") == json::array{"core", "deleted", "fraud"});
  shards.reset();
  CHECK(send(http::verb::get, "/v1/services").result_int() == 503);
}

TEST_CASE_METHOD(OperatorApiFixture, "unknown paths give 404, wrong methods 405") {
  CHECK(send(http::verb::get, "/v1/nothing").result_int() == 404);
  CHECK(send(http::verb::get, "/v1/jobs/").result_int() == 404);
  CHECK(send(http::verb::get, "/v1/jobs/a/b").result_int() == 404);
  CHECK(send(http::verb::post, "/v1/status").result_int() == 405);
  CHECK(send(http::verb::get, "/v1/Config.Put").result_int() == 405);
  CHECK(send(http::verb::get, "/v1/jobs/a/cancel").result_int() == 405);
}
