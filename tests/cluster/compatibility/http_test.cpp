// Guards the HTTP interfaces against unintended changes: paths, statuses, keys and values of JSON, headers
// and metrics are compared with the recorded ones.
#include <catch2/catch.hpp>
#include <set>
#include <sstream>
#include <string>

#include "cluster/config/configuration.hpp"
#include "cluster/config/configuration_document.hpp"
#include "cluster/control/configuration_responses.hpp"
#include "cluster/control/inspection_responses.hpp"
#include "cluster/control/operator_call.hpp"
#include "cluster/ingress/job_json.hpp"
#include "cluster/ingress/job_responses.hpp"
#include "cluster/ingress/request_target.hpp"
#include "cluster/metrics/collectors.hpp"
#include "cluster/metrics/metrics_server.hpp"
#include "cluster/worker_agent/heartbeat_json.hpp"
#include "tests/compatibility/json_lines.hpp"
#include "tests/compatibility/recorded_lines.hpp"

using namespace winchhall::cluster;
using namespace winchhall::compatibility;
namespace http = boost::beast::http;

namespace {

const std::string kRecords = WINCHHALL_COMPATIBILITY_FOLDER;

// Named responses, as lines "NAME STATUS PATH = VALUE" and "NAME STATUS header NAME: VALUE".
class ResponseLines {
 public:
  void add(const std::string& name, const HttpResponse& response) {
    const std::string head = name + " " + std::to_string(response.result_int()) + " ";
    for (const std::string& line : json_lines(response.body(), JsonDetail::values))
      lines_.insert(head + line);
    for (const auto& field : response.base()) {
      lines_.insert(head + "header " + std::string(field.name_string()) + ": " + std::string(field.value()));
    }
  }
  void add_text(const std::string& name, const std::string& json) {
    for (const std::string& line : json_lines(json, JsonDetail::values)) lines_.insert(name + " " + line);
  }
  const std::set<std::string>& lines() const { return lines_; }

