// review-case NAME RECORD: plays one case from the repository's root. Exits with 1 if the rule was broken, 0
// if it held, 2 if the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <stdexcept>

#include "deployment.hpp"
#include "leaf.hpp"
#include "testbed/cluster/http_call.hpp"

namespace review {
namespace {

using winchhall::testbed::cluster::HttpCall;
using winchhall::testbed::cluster::HttpCallResponse;
using winchhall::testbed::cluster::send_http_call;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr const char* kHost = "ficu95.example";
constexpr const char* kService = "giro-core";
constexpr const char* kOtherService = "fraude-ia";
// Bounds of the deployment.
constexpr Millis kFinish{14000};
constexpr Millis kCancelAndStop{3000 + 400};
// A share of 0.15 of the leaves of a service may be in trouble: one of seven.
constexpr unsigned kLeaves = 7;

void pause(Millis time) { std::this_thread::sleep_for(time); }

bool wait_until(Millis time, const std::function<bool()>& reached) {
  const Clock::time_point end = Clock::now() + time;
  while (Clock::now() < end) {
    if (reached()) return true;
    pause(Millis(10));
  }
  return reached();
}

void require(bool reached, const std::string& what) {
  if (!reached) throw std::runtime_error("could not run: " + what);
}

// A queue of the configuration.
struct Queue {
  std::string name;  // the path prefix is /NAME/
  unsigned priority = 1;
  unsigned max_retries = 3;
  std::string service = kService;
};

std::string route_json(const Queue& queue) {
  return R"({"name":"r-)" + queue.name + R"(","hostname":")" + kHost + R"(","path_prefix":"/)" + queue.name +
         R"(/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":1500,"priority":)" +
         std::to_string(queue.priority) + R"(,"backend":")" + queue.service + R"(","max_retries":)" +
         std::to_string(queue.max_retries) + R"(,"stretch":2.2})";
}

std::string service_json(const std::string& name) {
  return R"({"name":")" + name + R"(","health_check_path":"/health","max_connections":64,"protocol":"h1",)" +
         R"("tls":false,"preconditions":false})";
}

// The system, the operator, clients and leaves of one play.
class Site {
 public:
  // The leaves of kService come first. `other_leaves`: of kOtherService.
  Site(Record& record, unsigned leaves, unsigned other_leaves = 0, unsigned edges = 1)
      : record_(record),
        services_(services_of(leaves, other_leaves)),
        edges_(edges),
        deployment_(record, services_, edges) {
    deployment_.start_all();
  }

  void add_leaf(unsigned index, LeafOptions options) {
    options.control = deployment_.side_control(index);
    options.service = services_.at(index);
    options.id = "i-" + std::to_string(index + 1) + "f3a91c2";
    leaves_.push_back(std::make_unique<Leaf>(record_, options));
  }
  Leaf& leaf(unsigned index) { return *leaves_.at(index); }

