// Guards the interface of winchhall-cluster's command line against unintended changes: options, commands,
// exit codes, keys of JSON and columns of tables are compared with the recorded ones.
#include <stdlib.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <thread>

#include "testbed/cluster/fake_leaf.hpp"
#include "testbed/cluster/http_call.hpp"
#include "testbed/cluster/local_cluster.hpp"
#include "tests/compatibility/json_lines.hpp"
#include "tests/compatibility/program_run.hpp"
#include "tests/compatibility/recorded_lines.hpp"

using namespace winchhall::compatibility;
using namespace winchhall::testbed::cluster;

namespace {

const std::string kProgram = WINCHHALL_CLUSTER_PROGRAM;
const std::string kRecords = WINCHHALL_COMPATIBILITY_FOLDER;
const std::string kInputs = kRecords + "/data/command_line";
constexpr std::chrono::seconds kTimeout{40};
constexpr std::chrono::milliseconds kPollInterval{50};
constexpr const char* kJobId = "00000000000000a1";

// A temporary directory, removed by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "winchhall-compatibility-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path_ = pattern;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

void check_recorded(const std::set<std::string>& present, const std::string& file) {
  const std::set<std::string> recorded = read_recorded_lines(kRecords + "/" + file);
  CHECK(!recorded.empty());
  CHECK(lines_missing(recorded, present) == "");
  CHECK(lines_missing(present, recorded) == "");
}

// The lines of a help text without those of the options: how the program is called, and its commands.
std::set<std::string> usage_lines(const std::string& help) {
  std::istringstream text(help);
  std::set<std::string> lines;
  for (std::string line; std::getline(text, line);) {
    const std::size_t begin = line.find_first_not_of(' ');
    if (begin == std::string::npos || line[begin] == '-') continue;
    lines.insert(line.substr(begin));
  }
  return lines;
}

// The header lines of tables: names of columns in capitals.
std::set<std::string> table_headers(const std::string& command, const std::string& output) {
  std::istringstream text(output);
  std::set<std::string> headers;
  for (std::string line; std::getline(text, line);) {
    if (line.empty() || line.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ_ ") != std::string::npos) continue;
    std::istringstream words(line);
    std::string header = command + " columns:";
    for (std::string word; words >> word;) header += " " + word;
    headers.insert(header);
  }
  return headers;
}

bool wait_until(const std::function<bool()>& reached) {
  const auto limit = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < limit) {
    if (reached()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

// A cluster of real processes with one fake leaf, and the operator's commands to it.
class CommandCluster {
 public:
  CommandCluster() : cluster_(kProgram, 1, "records") {
    cluster_.start_all();
    leaf_ = std::make_unique<FakeLeaf>(FakeLeafOptions{cluster_.worker_address(0), "i-1", "records", "a"});
  }

  ProgramRun run(const std::string& arguments) const {
    return run_program(kProgram, "--control " + cluster_.control_address(0) + " --control " +
                                     cluster_.control_address(1) + " " + arguments);
  }

  // True if every member responds and reports leaders and services.
  bool all_members_know_leaders() const {
    const std::string status = run("--json status").output;
    return status.find("\"leaders\":[]") == std::string::npos &&
           status.find("\"services\":[]") == std::string::npos &&
           status.find("\"reachable\":false") == std::string::npos;
  }

  // Submits a job and waits until it has completed.
  bool run_job() const {
    const std::string job =
        R"({"spec":"x","stages":[{"count":2,"cpu":500,"mem_mb":100,"estimated_ms":100}]})";
    return wait_until([&] { return call_as_client("POST", job).status == 200; }) &&
           wait_until([&] { return call_as_client("GET", "").body.find("completed") != std::string::npos; });
  }

 private:
  HttpCallResponse call_as_client(const std::string& method, const std::string& body) const {
    HttpCall call;
    call.address = cluster_.front_address();
    call.method = method;
    call.target = std::string("/extract/") + kJobId;
    call.host = "demo.example";
    call.body = body;
    return send_http_call(call);
  }

  LocalCluster cluster_;
  std::unique_ptr<FakeLeaf> leaf_;
};

// Adds the key paths and types of a command's JSON output, and the columns of its table.
void add_json_and_columns(const CommandCluster& cluster, const std::string& command,
                          std::set<std::string>& lines) {
  const ProgramRun json = cluster.run("--json " + command);
  INFO(command << ": " << json.output);
  REQUIRE(json.exit_code == 0);
  for (const std::string& line : json_lines(json.output, JsonDetail::types))
    lines.insert(command + " " + line);
  lines.merge(table_headers(command, cluster.run(command).output));
}

}  // namespace

TEST_CASE("the help text names the recorded options and commands") {
  const ProgramRun help = run_program(kProgram, "--help");
  CHECK(help.exit_code == 0);
  std::set<std::string> lines;
  for (const std::string& entry : help_entries(help.output)) lines.insert("option " + entry);
  for (const std::string& line : usage_lines(help.output)) lines.insert("usage " + line);
  check_recorded(lines, "command_line_help.txt");
}

TEST_CASE("commands without a cluster end with the recorded exit codes") {
  const std::set<std::string> recorded = read_recorded_lines(kRecords + "/command_line_exit_codes.txt");
  CHECK(recorded.size() >= 60);
  for (const std::string& line : recorded) {
    const TemporaryFolder folder;
    const std::size_t colon = line.find(':');
    std::string arguments = with_value(line.substr(colon + 1), "inputs", kInputs);
    arguments = with_value(arguments, "folder", folder.path());
    const ProgramRun run = run_program(kProgram, arguments);
    INFO(line << "\n" << run.output);
    CHECK(std::to_string(run.exit_code) == line.substr(0, colon));
  }
}

TEST_CASE("commands to a running cluster end with their exit codes and print the recorded keys and columns") {
  const CommandCluster cluster;
  REQUIRE(wait_until([&] { return cluster.run("config get").exit_code == 6; }));
  const std::string put = "config put " + kInputs + "/configuration.json";
  REQUIRE(wait_until([&] { return cluster.run("--base 0 " + put).exit_code == 0; }));
  CHECK(cluster.run("--base 0 " + put).exit_code == 0);
  CHECK(cluster.run("--base 7 " + put).exit_code == 5);
  CHECK(cluster.run("config put " + kInputs + "/refused_configuration.json").exit_code == 3);
  CHECK(cluster.run("config put " + kInputs + "/none.json").exit_code == 3);
  REQUIRE(cluster.run_job());
  REQUIRE(wait_until([&] { return cluster.all_members_know_leaders(); }));
  std::set<std::string> lines;
  for (const char* command : {"jobs list", "nodes", "members", "leader", "status"})
    add_json_and_columns(cluster, command, lines);
  add_json_and_columns(cluster, std::string("jobs show ") + kJobId, lines);
  add_json_and_columns(cluster, "top --rounds 1 --interval 0", lines);
  for (const std::string& line : json_lines(cluster.run("config get").output, JsonDetail::types)) {
    lines.insert("config get " + line);
  }
  for (const std::string& line : json_lines(cluster.run("--base 0 " + put).output, JsonDetail::types)) {
    lines.insert("config put " + line);
  }
  check_recorded(lines, "command_line_output.txt");
  CHECK(cluster.run("--service records jobs list").exit_code == 0);
  CHECK(cluster.run("--service unknown jobs list").exit_code == 6);
  CHECK(cluster.run("jobs show 00000000000000ff").exit_code == 6);
  CHECK(cluster.run("jobs cancel 00000000000000ff").exit_code == 6);
  CHECK(cluster.run(std::string("jobs cancel ") + kJobId).exit_code == 0);
}