 private:
  std::set<std::string> lines_;
};

void check_recorded(const std::set<std::string>& present, const std::string& file) {
  const std::set<std::string> recorded = read_recorded_lines(kRecords + "/" + file);
  CHECK(!recorded.empty());
  CHECK(lines_missing(recorded, present) == "");
  CHECK(lines_missing(present, recorded) == "");
}

ControlStatus example_status() {
  ControlStatus status;
  status.node = "core-a-1";
  status.zone = "zone-a";
  status.member_id = 7;
  status.votes = true;
  status.has_quorum_contact = true;
  status.configuration_version = 12;
  status.members.set_epoch(3);
  wire::Member& member = *status.members.add_members();
  member.set_id(7);
  member.set_address("127.0.0.1:7101");
  member.set_zone("zone-b");
  member.set_http_address("127.0.0.1:7102");
  wire::ShardLeader& leader = status.leaders.emplace_back();
  leader.set_shard("records");
  leader.set_epoch(21);
  leader.set_holder(8);
  leader.set_address("127.0.0.2:7101");
  ServiceStatus& service = status.services.emplace_back();
  service.service = "records";
  service.leads = true;
  service.epoch = 22;
  service.stats.live_jobs = 31;
  service.stats.waiting_tasks = 32;
  service.stats.runs = 33;
  service.stats.leaves = 34;
  service.stats.counters.jobs_accepted = 35;
  service.stats.counters.tasks_started = 36;
  service.stats.counters.reports = 37;
  for (std::size_t kind = 0; kind < kEndKindCount; ++kind) service.stats.counters.ends[kind] = 40 + kind;
  service.leases_acquired = 51;
  service.leases_lost = 52;
  service.pending_job_replies = 53;
  service.write_times.add(Millis(4));
  service.write_times.add(Millis(4000));
  return status;
}

JobView example_job(wire::JobState state) {
  JobView job;
  job.id = "00000000000000a1";
  job.queue = "extract";
  job.state = state;
  job.priority = 2;
  job.accepted_wall_ms = 1700000000001;
  job.repeats = 3;
  job.repeats_done = 4;
  job.runs = 5;
  return job;
}

ServiceJob example_job_detail() {
  ServiceJob job;
  job.service = "records";
  job.detail.job = example_job(wire::JOB_RUNNING);
  StageView& stage = job.detail.stages.emplace_back();
  stage.repeat = 1;
  stage.number = 2;
  stage.tasks = 3;
  stage.done = 4;
  stage.waiting = 5;
  stage.failures = 6;
  RunView& run = job.detail.runs.emplace_back();
  run.task = "00000000000000a1.0.1.2";
  run.run = 4097;
  run.leaf = "i-1";
  run.percent = 50;
  run.stopping = true;
  return job;
}

LeafView example_leaf() {
  LeafView leaf;
  leaf.id = "i-1";
  leaf.node = "side-a-1";
  leaf.labels = {"ssd", "rack-3"};
  leaf.capacity.cpu = 1;
  leaf.capacity.mem_mb = 2;
  leaf.capacity.gpu = 3;
  leaf.reserved.cpu = 4;
  leaf.reserved.mem_mb = 5;
  leaf.reserved.gpu = 6;
  leaf.runs = 7;
  leaf.draining = true;
  leaf.reported = true;
  leaf.report_age_ms = 8;
  return leaf;
}

void add_inspection_responses(ResponseLines& responses) {
  responses.add("status", status_response(example_status()));
  std::vector<JobView> jobs;
  for (int state = wire::JobState_MIN; state <= wire::JobState_MAX; ++state) {
    jobs.push_back(example_job(static_cast<wire::JobState>(state)));
  }
  responses.add("jobs", jobs_response({ServiceJobs{"records", JobList{40, jobs}}}));
  responses.add("job", job_response(example_job_detail()));
  responses.add("nodes", nodes_response({ServiceLeaves{"records", {example_leaf()}}}));
  responses.add("cancel.canceled", cancel_response(CancelOutcome::canceled, "00000000000000a1"));
  responses.add("cancel.not_found", cancel_response(CancelOutcome::not_found, "00000000000000a1"));
  responses.add("cancel.unavailable", cancel_response(CancelOutcome::unavailable, "00000000000000a1"));
  responses.add("redirect", redirect_response("127.0.0.2:7102", "/v1/jobs?service=records"));
  responses.add("out_of_touch", no_quorum_contact_response());
  responses.add("error", error_response(400, {"source", "field", "value", "allowed"}));
}

void add_configuration_responses(ResponseLines& responses) {
  ConfigurationOutcome outcome;
  outcome.version = 12;
  outcome.error = {"source", "field", "value", "allowed"};
  outcome.kind = ConfigurationOutcomeKind::applied;
  responses.add("change.applied", change_response(outcome));
  outcome.kind = ConfigurationOutcomeKind::conflict;
  responses.add("change.conflict", change_response(outcome));
  outcome.kind = ConfigurationOutcomeKind::invalid;
  responses.add("change.invalid", change_response(outcome));
  outcome.kind = ConfigurationOutcomeKind::unavailable;
  responses.add("change.unavailable", change_response(outcome));
  responses.add("read.found", read_response({ConfigurationReadKind::found, 12, R"({"version":12})"}));
  responses.add("read.missing", read_response({ConfigurationReadKind::missing, 0, ""}));
  responses.add("read.unavailable", read_response({ConfigurationReadKind::unavailable, 0, ""}));
}

void add_job_responses(ResponseLines& responses) {
  for (int verb = wire::JobVerb_MIN; verb <= wire::JobVerb_MAX; ++verb) {
    for (int outcome = wire::JobOutcome_MIN; outcome <= wire::JobOutcome_MAX; ++outcome) {
      wire::JobReply reply;
      reply.set_outcome(static_cast<wire::JobOutcome>(outcome));
      reply.set_state(wire::JOB_RUNNING);
      reply.set_pending(6);
      reply.set_retry_after_ms(1300);
      reply.set_reason("why");
      const std::string name = "client." + std::to_string(verb) + "." + std::to_string(outcome);
      responses.add(name, make_job_response(static_cast<wire::JobVerb>(verb), reply));
    }
  }
  for (int state = wire::JobState_MIN; state <= wire::JobState_MAX; ++state) {
    wire::JobReply reply;
    reply.set_outcome(wire::JOB_OK);
    reply.set_state(static_cast<wire::JobState>(state));
    responses.add("client.state." + std::to_string(state), make_job_response(wire::JOB_QUERY, reply));
  }
  responses.add("client.not_taken", make_unavailable_response(Millis(2500)));
  responses.add("client.in_doubt", make_unknown_outcome_response());
}

void add_heartbeat_responses(ResponseLines& responses) {
  HeartbeatResponse response;
  responses.add_text("heartbeat.empty", heartbeat_response_json(response));
  response.lease = Millis(4000);
  response.last_seen = 3;
  response.fence_token = 21;
  wire::StartOrder& start = response.starts.emplace_back();
  start.set_task("00000000000000a1.0.1.2");
  start.set_run(4097);
  start.set_spec("count rainfall");
  start.set_saved("half");
  wire::StopOrder& stop = response.stops.emplace_back();
  stop.set_task("00000000000000a1.0.1.3");
  stop.set_run(4098);
  response.retry_after = Millis(700);
  responses.add_text("heartbeat.full", heartbeat_response_json(response));
  responses.add_text("heartbeat.error", error_json({"source", "field", "value", "allowed"}));
}

constexpr const char* kConfiguration =
    R"({"version":12,"routes":[{"name":"extract","hostname":"demo.example","path_prefix":"/extract/",)"
    R"("route_type":"unsafe","timeout_ms":3001,"target_latency_ms":801,"priority":2,"backend":"records",)"
    R"("max_retries":3,"stretch":1.5}],"services":[{"name":"records","health_check_path":"/health",)"
    R"("max_connections":64,"protocol":"h1","tls":false,"preconditions":true,"timeout_ms":900}],)"
    R"("limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":2000,)"
    R"("idle_timeout_ms":9000},"unknown_member":{"kept":[1,2]}})";

HttpRequest request_of(http::verb method, const std::string& target) {
  HttpRequest request(method, target, 11);
  request.set(http::field::host, "demo.example");
  return request;
}

// The parsed `kConfiguration`. Fails the test if it can't be parsed.
Configuration read_example_configuration() {
  return winchhall::cluster::leaf::try_handle_all(
      [] { return parse_configuration(kConfiguration, "example"); },
      []() -> Configuration {
        FAIL("the example can't be read");
        return {};
      });
}

// Metric families as lines: "TYPE name kind", and each sample with its labels but without its value.
std::set<std::string> metric_lines(const std::string& role, const MetricFamilies& families) {
  std::istringstream text(metrics_text(families));
  std::set<std::string> lines;
  for (std::string line; std::getline(text, line);) {
    if (line.rfind("# HELP", 0) == 0) continue;
    const bool type = line.rfind("# TYPE", 0) == 0;
    lines.insert(role + " " + (type ? line.substr(2) : line.substr(0, line.rfind(' '))));
  }
  return lines;
}

// A server that only reports fixed numbers of requests, connections and responses.
class FakeHttpServer : public HttpServer {
 public:
  void set_limits(const RequestLimits&) override {}
  void stop_accepting() override {}
  void drain() override {}
  std::size_t open_requests() const override { return 1; }
  std::size_t open_connections() const override { return 2; }
  const std::map<unsigned, std::uint64_t>& responses_by_status() const override { return responses_; }
  unsigned short port() const override { return 0; }