  // Puts the first configuration and waits until the system takes requests and has heard of all leaves.
  void open(const std::vector<Queue>& queues) {
    std::string routes;
    for (const Queue& queue : queues) routes += (routes.empty() ? "" : ",") + route_json(queue);
    HttpCall put;
    put.method = "POST";
    put.target = "/v1/Config.Put";
    put.headers = {{"X-Winchhall-Base-Version", "0"}};
    put.body = R"({"version":1,"routes":[)" + routes + R"(],"services":[)" + service_json(kService) + "," +
               service_json(kOtherService) +
               R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)" +
               R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    const std::vector<std::string> controls = deployment_.control_addresses();
    unsigned next = 0;
    const bool put_done = wait_until(Millis(20000), [&] {
      put.address = controls[next++ % controls.size()];
      const unsigned status = send_http_call(put).status;
      if (status != 200) pause(Millis(100));
      return status == 200;
    });
    require(put_done, "no acknowledgement of the first configuration");
    record_.add("the operator's first configuration is acknowledged");
    const bool ready = wait_until(Millis(15000), [&] {
      for (unsigned edge = 0; edge < edges_; ++edge) {
        HttpCall probe;
        probe.address = deployment_.ready(edge);
        probe.target = "/v1/readiness";
        if (send_http_call(probe).status != 200) return false;
      }
      return true;
    });
    require(ready, "an edge machine isn't ready");
    // All disruptions begin in calm: longer than contact_ms after all of that.
    const bool known = wait_until(Millis(10000), [&] {
      return std::all_of(leaves_.begin(), leaves_.end(),
                         [](const auto& leaf) { return leaf->acknowledged_heartbeats() >= 5; });
    });
    require(known, "the leaves aren't acknowledged");
    pause(Millis(4000));
    record_.add("all is calm");
  }

  // Moves a queue by Config.Patch. `retired`: a service that is deleted with the same change.
  void move_queue(const Queue& queue, const std::string& retired = "") {
    HttpCall patch;
    patch.method = "POST";
    patch.target = "/v1/Config.Patch";
    patch.headers = {{"X-Winchhall-Base-Version", std::to_string(version_)}};
    ++version_;
    patch.body = R"({"version":)" + std::to_string(version_) + R"(,"upsert":{"routes":[)" +
                 route_json(queue) + "]}" +
                 (retired.empty() ? "" : R"(,"delete":{"services":[")" + retired + R"("]})") + "}";
    const std::vector<std::string> controls = deployment_.control_addresses();
    unsigned next = 0;
    const bool done = wait_until(Millis(4000), [&] {
      patch.address = controls[next++ % controls.size()];
      return send_http_call(patch).status == 200;
    });
    require(done, "a change of the configuration isn't acknowledged");
    record_.add("version " + std::to_string(version_) + " is acknowledged: /" + queue.name + "/ goes to " +
                queue.service + (retired.empty() ? "" : ", service " + retired + " is deleted"));
  }

  // A core machine loses its disk: it is killed, and starts again a second later with an empty folder.
  void lose_disk(unsigned core) {
    const std::string name = "core-" + std::to_string(core + 1);
    deployment_.signal(name, SIGKILL);
    deployment_.wipe(name);
    pause(Millis(1000));
    deployment_.start(name);
  }

  // Freezes an edge machine, or wakes it.
  void freeze_edge(unsigned edge, bool frozen) {
    const std::string number = std::to_string(edge + 1);
    deployment_.signal("ingress-" + number, frozen ? SIGSTOP : SIGCONT);
    deployment_.signal("agent-" + number, frozen ? SIGSTOP : SIGCONT);
  }

  // One try of a client at one edge machine. It waits for `patience`.
  unsigned send(unsigned edge, const std::string& method, const std::string& queue, const std::string& id,
                const std::string& body, Millis patience) {
    record_.add(method + " /" + queue + "/" + id + " at edge machine " + std::to_string(edge + 1));
    const unsigned status = call(method, queue, id, body, edge, patience).status;
    record_.add("  -> " + (status == 0 ? "no answer" : std::to_string(status)));
    return status;
  }

  static std::string new_id() {
    static std::mt19937_64 random(std::random_device{}());
    char id[17];
    snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random()));
    return id;
  }

  // Hands a job in, as a client does: again under the same ID until there is a clear answer. Returns its ID.
  std::string submit(const std::string& queue, const std::string& what, const std::string& body) {
    const std::string id = new_id();
    const bool accepted = wait_until(Millis(10000), [&] {
      const unsigned status = call("POST", queue, id, body).status;
      record_.add("POST /" + queue + "/" + id + " (" + what + ") -> " + std::to_string(status));
      if (status != 200) pause(Millis(200));
      return status == 200;
    });
    require(accepted, "a job wasn't accepted");
    return id;
  }

  std::string state(const std::string& queue, const std::string& id) {
    const HttpCallResponse answer = call("GET", queue, id, "");
    record_.add("GET /" + queue + "/" + id + " -> " + std::to_string(answer.status) + " " + answer.body);
    return answer.body;
  }

  unsigned cancel(const std::string& queue, const std::string& id) {
    const unsigned status = call("DELETE", queue, id, "").status;
    record_.add("DELETE /" + queue + "/" + id + " -> " + std::to_string(status));
    return status;
  }

  // All runs of a job's tasks on all leaves, by their start.
  std::vector<LeafRun> runs_of(const std::string& id) {
    std::vector<LeafRun> found;
    for (const auto& leaf : leaves_)
      for (const LeafRun& run : leaf->runs())
        if (run.task.starts_with(id)) found.push_back(run);
    std::sort(found.begin(), found.end(),
              [](const LeafRun& one, const LeafRun& other) { return one.began < other.began; });
    return found;
  }

  Leaf& leaf_named(const std::string& id) {
    for (const auto& leaf : leaves_)
      if (leaf->id() == id) return *leaf;
    throw std::runtime_error("no leaf " + id);
  }

  // Waits until a task of the job runs. Returns the run.
  LeafRun wait_for_run(const std::string& id) {
    const bool begun = wait_until(Millis(10000), [&] { return !runs_of(id).empty(); });
    require(begun, "a task isn't started in calm");
    return runs_of(id).front();
  }

  void require_processes() { require(deployment_.all_run(), "a process has ended"); }

 private:
  HttpCallResponse call(const std::string& method, const std::string& queue, const std::string& id,
                        const std::string& body, unsigned edge = 0, Millis patience = Millis(3000)) {
    HttpCall call;
    call.address = deployment_.front(edge);
    call.method = method;
    call.target = "/" + queue + "/" + id;
    call.host = kHost;
    call.body = body;
    call.headers = {{"X-Winchhall-Deadline", std::to_string(patience.count())}};
    call.timeout = patience;
    return send_http_call(call);
  }

  static std::vector<std::string> services_of(unsigned leaves, unsigned other_leaves) {
    std::vector<std::string> services(leaves, kService);
    services.insert(services.end(), other_leaves, kOtherService);
    return services;
  }

  Record& record_;
  const std::vector<std::string> services_;
  const unsigned edges_;
  Deployment deployment_;
  unsigned version_ = 1;  // newest acknowledged
  std::vector<std::unique_ptr<Leaf>> leaves_;
};

