#include "testbed/cluster/fault_soak.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "testbed/cluster/fake_leaf.hpp"
#include "testbed/cluster/late_heartbeats.hpp"
#include "testbed/cluster/local_cluster.hpp"
#include "testbed/cluster/process_faults.hpp"
#include "testbed/cluster/records_service.hpp"
#include "testbed/cluster/run_history.hpp"
#include "testbed/cluster/soak_clients.hpp"

namespace winchhall::testbed::cluster {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr unsigned kClients = 4;
constexpr unsigned kEdges = 2;
constexpr milliseconds kStepInterval{10};
constexpr std::chrono::seconds kCompletionTime{60};
constexpr milliseconds kMinTaskTime{100};
constexpr milliseconds kMaxTaskTime{6000};
constexpr milliseconds kMaxStopTime{300};
constexpr double kLateHeartbeats = 0.02;  // fraction of all heartbeats
constexpr milliseconds kMaxStartAfterCancel{3000};
constexpr milliseconds kTimeBetweenLostDisks{9000};
constexpr std::uint64_t kSeedsWithLostDisks = 3;  // one seed in so many

// The current leaf of one worker-agent, and the number of leaves that it has had.
struct LeafSlot {
  unsigned worker = 0;
  unsigned incarnations = 0;
  std::unique_ptr<FakeLeaf> leaf;  // null: crashed and not yet replaced
  Clock::time_point next_at;       // when the next leaf starts, while there is none
};

// One soak test: owns the cluster, its fake leaves and what was found.
class FaultSoak {
 public:
  explicit FaultSoak(const FaultSoakOptions& options)
      : options_(options),
        random_(options.seed),
        cluster_(options.program, options.workers, kRecordsService, options.control_nodes, kEdges) {}

  int run() {
    // The workers of the two services alternate.
    for (unsigned worker = 1; worker < options_.workers; worker += 2)
      cluster_.set_service(worker, kArchiveService);
    cluster_.start_all();
    await_founding();
    for (unsigned worker = 0; worker < options_.workers; ++worker) {
      slots_.emplace_back().worker = worker;
      start_leaf(slots_.back());
    }
    ProcessFaults processes(cluster_, random_());
    const unsigned groups = std::max(options_.workers / 2, 1u);
    SoakClients clients(front_addresses(), control_addresses(), kClients, groups, random_());
    inject_faults(processes, clients);
    heal(processes, clients);
    if (options_.seed % kSeedsWithLostDisks == 0) lose_disks(processes, clients);
    await_jobs(processes, clients.accepted_jobs());
    check_configuration(clients.acknowledged_routes());
    add_faults(processes.faults());
    add_faults(clients.faults());
    check_runs(clients.cancelled_jobs());
    report(processes, clients);
    return faults_.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
  }

 private:
  milliseconds random_time(int min_ms, int max_ms) {
    return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
  }

  std::vector<std::string> front_addresses() const {
    std::vector<std::string> addresses;
    for (unsigned edge = 0; edge < kEdges; ++edge) addresses.push_back(cluster_.front_address(edge));
    return addresses;
  }

  std::vector<std::string> control_addresses() const {
    std::vector<std::string> addresses;
    for (unsigned index = 0; index < options_.control_nodes; ++index)
      addresses.push_back(cluster_.control_address(index));
    return addresses;
  }

  // The first start of the group ends once all founders have stored their identities. One that is killed
  // before starts again without `bootstrap` and without an identity, as if its disk were lost.
  void await_founding() {
    const Clock::time_point limit = Clock::now() + kCompletionTime;
    for (unsigned index = 0; index < options_.control_nodes; ++index) {
      const std::string name = "control-" + std::to_string(index);
      while (cluster_.log_of(name).find("member_record_adopted") == std::string::npos) {
        if (Clock::now() >= limit) return faults_.push_back(name + " does not found the control group");
        std::this_thread::sleep_for(kStepInterval);
      }
    }
  }

  // ---------------------------------------------------------------- leaves

  void start_leaf(LeafSlot& slot) {
    FakeLeafOptions options;
    options.agent = cluster_.worker_address(slot.worker);
    options.id = "i-" + std::to_string(slot.worker) + "-" + std::to_string(++slot.incarnations);
    options.service = slot.worker % 2 == 0 ? kRecordsService : kArchiveService;
    options.zone = "a";
    options.task_time = kMinTaskTime;
    options.max_task_time = kMaxTaskTime;
    options.max_stop_time = kMaxStopTime;
    options.seed = random_();
    options.late_heartbeats = &late_heartbeats_;
    options.late_share = kLateHeartbeats;
    options.group = "g-" + std::to_string(slot.worker / 2);
    slot.leaf = std::make_unique<FakeLeaf>(options);
  }