 private:
  std::map<unsigned, std::uint64_t> responses_{{200, 3}, {503, 4}};
};

}  // namespace

TEST_CASE("JSON responses have the recorded statuses, headers, keys and values") {
  ResponseLines responses;
  add_inspection_responses(responses);
  add_configuration_responses(responses);
  add_job_responses(responses);
  add_heartbeat_responses(responses);
  responses.add_text("configuration", configuration_json(read_example_configuration()));
  check_recorded(responses.lines(), "http_answers.txt");
}

TEST_CASE("metrics have the recorded names, types and labels") {
  std::set<std::string> lines;
  const auto add = [&lines](const std::string& role, const auto& collect) {
    MetricFamilies families;
    collect(families);
    lines.merge(metric_lines(role, families));
  };
  add("control", [](MetricFamilies& families) { collect_control(example_status(), families); });
  add("agent", [](MetricFamilies& families) { collect_agent(true, 12, families); });
  add("http", [](MetricFamilies& families) { collect_http(FakeHttpServer(), families); });
  add("process", [](MetricFamilies& families) { collect_process(families); });
  check_recorded(lines, "metrics.txt");
}

TEST_CASE("calls of the operator's API keep their paths, methods and parameters") {
  const auto kind = [](http::verb method, const std::string& target) {
    const OperatorCall call = parse_operator_call(request_of(method, target));
    return call.method_allowed ? call.kind : OperatorCallKind::unknown;
  };
  CHECK(kind(http::verb::get, "/v1/Config.Get") == OperatorCallKind::configuration_get);
  CHECK(kind(http::verb::post, "/v1/Config.Put") == OperatorCallKind::configuration_put);
  CHECK(kind(http::verb::post, "/v1/Config.Patch") == OperatorCallKind::configuration_patch);
  CHECK(kind(http::verb::get, "/v1/status") == OperatorCallKind::status);
  CHECK(kind(http::verb::get, "/v1/jobs?service=records&limit=7") == OperatorCallKind::list_jobs);
  CHECK(kind(http::verb::get, "/v1/jobs/00000000000000a1") == OperatorCallKind::show_job);
  CHECK(kind(http::verb::post, "/v1/jobs/00000000000000a1/cancel") == OperatorCallKind::cancel_job);
  CHECK(kind(http::verb::get, "/v1/nodes") == OperatorCallKind::list_nodes);
  CHECK(kind(http::verb::post, "/v1/status") == OperatorCallKind::unknown);
  CHECK(kind(http::verb::get, "/v1/Config.Put") == OperatorCallKind::unknown);
  const OperatorCall call =
      parse_operator_call(request_of(http::verb::get, "/v1/jobs?service=records&limit=7"));
  CHECK(call.service == "records");
  CHECK(call.limit == 7);
  CHECK(parse_operator_call(request_of(http::verb::get, "/v1/jobs")).limit == 200);
  CHECK(parse_operator_call(request_of(http::verb::post, "/v1/jobs/00000000000000a1/cancel")).id ==
        "00000000000000a1");
}