std::string one_stage(const std::string& spec, const std::string& rest) {
  return R"({"spec":")" + spec + R"(","stages":[{)" + rest + "}]}";
}

int broken(Record& record, const std::string& what) {
  record.add("BROKEN: " + what);
  return kBroken;
}

int held(Record& record, const std::string& what) {
  record.add("HELD: " + what);
  return kHeld;
}

// Whether two runs of one task of the job were at work at the same time, on leaves that are up.
int judge_twice(Record& record, Site& site, const std::string& job) {
  const std::vector<LeafRun> runs = site.runs_of(job);
  for (std::size_t later = 1; later < runs.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      const LeafRun& one = runs[earlier];
      const LeafRun& other = runs[later];
      const Clock::time_point end = one.running ? Clock::now() : one.ended;
      if (other.task != one.task || other.began >= end) continue;
      const auto overlap = std::chrono::duration_cast<Millis>(end - other.began);
      return broken(record, "TWICE: " + other.leaf + " starts " + other.task + " run " +
                                std::to_string(other.run) + " while run " + std::to_string(one.run) +
                                " is at work on " + one.leaf + ", which is up, for another " +
                                std::to_string(overlap.count()) + " ms");
    }
  }
  return held(record, "no two runs of a task at the same time");
}

// UNASKED: a job is cancelled while the leaf that runs it has sent Deregister first and serves on.
int play_cancel_after_deregister(Record& record, bool trouble) {
  Site site(record, kLeaves);
  for (unsigned i = 0; i < kLeaves; ++i) site.add_leaf(i, {});
  site.open({{"pufi791", 1, 3}});
  const std::string job =
      site.submit("pufi791", "one task of 30 s",
                  one_stage("run 30000", R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":30000)"));
  const LeafRun first = site.wait_for_run(job);
  pause(Millis(500));
  if (trouble) {
    const unsigned status = site.leaf_named(first.leaf).deregister_first(Millis(9000));
    require(status == 200, "Deregister isn't acknowledged");
  }
  pause(Millis(1000));
  require(site.cancel("pufi791", job) == 200, "the cancel isn't acknowledged");
  const Clock::time_point acknowledged = Clock::now();
  const Clock::time_point due = acknowledged + kCancelAndStop;
  pause(Millis(9500));
  site.require_processes();
  site.state("pufi791", job);
  for (const LeafRun& run : site.runs_of(job)) {
    const Clock::time_point end = run.running ? Clock::now() : run.ended;
    if (end <= due) continue;
    return broken(record, "UNASKED: " + run.task + " run " + std::to_string(run.run) + " on " + run.leaf +
                              " still runs " +
                              std::to_string(std::chrono::duration_cast<Millis>(end - due).count()) +
                              " ms after cancel_ms + stop_ms since the acknowledgement of the cancel");
  }
  return held(record, "the cancelled task is gone in time");
}