  void lose_leaf(LeafSlot& slot) {
    if (!slot.leaf) return;
    ++lost_leaves_;
    slot.leaf->crash();
    keep_history(slot);
    slot.leaf.reset();
    // Either within the lease of the lost leaf, or so late that a new leader no longer knows the lost leaf.
    slot.next_at = Clock::now() + (random_() % 2 == 0 ? random_time(100, 2000) : random_time(8000, 16000));
  }

  void make_leaf_fail(const LeafSlot& slot) {
    if (!slot.leaf) return;
    ++failing_leaves_;
    slot.leaf->fail_all_for(random_time(1000, 4000));
  }

  void keep_history(const LeafSlot& slot) {
    const std::string id = "i-" + std::to_string(slot.worker) + "-" + std::to_string(slot.incarnations);
    histories_.push_back({id, slot.leaf->starts()});
  }

  void start_due_leaves() {
    for (LeafSlot& slot : slots_)
      if (!slot.leaf && Clock::now() >= slot.next_at) start_leaf(slot);
  }

  // ---------------------------------------------------------------- faults

  // For the middle half a service is deleted, whose leader is killed again and again together with an edge.
  void inject_faults(ProcessFaults& processes, SoakClients& clients) {
    const Clock::time_point begin = Clock::now();
    const Clock::time_point end = begin + options_.duration;
    const Clock::time_point deletion = begin + options_.duration / 4;
    const Clock::time_point deletion_end = begin + options_.duration * 3 / 4;
    Clock::time_point next_leader_kill = deletion + random_time(1000, 3000);
    Clock::time_point next = Clock::now() + random_time(1000, 3000);
    while (Clock::now() < end) {
      const bool archive_deleted = Clock::now() >= deletion && Clock::now() < deletion_end;
      clients.keep_archive_deleted(archive_deleted);
      if (archive_deleted && Clock::now() >= next_leader_kill) {
        processes.kill_leader_and_edge(kArchiveService);
        next_leader_kill = Clock::now() + random_time(1500, 3000);
      }
      if (Clock::now() >= next) {
        const std::uint64_t kind = random_() % 8;
        if (kind <= 1) {
          lose_leaf(slots_[random_() % slots_.size()]);
        } else if (kind == 2) {
          make_leaf_fail(slots_[random_() % slots_.size()]);
        } else {
          processes.inject();
        }
        // Most faults follow the previous one within 0.5 s; pauses separate such series.
        next = Clock::now() + (random_() % 3 == 0 ? random_time(1000, 4000) : random_time(20, 500));
      }
      step(processes);
    }
  }

  void step(ProcessFaults& processes) {
    processes.step();
    start_due_leaves();
    std::this_thread::sleep_for(kStepInterval);
  }

  void heal(ProcessFaults& processes, SoakClients& clients) {
    processes.heal();
    for (LeafSlot& slot : slots_) slot.next_at = Clock::now();
    start_due_leaves();
    // The operator completes its change, for which processes that have just ended must start again.
    step_during(processes, [&clients] {
      clients.stop();
      return true;
    });
  }

  // Calls the function on another thread meanwhile, and returns its result.
  bool step_during(ProcessFaults& processes, const std::function<bool()>& call) {
    std::future<bool> result = std::async(std::launch::async, call);
    while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) step(processes);
    return result.get();
  }

  // Deletes the service "archive", whose jobs must stay known; then each control node loses its disk, one
  // long after the other.
  void lose_disks(ProcessFaults& processes, SoakClients& clients) {
    const bool deleted = step_during(processes, [&clients] { return clients.retire_archive(); });
    if (!deleted) faults_.emplace_back("the deletion of a service is not acknowledged");
    for (unsigned index = 0; index < options_.control_nodes; ++index) {
      step_for(processes, kTimeBetweenLostDisks);
      await_votes(processes);
      processes.lose_disk("control-" + std::to_string(index));
    }
    step_for(processes, kTimeBetweenLostDisks);
    await_votes(processes);
  }

