// Parsing of the command line, the operators' commands to fake control nodes, and the exit codes.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <sstream>
#include <thread>

#include "cluster/cli/command_line.hpp"
#include "cluster/cli/control_client.hpp"
#include "cluster/cli/error_report.hpp"
#include "cluster/cli/exit_codes.hpp"
#include "cluster/cli/operator_commands.hpp"
#include "cluster/http/server.hpp"
#include "tests/cluster/support/temporary_file.hpp"

using namespace winchhall::cluster;
using winchhall::cluster::testing::TemporaryFile;

namespace {

// A control node with scripted responses, which serves on its own thread.
class FakeControlNode {
 public:
  explicit FakeControlNode(std::function<HttpResponse(const HttpRequest&)> answer)
      : server_(make_http_server(
            loop_, "127.0.0.1:0",
            [this, answer = std::move(answer)](const HttpRequest& request, const HttpReplyCallback& reply) {
              requests_.push_back(request);
              reply(answer(request));
            })),
        address_("127.0.0.1:" + std::to_string(server_->port())),
        thread_([this] { loop_.run(); }) {}
  ~FakeControlNode() {
    loop_.stop();
    thread_.join();
  }

  const Address& address() const { return address_; }
  // Only to be called while no command is running.
  const std::vector<HttpRequest>& requests() const { return requests_; }

 private:
  boost::asio::io_context loop_{1};
  std::vector<HttpRequest> requests_;
  std::unique_ptr<HttpServer> server_;
  Address address_;
  std::thread thread_;
};

struct CommandResult {
  int code = 0;
  std::string output;
  std::string errors;
};

CommandLine line_of(const std::vector<std::string>& words, const std::vector<Address>& control) {
  CommandLine line;
  line.arguments = words;
  line.control = control;
  return line;
}

CommandResult run(const CommandLine& line) {
  std::ostringstream output;
  std::ostringstream errors;
  CommandResult result;
  const auto action = [&]() -> leaf::result<int> {
    BOOST_LEAF_CHECK(run_operator_command(line, output));
    return kExitSuccess;
  };
  result.code = report_failures(action, errors);
  result.output = output.str();
  result.errors = errors.str();
  return result;
}

// The parsed command line, or the exit code of the error.
struct Parsed {
  CommandLine line;
  int code = 0;
  std::string errors;
};

Parsed parse(std::vector<const char*> words) {
  words.insert(words.begin(), "winchhall-cluster");
  words.push_back(nullptr);
  Parsed parsed;
  std::ostringstream errors;
  const auto action = [&]() -> leaf::result<int> {
    BOOST_LEAF_ASSIGN(parsed.line, parse_command_line(static_cast<int>(words.size()) - 1, words.data()));
    return kExitSuccess;
  };
  parsed.code = report_failures(action, errors);
  parsed.errors = errors.str();
  return parsed;
}

const char* const kStatus =
    R"({"node":"core-a-1","member_id":7,"votes":true,"in_touch":true,"configuration_version":12,)"
    R"("member_record":{"epoch":3,"members":[{"id":7,"zone":"a","address":"127.0.0.1:1","http_address":""}]},)"
    R"("leaders":[{"shard":"service/core","epoch":5,"member":7,"address":"127.0.0.1:1"}],)"
    R"("services":[{"service":"core","leads":true,"epoch":5,"jobs":2}]})";

const char* const kJobs =
    R"({"services":[{"service":"core","total":1,"jobs":[{"id":"00000000000000a1","queue":"q","state":"running",)"
    R"("priority":1,"runs":3}]}]})";

const char* const kServices = R"({"services":["core"]})";

// A settings file that names control nodes.
std::string settings_text(const std::string& seeds) {
  return "node_name = \"edge-1\"\nip = \"127.0.0.1\"\ninternal_ports = [7380,7395]\nseeds = [" + seeds +
         "]\n";
}

HttpResponse status_then(const HttpRequest& request, unsigned status, const std::string& body) {
  if (request.target() == "/v1/services") return json_response(200, kServices);
  return request.target() == "/v1/status" ? json_response(200, kStatus) : json_response(status, body);
}

}  // namespace