// Whether a job that waits from `since` on has nothing running for 3 s, `finish_s` after the end of the
// traffic.
int judge_started(Record& record, Site& site, const std::string& queue, const std::string& job) {
  const Clock::time_point traffic_ended = Clock::now();
  record.add("the traffic has ended");
  std::this_thread::sleep_until(traffic_ended + kFinish);
  const std::string first = site.state(queue, job);
  pause(Millis(3500));
  site.require_processes();
  site.state(queue, job);
  // A run at work within the 3.5 s, or the job's end, holds the rule.
  for (const LeafRun& run : site.runs_of(job)) {
    const bool at_work = run.running || run.ended > traffic_ended + kFinish;
    if (at_work || run.how == "done") return held(record, "the job's task was run");
  }
  return broken(record,
                "LOST: finish_s after the end of the traffic, the job has nothing running for 3 s; its "
                "task's turn has come, and nearly all of the service is free");
}

// LOST: a worker fails all that it starts for some seconds; afterwards the first task that it gets lasts.
int play_trial_that_lasts(Record& record, bool trouble) {
  Site site(record, kLeaves);
  for (unsigned i = 0; i < kLeaves; ++i) {
    LeafOptions options;
    if (i == 0) options.labels = {"b", "r1-1"};
    site.add_leaf(i, options);
  }
  site.open({{"payout", 0, 1}, {"feed", 1, 3}});
  const std::string needs_b = R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":300,"requirements":"b")";
  if (trouble) site.leaf(0).set_grey(true);
  for (int i = 0; i < 3; ++i) {
    site.submit("payout", "one task that needs b", one_stage("run 300", needs_b));
    pause(Millis(400));
  }
  pause(Millis(1500));
  if (trouble) site.leaf(0).set_grey(false);
  pause(Millis(4000));
  const std::string feed = site.submit(
      "feed", "one task that lasts and needs b",
      one_stage(
          "last",
          R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":500,"requirements":"b","long_running":true)"));
  site.wait_for_run(feed);
  pause(Millis(1500));
  const std::string job = site.submit("payout", "one task that needs b", one_stage("run 300", needs_b));
  return judge_started(record, site, "payout", job);
}

// LOST: a large gang that has to wait keeps lasting tasks from starting.
int play_large_gang_waits(Record& record, bool trouble) {
  Site site(record, kLeaves);
  for (unsigned i = 0; i < kLeaves; ++i) {
    LeafOptions options;
    options.cpu = 32000;
    options.mem_mb = 131072;
    options.gpu = 8;
    site.add_leaf(i, options);
  }
  site.open({{"feed", 0, 3}, {"score", 1, 3}, {"feed2", 2, 3}});
  const std::string lasts =
      R"("count":1,"cpu":500,"mem_mb":256,"gpu":1,"estimated_ms":500,"long_running":true)";
  const std::string feed = site.submit("feed", "one task that lasts", one_stage("last", lasts));
  site.wait_for_run(feed);
  if (trouble) {
    site.submit("score", "a gang of 7 tasks of 15 cores and 8 GPUs",
                one_stage("run 5600",
                          R"("count":7,"cpu":15000,"mem_mb":45000,"gpu":8,"estimated_ms":5600,"gang":true)"));
    pause(Millis(1000));
  }
  const std::string job = site.submit("feed2", "one task that lasts", one_stage("last", lasts));
  return judge_started(record, site, "feed2", job);
}

// LOST: a task that lasts and ends often is not started again for over 3 s.
int play_feed_that_fails(Record& record, bool trouble) {
  Site site(record, kLeaves);
  for (unsigned i = 0; i < kLeaves; ++i) site.add_leaf(i, {});
  site.open({{"feed", 1, 3}});
  const std::string job =
      site.submit("feed", "one task that lasts",
                  one_stage(trouble ? "fail 1000" : "last",
                            R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":500,"long_running":true)"));
  site.wait_for_run(job);
  const Clock::time_point judged_from = Clock::now() + kFinish;
  pause(kFinish + Millis(20000));
  site.require_processes();
  site.state("feed", job);
  const std::vector<LeafRun> runs = site.runs_of(job);
  Millis longest{0};
  for (std::size_t i = 0; i < runs.size(); ++i) {
    if (runs[i].running) continue;
    const Clock::time_point next = i + 1 < runs.size() ? runs[i + 1].began : Clock::now();
    const Clock::time_point from = std::max(runs[i].ended, judged_from);
    if (next > from) longest = std::max(longest, std::chrono::duration_cast<Millis>(next - from));
  }
  const std::string gap = std::to_string(longest.count()) + " ms";
  if (longest > Millis(3000))
    return broken(record, "LOST: finish_s after the end of the traffic, the job has nothing running for " +
                              gap + "; all of the service is free");
  return held(record, "the longest time with nothing running is " + gap);
}

