// review-cases CASE RECORD: plays a case of the review against the programs that the deploy file builds. Is
// started from the repository's root. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
// case could not be run. TROUBLE=0 in the environment leaves the disruption out.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/case_setting.hpp"
#include "review/deployment.hpp"
#include "review/judge.hpp"
#include "review/leaf.hpp"
#include "review/record.hpp"

namespace {

using namespace winchhall::review;
using std::chrono::milliseconds;
using winchhall::testbed::cluster::HttpCall;
using winchhall::testbed::cluster::send_http_call;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr std::chrono::seconds kPatience{30};

// True unless the variable is "0".
bool is_wanted(const char* variable) {
  const char* value = std::getenv(variable);
  return value == nullptr || std::string(value) != "0";
}

bool with_trouble() { return is_wanted("TROUBLE"); }

std::unique_ptr<Leaf> make_leaf(const Deployment& deployment, unsigned side, const std::string& service,
                                milliseconds task_time) {
  LeafOptions options;
  options.agent = deployment.side_control(side);
  options.id = "i-" + std::to_string(side);
  options.service = service;
  options.cpu = 16000;
  options.mem_mb = 32768;
  options.task_time = task_time;
  return std::make_unique<Leaf>(options);
}

std::size_t total_starts(const std::vector<std::unique_ptr<Leaf>>& leaves) {
  std::size_t starts = 0;
  for (const auto& leaf : leaves) starts += leaf->runs().size();
  return starts;
}

void wait_for_starts(const std::vector<std::unique_ptr<Leaf>>& leaves, std::size_t count) {
  const Clock::time_point limit = Clock::now() + kPatience;
  while (total_starts(leaves) < count) {
    if (Clock::now() >= limit) throw CaseFailure{"the tasks did not start"};
    sleep_for(milliseconds(20));
  }
}

void record_unexpected_ends(Deployment& deployment, Record& record) {
  for (const std::string& name : deployment.unexpected_ends())
    record.line("process " + name + " ended by itself");
}

Clock::time_point first_start(const std::vector<std::unique_ptr<Leaf>>& leaves) {
  Clock::time_point first = Clock::time_point::max();
  for (const auto& leaf : leaves)
    for (const LeafRun& run : leaf->runs()) first = std::min(first, run.began);
  return first;
}

// Whether a leaf has started a task of the job with this path.
bool has_start_of(const std::vector<std::unique_ptr<Leaf>>& leaves, const std::string& path) {
  const std::string id = path.substr(path.rfind('/') + 1);
  for (const auto& leaf : leaves)
    for (const auto& start : leaf->runs())
      if (start.task.starts_with(id)) return true;
  return false;
}

std::vector<JudgedLeaf> judged(const std::vector<std::unique_ptr<Leaf>>& leaves,
                               const std::vector<std::string>& backends) {
  std::vector<JudgedLeaf> result;
  for (std::size_t i = 0; i < leaves.size(); ++i)
    result.push_back({"leaf i-" + std::to_string(i) + " of " + backends[i], leaves[i].get()});
  return result;
}

// Case 1. A leaf with a running task leaves without saying `draining`: it sends Instances.Deregister first,
// serves on for drain_timeout_ms and some seconds longer, and ends. With BEATS=0 it sends no heartbeats after
// that.
int leaf_deregisters_first(Record& record) {
  constexpr milliseconds kTaskTime{9000};
  constexpr milliseconds kServesOn{7500};  // drain_timeout_ms (2,000) and 5.5 s longer
  const std::vector<std::string> backends(8, "fraude-ia");
  Deployment deployment(record, backends);
  deployment.start_all();
  std::vector<std::unique_ptr<Leaf>> leaves;
  for (unsigned i = 0; i < backends.size(); ++i)
    leaves.push_back(make_leaf(deployment, i, backends[i], kTaskTime));
  CaseSetting setting(record, deployment);
  setting.put_configuration("/v1/Config.Put", "0", configuration(1, route("score", "fraude-ia")));
  setting.wait_until_ready();
  sleep_for(milliseconds(2000));  // all leaves are known
  setting.submit("/score/5c0e7a21d94b36f8",
                 R"({"spec":"score","stages":[{"count":8,"cpu":500,"mem_mb":1024,"estimated_ms":9000}]})");
  wait_for_starts(leaves, 8);
  sleep_for(milliseconds(1000));
  if (with_trouble()) {
    HttpCall leave;
    leave.address = deployment.side_control(0);
    leave.method = "POST";
    leave.target = "/v1/Instances.Deregister/i-0";
    record.line("leaf i-0 sends Instances.Deregister and serves on");
    const auto answer = send_http_call(leave);
    if (!is_wanted("BEATS")) leaves[0]->fall_silent();
    record.line("leaf i-0 is answered " + std::to_string(answer.status) + " " + answer.body);
  }
  sleep_for(kServesOn);
  const Clock::time_point end = Clock::now();
  if (with_trouble()) {
    leaves[0]->end();
    record.line("leaf i-0 ends");
  }
  sleep_for(milliseconds(2000));
  setting.client("GET", "/score/5c0e7a21d94b36f8");
  record_unexpected_ends(deployment, record);
  return count_double_runs(record, judged(leaves, backends), end) > 0 ? kBroken : kHeld;
}

// Case 2. A route is removed and added again with another service behind it, the edge is killed and started
// again, and a client sends an accepted job a second time.
int queue_moves(Record& record) {
  constexpr milliseconds kTaskTime{12000};
  constexpr milliseconds kConfigApply{2000};
  const std::vector<std::string> backends{"giro-core", "giro-core", "fraude-ia", "fraude-ia"};
  const std::string job = "/payout/7e03aa19c45f20b6";
  const std::string body =
      R"({"spec":"pay out once","stages":[{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":12000}]})";
  Deployment deployment(record, backends);
  deployment.start_all();
  std::vector<std::unique_ptr<Leaf>> leaves;
  for (unsigned i = 0; i < backends.size(); ++i)
    leaves.push_back(make_leaf(deployment, i, backends[i], kTaskTime));
  CaseSetting setting(record, deployment);
  setting.put_configuration("/v1/Config.Put", "0", configuration(1, route("payout", "giro-core")));
  setting.wait_until_ready();
  sleep_for(milliseconds(2000));  // all leaves are known
  setting.submit(job, body);
  wait_for_starts(leaves, 1);
  setting.put_configuration("/v1/Config.Patch", "1", R"({"version":3,"delete":{"routes":["r-payout"]}})");
  setting.put_configuration("/v1/Config.Patch", "3",
                            R"({"version":5,"upsert":{"routes":[)" + route("payout", "fraude-ia") + "]}}");
  sleep_for(kConfigApply);
  if (with_trouble()) {
    deployment.kill("ingress");
    deployment.kill("agent");
    sleep_for(milliseconds(300));
    deployment.start("ingress");
    deployment.start("agent");
  }
  setting.wait_until_ready();
  setting.submit(job, body);  // the same ID comes again, seconds after its 2xx
  sleep_for(milliseconds(3000));
  setting.client("GET", job);
  record_unexpected_ends(deployment, record);
  return count_double_runs(record, judged(leaves, backends), Clock::now()) > 0 ? kBroken : kHeld;
}