TEST_CASE("options and arguments are parsed") {
  const Parsed parsed =
      parse({"--settings", "node.toml", "--log-level", "warning", "--metrics", "9100", "-c", "127.0.0.1:1",
             "--control", "127.0.0.1:2", "--json", "--limit", "5", "--base", "7", "jobs", "show", "a1"});
  REQUIRE(parsed.code == kExitSuccess);
  CHECK(parsed.line.arguments == std::vector<std::string>{"jobs", "show", "a1"});
  CHECK(parsed.line.settings_file == "node.toml");
  CHECK(parsed.line.log_level == LogLevel::warning);
  CHECK(parsed.line.metrics_port == 9100);
  CHECK(parsed.line.control == std::vector<Address>{"127.0.0.1:1", "127.0.0.1:2"});
  CHECK(parsed.line.json);
  CHECK(parsed.line.limit == 5);
  CHECK(parsed.line.base_version == 7u);
  CHECK(parsed.line.argument(7).empty());
}

TEST_CASE("options may follow the command") {
  const Parsed parsed = parse({"status", "--json", "-s", "node.toml"});
  REQUIRE(parsed.code == kExitSuccess);
  CHECK(parsed.line.command() == "status");
  CHECK(parsed.line.json);
  CHECK(parsed.line.settings_file == "node.toml");
}

TEST_CASE("an invalid command line is a usage error") {
  CHECK(parse({}).code == kExitUsage);
  CHECK(parse({"--unknown", "status"}).code == kExitUsage);
  CHECK(parse({"status", "--settings"}).code == kExitUsage);
  CHECK(parse({"--unknown", "status"}).errors.find("usage: winchhall-cluster") != std::string::npos);
}

TEST_CASE("an invalid value of an option is invalid input") {
  CHECK(parse({"--log-level", "loud", "agent"}).code == kExitInvalid);
  CHECK(parse({"--metrics", "65536", "agent"}).code == kExitInvalid);
  CHECK(parse({"--rounds", "-1", "top"}).code == kExitInvalid);
  CHECK(parse({"--limit", "5x", "jobs", "list"}).errors.find("limit") != std::string::npos);
}

TEST_CASE("the settings file defaults to the environment variable") {
  ::setenv("WINCHHALL_NODE_FILE", "/of/environment.toml", 1);
  CHECK(parse({"status"}).line.settings_file == "/of/environment.toml");
  CHECK(parse({"-s", "given.toml", "status"}).line.settings_file == "given.toml");
  ::unsetenv("WINCHHALL_NODE_FILE");
}

TEST_CASE("control nodes are taken from the command line, or else from the settings") {
  const TemporaryFile settings(settings_text("\"127.0.0.1:5\",\"127.0.0.1:6\""));
  CommandLine line = line_of({"status"}, {});
  line.settings_file = settings.path();
  const auto nodes_of = [](const CommandLine& given) {
    return leaf::try_handle_all([&] { return control_nodes(given); }, [] { return std::vector<Address>(); });
  };
  CHECK(nodes_of(line) == std::vector<Address>{"127.0.0.1:5", "127.0.0.1:6"});
  line.control = {"127.0.0.1:9"};
  CHECK(nodes_of(line) == std::vector<Address>{"127.0.0.1:9"});
  CHECK(run(line_of({"status"}, {})).code == kExitUsage);
}

TEST_CASE("an invalid settings file is reported with the line") {
  const TemporaryFile settings("node_name = \"edge-1\"\nip = 5\ninternal_ports = [7380,7395]\n");
  CommandLine line = line_of({"status"}, {});
  line.settings_file = settings.path();
  const CommandResult result = run(line);
  CHECK(result.code == kExitInvalid);
  CHECK(result.errors.find(settings.path() + ":2: ip: '5'; allowed: a text") != std::string::npos);
}

TEST_CASE("unknown and incomplete commands are a usage error") {
  const std::vector<Address> control = {"127.0.0.1:1"};
  CHECK(run(line_of({"jobs"}, control)).code == kExitUsage);
  CHECK(run(line_of({"jobs", "show"}, control)).code == kExitUsage);
  CHECK(run(line_of({"config", "put"}, control)).code == kExitUsage);
  CHECK(run(line_of({"unheard-of"}, control)).code == kExitUsage);
  CHECK(run(line_of({"status"}, {"no-address"})).code == kExitInvalid);
}

