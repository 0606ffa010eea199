#include "testbed/cluster/rolling_upgrade.hpp"

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "testbed/cluster/fake_leaf.hpp"
#include "testbed/cluster/http_call.hpp"
#include "testbed/cluster/local_cluster.hpp"
#include "testbed/cluster/records_service.hpp"

namespace winchhall::testbed::cluster {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kTimeout{40};
constexpr std::chrono::milliseconds kPollInterval{50};
constexpr unsigned kControlNodes = 3;
constexpr unsigned kWorkers = 2;
constexpr unsigned kMaxRetries = 3;
constexpr const char* kJob =
    R"({"spec":"x","stages":[{"count":6,"cpu":1000,"mem_mb":100,"estimated_ms":300},)"
    R"({"count":3,"cpu":1000,"mem_mb":100,"estimated_ms":300,"depends_on":[0]}]})";

bool wait_until(const std::function<bool()>& reached) {
  const Clock::time_point limit = Clock::now() + kTimeout;
  while (Clock::now() < limit) {
    if (reached()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

// One rolling upgrade: owns the cluster, its fake leaves, and the acknowledged jobs and changes.
class RollingUpgrade {
 public:
  RollingUpgrade(const std::string& old_program, std::string new_program)
      : new_program_(std::move(new_program)), cluster_(old_program, kWorkers, kRecordsService) {}

  int run() {
    if (!start_cluster()) return EXIT_FAILURE;
    std::vector<std::string> names;
    for (unsigned index = 0; index < kControlNodes; ++index)
      names.push_back("control-" + std::to_string(index));
    names.insert(names.end(), {"agent", "ingress"});
    for (unsigned index = 0; index < kWorkers; ++index) names.push_back("worker-" + std::to_string(index));
    for (const std::string& name : names) {
      if (!replace(name)) break;
    }
    check_jobs();
    check_tasks();
    check_changes();
    std::printf("%zu jobs and %zu changes of the configuration acknowledged, %u faults\n", jobs_.size(),
                changes_.size(), faults_);
    return faults_ == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  }

 private:
  bool fail(const std::string& fault) {
    std::printf("FAULT: %s\n", fault.c_str());
    std::fflush(stdout);
    ++faults_;
    return false;
  }

  bool start_cluster() {
    cluster_.start_all();
    for (unsigned index = 0; index < kWorkers; ++index) {
      leaves_.push_back(std::make_unique<FakeLeaf>(FakeLeafOptions{
          cluster_.worker_address(index), "i-" + std::to_string(index), kRecordsService, "a"}));
    }
    const ConfigurationChange first = first_configuration(kMaxRetries);
    if (!send_until_acknowledged(first)) return fail("the first configuration is not taken");
    changes_.push_back(first);
    return submit_job() && change_configuration();
  }

  bool replace(const std::string& name) {
    std::printf("replacing %s\n", name.c_str());
    std::fflush(stdout);
    const bool carries_client_requests = name == "agent" || name == "ingress";
    if (!submit_job()) return false;
    const int status = cluster_.terminate(name);
    if (status != 0) fail(name + " ended with status " + std::to_string(status));
    if (!change_configuration()) return false;
    if (!carries_client_requests && !submit_job()) return false;
    cluster_.set_program(name, new_program_);
    cluster_.start(name);
    if (!wait_until([&] { return is_ready(name); })) return fail(name + " does not come back");
    return submit_job() && change_configuration();
  }

  bool is_ready(const std::string& name) const {
    HttpCall call;
    call.address = cluster_.ready_address();
    call.target = "/v1/readiness";
    const bool control = name.rfind("control-", 0) == 0;
    if (control) {
      call.address =
          cluster_.control_address(static_cast<unsigned>(std::stoul(name.substr(name.find('-') + 1))));
      call.target = "/v1/status";
    }
    const HttpCallResponse response = send_http_call(call);
    if (response.status != kHttpOk) return false;
    return !control || (response.body.find(R"("votes":true)") != std::string::npos &&
                        response.body.find(R"("in_touch":true)") != std::string::npos);
  }

  HttpCallResponse call_as_client(const char* method, const std::string& job, const char* body) const {
    return send_http_call(job_call(cluster_.front_address(), method, job, body));
  }

  bool submit_job() {
    const std::string job = job_id(jobs_.size() + 1);
    if (!wait_until([&] { return call_as_client("POST", job, kJob).status == kHttpOk; })) {
      return fail("job " + job + " is not taken");
    }
    jobs_.push_back(job);
    return true;
  }

  // Sends a change, to the control nodes in turn, until it is acknowledged with its version.
  bool send_until_acknowledged(const ConfigurationChange& change) {
    return wait_until([&] {
      const std::string control = cluster_.control_address(next_control_++ % kControlNodes);
      return acknowledges(send_http_call(configuration_call(change, control)), change);
    });
  }

  bool change_configuration() {
    const ConfigurationChange change = add_route(changes_.back().version);
    if (!send_until_acknowledged(change)) return fail("change " + change.route + " is not taken");
    changes_.push_back(change);
    return true;
  }

  void check_jobs() {
    for (const std::string& job : jobs_) {
      HttpCallResponse last;
      const bool completed = wait_until([&] {
        last = call_as_client("GET", job, "");
        return last.status == kHttpOk && last.body.find("completed") != std::string::npos;
      });
      if (!completed) fail("job " + job + ": " + std::to_string(last.status) + " " + last.body);
    }
    std::string list;
    const bool listed = wait_until([&] {
      HttpCall call;
      call.address = cluster_.control_address(next_control_++ % kControlNodes);
      call.target = std::string("/v1/jobs?service=") + kRecordsService;
      const HttpCallResponse response = send_http_call(call);
      list = response.body;
      return response.status == kHttpOk;
    });
    if (!listed) fail("no control node lists the jobs");
    for (const std::string& job : jobs_) {
      if (list.find('"' + job + '"') == std::string::npos) fail("job " + job + " is not listed");
    }
  }

  // A leader must not start a task again after its end was reported.
  void check_tasks() {
    std::map<std::string, unsigned> completed;
    for (const auto& leaf : leaves_) {
      for (const FakeLeafTaskStart& start : leaf->starts()) completed[start.task] += start.done ? 1 : 0;
    }
    for (const auto& [task, times] : completed) {
      if (times > 1) fail("task " + task + " was completed " + std::to_string(times) + " times");
    }
    std::printf("%zu tasks were started\n", completed.size());
  }

  void check_changes() {
    std::string json;
    const bool read = wait_until([&] {
      HttpCall call;
      call.address = cluster_.control_address(next_control_++ % kControlNodes);
      call.target = "/v1/Config.Get";
      const HttpCallResponse response = send_http_call(call);
      json = response.body;
      return response.status == kHttpOk;
    });
    if (!read) {
      fail("the configuration can't be read");
      return;
    }
    const boost::json::value configuration = boost::json::parse(json);
    const auto version = configuration.at("version").to_number<std::uint64_t>();
    if (version != changes_.back().version) fail("the configuration has version " + std::to_string(version));
    std::vector<std::string> found;
    for (const auto& route : configuration.at("routes").as_array()) {
      found.emplace_back(route.at("name").as_string().c_str());
    }
    std::vector<std::string> expected = {"extract"};
    for (const ConfigurationChange& change : changes_) {
      if (!change.route.empty()) expected.push_back(change.route);
    }
    if (found != expected)
      fail("the routes are not those of the acknowledged changes in their order: " + json);
    // An acknowledged change that is sent again is acknowledged again, with the version that it made.
    for (const ConfigurationChange& change : changes_) {
      if (!send_until_acknowledged(change))
        fail("version " + std::to_string(change.version) + " is not known any more");
    }
  }

  const std::string new_program_;
  LocalCluster cluster_;
  std::vector<std::unique_ptr<FakeLeaf>> leaves_;
  std::vector<std::string> jobs_;             // acknowledged, in order
  std::vector<ConfigurationChange> changes_;  // in order
  unsigned next_control_ = 0;
  unsigned faults_ = 0;
};

}  // namespace

int run_rolling_upgrade(const std::string& old_program, const std::string& new_program) {
  RollingUpgrade upgrade(old_program, new_program);
  return upgrade.run();
}

}  // namespace winchhall::testbed::cluster