// Not among the three cases. A large gang waits for leaves that lasting tasks of its own priority occupy in
// part. A lasting job of a lower priority, which fits beside them many times over, is accepted and never
// starts.
int lasting_job_starves(Record& record) {
  constexpr milliseconds kLasts{600000};
  constexpr milliseconds kFinish{14000};  // finish_s
  constexpr milliseconds kWatched{6000};  // the rule allows 3 s
  constexpr milliseconds kLookEvery{200};
  constexpr milliseconds kTrafficPause{1000};
  const std::vector<std::string> backends(4, "fraude-ia");
  const std::string watcher = "/doc/51c2f09a7be4d638";
  Deployment deployment(record, backends);
  deployment.start_all();
  std::vector<std::unique_ptr<Leaf>> leaves;
  for (unsigned i = 0; i < backends.size(); ++i)
    leaves.push_back(make_leaf(deployment, i, backends[i], kLasts));
  CaseSetting setting(record, deployment);
  setting.put_configuration(
      "/v1/Config.Put", "0",
      configuration(1, route("score", "fraude-ia", 1) + "," + route("doc", "fraude-ia", 2)));
  setting.wait_until_ready();
  sleep_for(milliseconds(2000));  // all leaves are known
  setting.submit(
      "/score/08d15ce3a96f7b24",
      R"({"spec":"standing model","stages":[{"count":4,"cpu":1000,"mem_mb":1024,"estimated_ms":500,)"
      R"("long_running":true,"anti_affinity":1}]})");
  wait_for_starts(leaves, 4);
  if (with_trouble()) {
    setting.submit(
        "/score/6b92d07f315ae8c4",
        R"({"spec":"large job","stages":[{"count":4,"cpu":15500,"mem_mb":4096,"estimated_ms":5600,)"
        R"("gang":true}]})");
  }
  sleep_for(kTrafficPause);
  setting.submit(watcher, R"({"spec":"document watcher","stages":[{"count":1,"cpu":500,"mem_mb":512,)"
                          R"("estimated_ms":500,"long_running":true}]})");
  record.line("the traffic has ended");
  sleep_for(kFinish);
  setting.client("GET", watcher);
  const Clock::time_point until = Clock::now() + kWatched;
  bool ran = false;
  while (Clock::now() < until) {
    ran = ran || has_start_of(leaves, watcher);
    sleep_for(kLookEvery);
  }
  setting.client("GET", watcher);
  record_unexpected_ends(deployment, record);
  count_double_runs(record, judged(leaves, backends), Clock::now());
  record.line("in use: 4 tasks of 1000 thousandths of a core on 4 leaves of 16000 each");
  if (!ran)
    record.line("LOST: finish_s after the traffic and 6 s longer, the job of /doc has nothing running");
  return ran ? kHeld : kBroken;
}