TEST_CASE("tables and JSON are printed") {
  FakeControlNode node([](const HttpRequest& request) { return status_then(request, 200, kJobs); });
  CommandLine line = line_of({"jobs", "list"}, {node.address()});
  CommandResult result = run(line);
  CHECK(result.code == kExitSuccess);
  CHECK(result.output.find("core     00000000000000a1  q      running  1         3") != std::string::npos);
  line.json = true;
  result = run(line);
  CHECK(result.output.find(R"("id":"00000000000000a1")") != std::string::npos);
  CHECK(run(line_of({"members"}, {node.address()})).output.find("member record 3") == 0);
  CHECK(run(line_of({"leader"}, {node.address()})).output.find("service/core  5") != std::string::npos);
  CHECK(run(line_of({"status"}, {node.address()})).output.find("unreachable") != std::string::npos);
}

TEST_CASE("top ends after the requested rounds") {
  FakeControlNode node([](const HttpRequest& request) { return status_then(request, 404, "{}"); });
  CommandLine line = line_of({"top"}, {node.address()});
  line.rounds = 3;
  line.interval_s = 0;
  CHECK(run(line).code == kExitSuccess);
  CHECK(node.requests().size() == 3);
}

TEST_CASE("a job that no leader knows is not found") {
  FakeControlNode node([](const HttpRequest& request) { return status_then(request, 404, "{}"); });
  const CommandResult result = run(line_of({"jobs", "show", "a1"}, {node.address()}));
  CHECK(result.code == kExitNotFound);
  CHECK(result.errors == "winchhall-cluster: not found: job a1\n");
  REQUIRE(node.requests().size() == 2);
  CHECK(node.requests()[1].target() == "/v1/jobs/a1?service=core");
  CHECK(run(line_of({"jobs", "show", "a/1"}, {node.address()})).code == kExitInvalid);
}

// Guards against a job that operators are told doesn't exist: the services were taken from the status of one
// control node, which may have just started.
TEST_CASE("a job is searched at all services that a majority lists") {
  FakeControlNode node([](const HttpRequest& request) {
    if (request.target() == "/v1/services") return json_response(200, R"({"services":["core","deleted"]})");
    const bool known = request.target() == "/v1/jobs/a1?service=deleted";
    return known ? json_response(200, R"({"id":"a1"})") : status_then(request, 404, "{}");
  });
  CHECK(run(line_of({"jobs", "show", "a1"}, {node.address()})).output == "{\"id\":\"a1\"}\n");
}

TEST_CASE("a job that can't be searched at all services is not called unknown") {
  FakeControlNode node([](const HttpRequest& request) {
    return request.target() == "/v1/services" ? json_response(503, "{}") : status_then(request, 404, "{}");
  });
  CHECK(run(line_of({"jobs", "show", "a1"}, {node.address()})).code == kExitUnavailable);
}

TEST_CASE("with a control node of an earlier version a job is searched at the services of its status") {
  FakeControlNode node([](const HttpRequest& request) {
    if (request.target() == "/v1/services") return json_response(404, "{}");
    const bool known = request.target() == "/v1/jobs/a1?service=core";
    return known ? json_response(200, R"({"id":"a1"})") : status_then(request, 404, "{}");
  });
  CHECK(run(line_of({"jobs", "show", "a1"}, {node.address()})).output == "{\"id\":\"a1\"}\n");
}

TEST_CASE("a redirect to the leader is followed") {
  FakeControlNode leader([](const HttpRequest&) { return json_response(200, R"({"id":"a1"})"); });
  FakeControlNode other([&leader](const HttpRequest& request) {
    if (request.target() == "/v1/services") return json_response(200, kServices);
    HttpResponse response = json_response(307, "{}");
    response.set(boost::beast::http::field::location,
                 "http://" + leader.address() + std::string(request.target()));
    return response;
  });
  CHECK(run(line_of({"jobs", "cancel", "a1"}, {other.address()})).output == "{\"id\":\"a1\"}\n");
  REQUIRE(leader.requests().size() == 1);
  CHECK(leader.requests()[0].method() == boost::beast::http::verb::post);
  CHECK(leader.requests()[0].target() == "/v1/jobs/a1/cancel?service=core");
}