TEST_CASE("calls of clients keep their paths, methods and headers") {
  const Configuration configuration = read_example_configuration();
  const std::string path = "/extract/00000000000000a1";
  const auto verb = [&](http::verb method, const std::string& target) {
    return resolve_target(configuration, request_of(method, target)).verb;
  };
  CHECK(verb(http::verb::post, path) == wire::JOB_SUBMIT);
  CHECK(verb(http::verb::get, path) == wire::JOB_QUERY);
  CHECK(verb(http::verb::delete_, path) == wire::JOB_CANCEL);
  CHECK(verb(http::verb::get, "/extract/") == wire::JOB_COUNT);
  CHECK(resolve_target(configuration, request_of(http::verb::get, path)).id == "00000000000000a1");
  HttpRequest request = request_of(http::verb::get, path);
  request.set("X-Winchhall-Deadline", "1234");
  CHECK(client_deadline(request) == Millis(1234));
}

TEST_CASE("a configuration is read by its recorded keys") {
  const Configuration configuration = read_example_configuration();
  CHECK(configuration.version == 12);
  REQUIRE(configuration.routes.size() == 1);
  const Route& route = configuration.routes[0];
  CHECK(route.name == "extract");
  CHECK(route.hostname == "demo.example");
  CHECK(route.path_prefix == "/extract/");
  CHECK(route.route_type == "unsafe");
  CHECK(route.timeout_ms == 3001);
  CHECK(route.target_latency_ms == 801);
  CHECK(route.priority == 2);
  CHECK(route.backend == "records");
  CHECK(route.max_retries == 3);
  CHECK(route.stretch == 1.5);
  REQUIRE(configuration.services.size() == 1);
  CHECK(configuration.services[0].name == "records");
  CHECK(configuration.services[0].health_check_path == "/health");
  CHECK(configuration.services[0].max_connections == 64);
  CHECK(configuration.services[0].preconditions);
  CHECK(configuration.limits.max_header_bytes == 8192);
  CHECK(configuration.limits.max_body_bytes == 65536);
  CHECK(configuration.limits.header_timeout_ms == 2000);
  CHECK(configuration.limits.idle_timeout_ms == 9000);
}