// Case 3. A large job of small tasks runs on four leaves, more than 500 tasks on each. All processes are
// killed at the same moment and are back after a second. The tasks end meanwhile; each leaf lists its ends
// 500 at a time.
int all_processes_killed(Record& record) {
  constexpr milliseconds kTaskTime{5000};
  constexpr milliseconds kKilledBefore{900};  // the first tasks end
  constexpr milliseconds kDown{1400};
  constexpr std::size_t kTasks = 2600;  // 650 on each leaf
  const std::vector<std::string> backends(4, "giro-core");
  const std::string job = "/recon/93e1c05ab74f2d86";
  Deployment deployment(record, backends);
  deployment.start_all();
  std::vector<std::unique_ptr<Leaf>> leaves;
  for (unsigned i = 0; i < backends.size(); ++i)
    leaves.push_back(make_leaf(deployment, i, backends[i], kTaskTime));
  CaseSetting setting(record, deployment);
  setting.put_configuration("/v1/Config.Put", "0", configuration(1, route("recon", "giro-core")));
  setting.wait_until_ready();
  sleep_for(milliseconds(2000));  // all leaves are known
  setting.submit(job, R"({"spec":"reconcile","stages":[{"count":)" + std::to_string(kTasks) +
                          R"(,"cpu":20,"mem_mb":8,"estimated_ms":5000}]})");
  wait_for_starts(leaves, kTasks);
  record.line("all tasks have started");
  for (const auto& leaf : leaves) record.line("a leaf runs " + std::to_string(leaf->running()) + " tasks");
  std::this_thread::sleep_until(first_start(leaves) + kTaskTime - kKilledBefore);
  if (with_trouble()) {
    deployment.kill_all();
    sleep_for(kDown);
    deployment.start_all();
  } else {
    sleep_for(kDown);
  }
  sleep_for(milliseconds(16000));
  setting.client("GET", job);
  record_unexpected_ends(deployment, record);
  return count_double_runs(record, judged(leaves, backends), Clock::now()) > 0 ? kBroken : kHeld;
}