  // A control node that has lost its disk counts as lost until it votes. On a busy machine that takes longer
  // than between two losses.
  void await_votes(ProcessFaults& processes) {
    const Clock::time_point limit = Clock::now() + kCompletionTime;
    for (unsigned index = 0; index < options_.control_nodes; ++index) {
      while (!votes(index)) {
        if (Clock::now() >= limit)
          return faults_.push_back("control-" + std::to_string(index) + " doesn't vote");
        step(processes);
      }
    }
  }

  bool votes(unsigned control_node) const {
    HttpCall call;
    call.address = cluster_.control_address(control_node);
    call.target = "/v1/status";
    const HttpCallResponse response = send_http_call(call);
    return response.status == kHttpOk && response.body.find(R"("votes":true)") != std::string::npos;
  }

  void step_for(ProcessFaults& processes, milliseconds duration) {
    const Clock::time_point end = Clock::now() + duration;
    while (Clock::now() < end) step(processes);
  }

  // ---------------------------------------------------------------- checks

  void await_jobs(ProcessFaults& processes, const std::vector<std::string>& jobs) {
    std::deque<std::string> open(jobs.begin(), jobs.end());
    const Clock::time_point limit = Clock::now() + kCompletionTime;
    HttpConnection connection;
    while (!open.empty() && Clock::now() < limit) {
      step(processes);  // before each call, to restart processes that have ended meanwhile
      const std::string job = open.front();
      open.pop_front();
      const HttpCallResponse response = connection.send(job_call(cluster_.front_address(), "GET", job));
      const bool completed =
          response.status == kHttpOk && response.body.find("completed") != std::string::npos;
      if (!completed) open.push_back(job);
    }
    for (const std::string& job : open) faults_.push_back("job " + job + " does not complete");
  }

  void check_configuration(const std::vector<std::string>& acknowledged_routes) {
    const Clock::time_point limit = Clock::now() + kCompletionTime;
    for (std::size_t turn = 0; Clock::now() < limit; ++turn) {
      HttpCall call;
      call.address = cluster_.control_address(static_cast<unsigned>(turn % options_.control_nodes));
      call.target = "/v1/Config.Get";
      const HttpCallResponse response = send_http_call(call);
      if (response.status != kHttpOk) {
        std::this_thread::sleep_for(kStepInterval);
        continue;
      }
      for (const std::string& route : acknowledged_routes)
        if (response.body.find('"' + route + '"') == std::string::npos)
          faults_.push_back("the configuration lacks the acknowledged route " + route);
      return;
    }
    faults_.emplace_back("the configuration can't be read");
  }

  void check_runs(const std::vector<CancelledJob>& cancelled) {
    for (const LeafSlot& slot : slots_)
      if (slot.leaf) keep_history(slot);
    add_faults(find_run_faults(histories_, Clock::now()));
    add_faults(find_starts_after_cancel(histories_, cancelled, kMaxStartAfterCancel));
  }

  void add_faults(const std::vector<std::string>& found) {
    faults_.insert(faults_.end(), found.begin(), found.end());
  }

  void report(const ProcessFaults& processes, const SoakClients& clients) {
    std::size_t runs = 0;
    for (const LeafHistory& history : histories_) runs += history.starts.size();
    std::printf("seed %llu: %zu jobs, %u sent again, %zu runs, configuration %llu, queue moved %u times; ",
                static_cast<unsigned long long>(options_.seed), clients.accepted_jobs().size(),
                clients.repeated_submissions(), runs,
                static_cast<unsigned long long>(clients.acknowledged_version()), clients.queue_moves());
    std::printf("lost leaves %u, failing leaves %u, late heartbeats %u, cancels %zu", lost_leaves_,
                failing_leaves_, late_heartbeats_.delivered(), clients.cancelled_jobs().size());
    for (const auto& [kind, count] : processes.counts()) std::printf(", %s %u", kind.c_str(), count);
    std::printf("; faults found: %zu\n", faults_.size());
    for (const std::string& fault : faults_) std::printf("FAULT: %s\n", fault.c_str());
    if (!faults_.empty()) cluster_.save_logs("found/soak-" + std::to_string(options_.seed));
  }

  const FaultSoakOptions options_;
  std::mt19937_64 random_;
  LocalCluster cluster_;
  LateHeartbeats late_heartbeats_;
  std::vector<LeafSlot> slots_;
  std::vector<LeafHistory> histories_;  // of the lost leaves; at the end, of all leaves
  unsigned lost_leaves_ = 0;
  unsigned failing_leaves_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace

int run_fault_soak(const FaultSoakOptions& options) {
  FaultSoak soak(options);
  return soak.run();
}

}  // namespace winchhall::testbed::cluster