TEST_CASE("a submitted job is read by its recorded keys") {
  constexpr const char* kJob =
      R"({"spec":"count rainfall","repeat_count":6,"start_at_ms":1700000000007,"interval_ms":8,"stages":[)"
      R"({"count":9},{"count":1,"cpu":2,"mem_mb":3,"gpu":4,"estimated_ms":5,"depends_on":[0],"checkpoints":true,)"
      R"("gang":true,"same_rack":true,"requirements":"ssd","colocation":"cache","anti_affinity":12,)"
      R"("speculative":true,"long_running":true}]})";
  const wire::JobSpec job = winchhall::cluster::leaf::try_handle_all([] { return parse_job(kJob); },
                                                                     []() -> wire::JobSpec {
                                                                       FAIL("the job can't be read");
                                                                       return {};
                                                                     });
  CHECK(job.spec() == "count rainfall");
  CHECK(job.repeat_count() == 6);
  CHECK(job.start_at_ms() == 1700000000007);
  CHECK(job.interval_ms() == 8);
  REQUIRE(job.stages_size() == 2);
  CHECK(job.stages(0).count() == 9);
  const wire::Stage& stage = job.stages(1);
  CHECK(stage.count() == 1);
  CHECK(stage.cpu() == 2);
  CHECK(stage.mem_mb() == 3);
  CHECK(stage.gpu() == 4);
  CHECK(stage.estimated_ms() == 5);
  REQUIRE(stage.depends_on_size() == 1);
  CHECK(stage.depends_on(0) == 0);
  CHECK(stage.checkpoints());
  CHECK(stage.gang());
  CHECK(stage.same_rack());
  CHECK(stage.requirements() == "ssd");
  CHECK(stage.colocation() == "cache");
  CHECK(stage.anti_affinity() == 12);
  CHECK(stage.speculative());
  CHECK(stage.long_running());
}

TEST_CASE("a heartbeat is read by its recorded keys") {
  constexpr const char* kHeartbeat =
      R"({"backend":"records","address":"127.0.0.1:7300","zone":"zone-a","version":"v4","slots":4,)"
      R"("state":"draining","remaining_ms":5,"warmup_left_ms":6,"capacity":{"cpu":7,"mem_mb":8,"gpu":9},)"
      R"("labels":["ssd"],"sequence":11,"running":[["00000000000000a1.0.1.2",4097,"half",50]],)"
      R"("finished":[[1,"t",1,"done",""],[2,"t",2,"failed",""],[3,"t",3,"stopped",""],[4,"t",4,"lapsed",""],)"
      R"([5,"t",5,"broken",""],[6,"t",6,"alone",""],[7,"t",7,"refused",""],[8,"u",9,"other","most"]]})";
  const Heartbeat heartbeat =
      winchhall::cluster::leaf::try_handle_all([] { return parse_heartbeat("i-1", kHeartbeat); },
                                               []() -> Heartbeat {
                                                 FAIL("the heartbeat can't be read");
                                                 return {};
                                               });
  CHECK(heartbeat.leaf.leaf_id() == "i-1");
  CHECK(heartbeat.leaf.service() == "records");
  CHECK(heartbeat.leaf.address() == "127.0.0.1:7300");
  CHECK(heartbeat.leaf.zone() == "zone-a");
  CHECK(heartbeat.leaf.version() == "v4");
  CHECK(heartbeat.leaf.slots() == 4);
  CHECK(heartbeat.leaf.draining());
  CHECK(heartbeat.leaf.remaining_ms() == 5);
  CHECK(heartbeat.leaf.warmup_left_ms() == 6);
  CHECK(heartbeat.leaf.cpu() == 7);
  CHECK(heartbeat.leaf.mem_mb() == 8);
  CHECK(heartbeat.leaf.gpu() == 9);
  REQUIRE(heartbeat.leaf.labels_size() == 1);
  CHECK(heartbeat.leaf.labels(0) == "ssd");
  CHECK(heartbeat.sequence == 11u);
  REQUIRE(heartbeat.running.size() == 1);
  CHECK(heartbeat.running[0].task() == "00000000000000a1.0.1.2");
  CHECK(heartbeat.running[0].run() == 4097);
  CHECK(heartbeat.running[0].saved() == "half");
  CHECK(heartbeat.running[0].percent() == 50);
  REQUIRE(heartbeat.finished.size() == 8);
  constexpr wire::EndKind kEnds[] = {wire::END_DONE,    wire::END_FAILED, wire::END_STOPPED,
                                     wire::END_LAPSED,  wire::END_BROKEN, wire::END_ALONE,
                                     wire::END_REFUSED, wire::END_UNKNOWN};
  for (std::size_t index = 0; index < 8; ++index) {
    CHECK(heartbeat.finished[index].number() == index + 1);
    CHECK(heartbeat.finished[index].how() == kEnds[index]);
  }
  CHECK(heartbeat.finished[7].task() == "u");
  CHECK(heartbeat.finished[7].run() == 9);
  CHECK(heartbeat.finished[7].saved() == "most");
}