// Not among the three cases. One job of 10,000 small tasks, with a `spec` of 4,000 bytes, is accepted; its
// orders for one leaf don't reach the worker-agent. Nothing of it starts, and what runs on these leaves ends
// as lapsed.
int large_orders(Record& record) {
  constexpr milliseconds kFeedTime{600000};
  constexpr milliseconds kFinish{14000};  // finish_s
  constexpr milliseconds kWatched{6000};  // the rule allows 3 s
  constexpr std::size_t kSpecBytes = 4000;
  const std::vector<std::string> backends(4, "giro-core");
  const std::string large = "/recon/4f7ad0b3926ce815";
  Deployment deployment(record, backends);
  deployment.start_all();
  std::vector<std::unique_ptr<Leaf>> leaves;
  for (unsigned i = 0; i < backends.size(); ++i)
    leaves.push_back(make_leaf(deployment, i, backends[i], kFeedTime));
  CaseSetting setting(record, deployment);
  setting.put_configuration("/v1/Config.Put", "0", configuration(1, route("recon", "giro-core")));
  setting.wait_until_ready();
  sleep_for(milliseconds(2000));  // all leaves are known
  setting.submit("/recon/08d15ce3a96f7b24",
                 R"({"spec":"standing feed","stages":[{"count":4,"cpu":500,"mem_mb":512,"estimated_ms":500,)"
                 R"("long_running":true,"anti_affinity":1}]})");
  wait_for_starts(leaves, 4);
  if (with_trouble()) {
    setting.submit(large, R"({"spec":")" + std::string(kSpecBytes, 'x') +
                              R"(","stages":[{"count":10000,"cpu":5,"mem_mb":1,"estimated_ms":1000}]})");
  }
  record.line("the traffic has ended");
  sleep_for(kFinish + kWatched);
  std::size_t running = 0;
  for (const auto& leaf : leaves) running += leaf->running();
  record.line("tasks at work on all leaves: " + std::to_string(running));
  setting.client("GET", large);
  record_unexpected_ends(deployment, record);
  count_double_runs(record, judged(leaves, backends), Clock::now());
  const bool starved = with_trouble() && !has_start_of(leaves, large);
  if (starved)
    record.line("LOST: finish_s after the traffic and 6 s longer, the large job has nothing running");
  return starved || running < 4 ? kBroken : kHeld;
}

int play(const std::string& name, const std::string& record_path) {
  static const std::map<std::string, std::function<int(Record&)>> kCases = {
      {"leaf-deregisters-first", leaf_deregisters_first},
      {"queue-moves", queue_moves},
      {"all-processes-killed", all_processes_killed},
      {"lasting-job-starves", lasting_job_starves},
      {"large-orders", large_orders},
  };
  const auto found = kCases.find(name);
  if (found == kCases.end()) return kNotRun;
  Record record(record_path);
  record.line("case " + name + (with_trouble() ? "" : " without the disruption"));
  try {
    const int result = found->second(record);
    record.line(result == kBroken ? "the rule was broken" : "the rule held");
    return result;
  } catch (const CaseFailure& failure) {
    record.line("the case could not be run: " + failure.reason);
  } catch (const std::exception& error) {
    record.line(std::string("the case could not be run: ") + error.what());
  }
  return kNotRun;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: review-cases CASE RECORD\n");
    return kNotRun;
  }
  const int result = play(argv[1], argv[2]);
  std::printf("%s: %s\n", argv[1],
              result == kBroken ? "the rule was broken"
              : result == kHeld ? "the rule held"
                                : "could not be run");
  return result;
}