// TWICE: an edge machine is frozen while it has a client's request, and the queue moves to another service
// meanwhile.
int play_queue_moves_while_frozen(Record& record, bool trouble) {
  constexpr unsigned kEdges = 2;
  constexpr Millis kFreeze{3500};
  constexpr Millis kPatience{3000};
  Site site(record, 3, 3, kEdges);
  for (unsigned i = 0; i < 6; ++i) site.add_leaf(i, {});
  site.open({{"pufi791", 1, 3}, {"zeno440", 1, 3, kOtherService}});
  const std::string job = Site::new_id();
  const std::string body = one_stage("run 8000", R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":8000)");
  const Clock::time_point frozen_at = Clock::now();
  if (trouble) site.freeze_edge(1, true);
  std::thread moving([&] {
    pause(Millis(300));
    site.move_queue({"pufi791", 1, 3, kOtherService});
  });
  unsigned status = site.send(1, "POST", "pufi791", job, body, kPatience);
  moving.join();
  for (int tries = 0; status != 200 && tries < 4; ++tries)
    status = site.send(0, "POST", "pufi791", job, body, kPatience);
  require(status == 200, "the job isn't accepted");
  std::this_thread::sleep_until(frozen_at + kFreeze);
  if (trouble) site.freeze_edge(1, false);
  pause(Millis(10000));
  site.require_processes();
  site.state("pufi791", job);
  return judge_twice(record, site, job);
}

// TWICE: a queue is sent to another service for a moment, twice; an edge machine is frozen during the second
// time.
int play_former_service_used_again(Record& record, bool trouble) {
  constexpr unsigned kEdges = 2;
  constexpr Millis kFreeze{3500};
  constexpr Millis kPatience{3000};
  const Queue here{"pufi791", 1, 3};
  const Queue there{"pufi791", 1, 3, kOtherService};
  Site site(record, 3, 3, kEdges);
  for (unsigned i = 0; i < 6; ++i) site.add_leaf(i, {});
  site.open({here, {"zeno440", 1, 3, kOtherService}});
  const Clock::time_point begin = Clock::now();
  site.move_queue(there);
  pause(Millis(1000));
  site.move_queue(here);
  std::this_thread::sleep_until(begin + Millis(50000));
  if (trouble) site.freeze_edge(1, true);
  const Clock::time_point frozen_at = Clock::now();
  pause(Millis(200));
  site.move_queue(there);
  pause(Millis(500));
  const std::string job = Site::new_id();
  const std::string body = one_stage("run 25000", R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":25000)");
  require(site.send(0, "POST", "pufi791", job, body, kPatience) == 200, "the job isn't accepted");
  pause(Millis(1000));
  site.move_queue(here);
  std::this_thread::sleep_until(frozen_at + kFreeze);
  if (trouble) site.freeze_edge(1, false);
  std::this_thread::sleep_until(begin + Millis(63000));
  const unsigned status = site.send(1, "POST", "pufi791", job, body, kPatience);
  require(status == 200, "the job that was sent again isn't acknowledged");
  pause(Millis(5000));
  site.require_processes();
  site.state("pufi791", job);
  return judge_twice(record, site, job);
}