TEST_CASE("a redirect loop is abandoned") {
  Address self;
  FakeControlNode node([&self](const HttpRequest&) {
    HttpResponse response = json_response(307, "{}");
    response.set(boost::beast::http::field::location, "http://" + self + "/v1/status");
    return response;
  });
  self = node.address();
  ControlClient client(ControlClientOptions{{node.address()}, Millis(5000), Millis(0), 1});
  const bool abandoned = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(client.call(ControlRequest{}));
        return false;
      },
      [](const ControlUnavailable&) { return true; }, [] { return false; });
  CHECK(abandoned);
  CHECK(node.requests().size() == 3);
}

TEST_CASE("another node is called if one fails") {
  FakeControlNode broken([](const HttpRequest&) { return json_response(503, "{}"); });
  FakeControlNode good([](const HttpRequest&) { return json_response(200, R"({"version":4})"); });
  const CommandResult result =
      run(line_of({"config", "get"}, {broken.address(), "127.0.0.1:1", good.address()}));
  CHECK(result.code == kExitSuccess);
  CHECK(result.output == "{\"version\":4}\n");
  CHECK(broken.requests().size() == 1);
}

TEST_CASE("nodes that all fail are unavailable") {
  FakeControlNode broken([](const HttpRequest&) { return json_response(503, "{}"); });
  ControlClient client(ControlClientOptions{{broken.address()}, Millis(5000), Millis(0), 3});
  std::ostringstream errors;
  const auto action = [&]() -> leaf::result<int> {
    BOOST_LEAF_CHECK(client.call(ControlRequest{}));
    return kExitSuccess;
  };
  CHECK(report_failures(action, errors) == kExitUnavailable);
  CHECK(errors.str().find("answered 503") != std::string::npos);
  CHECK(broken.requests().size() == 3);
}

TEST_CASE("a change is sent with its base version") {
  FakeControlNode node([](const HttpRequest& request) {
    return json_response(200, request.target() == "/v1/Config.Get" ? R"({"version":6})" : R"({"version":8})");
  });
  const TemporaryFile file("{}");
  CHECK(run(line_of({"config", "put", file.path()}, {node.address()})).output == "{\"version\":8}\n");
  CommandLine line = line_of({"config", "patch", file.path()}, {node.address()});
  line.base_version = 3;
  run(line);
  REQUIRE(node.requests().size() == 3);
  CHECK(node.requests()[1].target() == "/v1/Config.Put");
  CHECK(node.requests()[1]["X-Winchhall-Base-Version"] == "6");
  CHECK(node.requests()[2].target() == "/v1/Config.Patch");
  CHECK(node.requests()[2]["X-Winchhall-Base-Version"] == "3");
}

TEST_CASE("rejected changes have the exit code of their error") {
  unsigned status = 412;
  std::string body = R"({"version":9})";
  FakeControlNode node([&](const HttpRequest&) { return json_response(status, body); });
  const TemporaryFile file("{}");
  CommandLine line = line_of({"config", "put", file.path()}, {node.address()});
  line.base_version = 1;
  CommandResult result = run(line);
  CHECK(result.code == kExitConflict);
  CHECK(result.errors == "winchhall-cluster: conflict: version 9 is current\n");
  status = 400;
  body = R"({"error":{"source":"Config.Put","field":"version","value":"1","allowed":"above 9"}})";
  result = run(line);
  CHECK(result.code == kExitInvalid);
  CHECK(result.errors == "winchhall-cluster: invalid: Config.Put: version: '1'; allowed: above 9\n");
  line.arguments.back() = file.path() + ".missing";
  CHECK(run(line).code == kExitInvalid);
}

TEST_CASE("a configuration is checked without a control node") {
  const TemporaryFile bad(R"({"version":1,"routes":5,"services":[],"limits":{}})");
  const CommandResult result = run(line_of({"config", "check", bad.path()}, {}));
  CHECK(result.code == kExitInvalid);
  CHECK(result.errors.find(bad.path() + ": routes") != std::string::npos);
  const TemporaryFile good(R"({"version":1,"routes":[],"services":[],"limits":{}})");
  CHECK(run(line_of({"config", "check", good.path()}, {})).code == kExitSuccess);
}