// UNASKED: a client gives up on a request that a frozen edge machine has, and cancels the job elsewhere.
int play_cancel_before_late_submit(Record& record, bool trouble) {
  constexpr unsigned kEdges = 2;
  constexpr Millis kFreeze{5000};
  constexpr Millis kPatience{750};  // half the objective
  constexpr Millis kCancel{3000};
  Site site(record, kLeaves, 0, kEdges);
  for (unsigned i = 0; i < kLeaves; ++i) site.add_leaf(i, {});
  site.open({{"pufi791", 1, 3}});
  const std::string job = Site::new_id();
  const std::string body = one_stage("run 20000", R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":20000)");
  const Clock::time_point frozen_at = Clock::now();
  if (trouble) site.freeze_edge(1, true);
  site.send(1, "POST", "pufi791", job, body, kPatience);
  unsigned status = 0;
  for (int tries = 0; status != 200 && status != 410 && tries < 4; ++tries)
    status = site.send(0, "DELETE", "pufi791", job, "", Millis(3000));
  require(status == 200 || status == 410, "the cancel isn't acknowledged");
  const Clock::time_point acknowledged = Clock::now();
  std::this_thread::sleep_until(frozen_at + kFreeze);
  if (trouble) site.freeze_edge(1, false);
  pause(Millis(8000));
  site.require_processes();
  site.state("pufi791", job);
  for (const LeafRun& run : site.runs_of(job)) {
    if (run.began <= acknowledged + kCancel) continue;
    const auto late = std::chrono::duration_cast<Millis>(run.began - acknowledged);
    return broken(record, "UNASKED: " + run.leaf + " is told to start " + run.task + " run " +
                              std::to_string(run.run) + " " + std::to_string(late.count()) +
                              " ms after the acknowledgement of the job's cancelling");
  }
  return held(record, "no task of the cancelled job starts");
}

// LOST: a service is retired, and each core machine loses its disk once, one long after the other.
int play_disks_after_retired_service(Record& record, bool trouble) {
  constexpr unsigned kCores = 3;
  constexpr Millis kBetweenLosses{8000};  // catch_up_s is 4
  constexpr Millis kRecovery{12000};
  constexpr int kQuestions = 5;
  Site site(record, 2, 2);
  for (unsigned i = 0; i < 4; ++i) site.add_leaf(i, {});
  site.open({{"pufi791", 1, 3}, {"zeno440", 1, 3, kOtherService}});
  const std::string job =
      site.submit("pufi791", "one task of 0.3 s",
                  one_stage("run 300", R"("count":1,"cpu":500,"mem_mb":256,"estimated_ms":300)"));
  const bool completed = wait_until(Millis(10000), [&] {
    pause(Millis(200));
    return site.state("pufi791", job).find("completed") != std::string::npos;
  });
  require(completed, "the job isn't completed in calm");
  site.move_queue({"pufi791", 1, 3, kOtherService}, kService);
  pause(Millis(4000));
  require(site.state("pufi791", job).find("completed") != std::string::npos,
          "the job isn't shown after the change");
  for (unsigned core = 0; trouble && core < kCores; ++core) {
    site.lose_disk(core);
    pause(kBetweenLosses);
    site.state("pufi791", job);
  }
  pause(kRecovery);
  site.require_processes();
  // Within status_s of the job's end.
  for (int i = 0; i < kQuestions; ++i) {
    if (site.state("pufi791", job).find("completed") != std::string::npos)
      return held(record, "the accepted job is shown");
    pause(Millis(500));
  }
  return broken(record, "LOST: an accepted job that nobody has cancelled isn't shown any more, " +
                            std::to_string(kQuestions) + " questions in a row, in calm");
}

int play(const std::string& name, Record& record) {
  const char* const setting = getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  record.add("case " + name + (trouble ? "" : ", without the disruption"));
  if (name == "cancel-after-deregister") return play_cancel_after_deregister(record, trouble);
  if (name == "queue-moves-while-frozen") return play_queue_moves_while_frozen(record, trouble);
  if (name == "former-service-used-again") return play_former_service_used_again(record, trouble);
  if (name == "cancel-before-late-submit") return play_cancel_before_late_submit(record, trouble);
  if (name == "disks-after-retired-service") return play_disks_after_retired_service(record, trouble);
  if (name == "trial-that-lasts") return play_trial_that_lasts(record, trouble);
  if (name == "large-gang-waits") return play_large_gang_waits(record, trouble);
  if (name == "feed-that-fails") return play_feed_that_fails(record, trouble);
  throw std::runtime_error("no case " + name);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kCouldNotRun = 2;
  if (argc != 3) return kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  review::Record record(argv[2]);
  try {
    return review::play(argv[1], record);
  } catch (const std::exception& error) {
    record.add(error.what());
    return kCouldNotRun;
  }
}
