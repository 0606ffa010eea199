// Simulation of a whole cluster: control nodes, worker-agents, their leaves, and clients, with faults that
// come in series and overlap. Control nodes and worker-agents are the program's own code on simulated
// machines; leaves follow the protocol.
#pragma once

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cluster/control/control_node.hpp"
#include "cluster/control/inspection_responses.hpp"
#include "cluster/worker_agent/worker_agent.hpp"
#include "tests/cluster/scheduler/leaf_executor.hpp"
#include "tests/cluster/support/configuration_fixture.hpp"
#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {

using test::Ms;

// How the calls between a leaf and its worker-agent behave.
struct LeafCallOptions {
  double late = 0;                // fraction of heartbeats that arrive late
  Ms late_max_ms = 3000;          // by at most this time
  bool outlives_process = false;  // a late heartbeat may reach the next process of the worker-agent
};

struct ServiceClusterOptions {
  std::size_t control_nodes = 3;
  std::size_t workers = 6;
  LeafCallOptions leaf_calls;
  SimulationOptions network;
};

inline const std::string kSimulatedService = "core";

// Owns the simulated machines, the leaves and the checker. Machines are numbered: control nodes first, then
// worker machines, each with a worker-agent and a leaf, which is not part of the machine: it survives losses
// of power.
class ServiceCluster {
 public:
  ServiceCluster(std::uint64_t seed, const ServiceClusterOptions& options)
      : options_(options),
        simulation_(seed, options.network),
        random_(seed),
        controls_(options.control_nodes),
        agents_(options.workers),
        executor_(checker_, leaves_, random_) {
    checker_.bounds.status = Millis(400000);
    for (std::size_t index = 0; index < options_.control_nodes; ++index) add_control(index);
    for (std::size_t index = 0; index < options_.workers; ++index) add_worker(index);
    client_ = &simulation_.add_node("10.0.2.1:7000", [](SimNode&) { return SimNode::Program{}; });
    client_->start();
    start_all();
    first_start_ = false;
    simulation_.run_for(Millis(2500));
    put_configuration();
    simulation_.run_for(Millis(1500));
    for (std::size_t index = 0; index < options_.workers; ++index) start_leaf(index);
    step_leaves();
    poll_state();
  }
  ~ServiceCluster() {
    simulation_.on_event(nullptr);
    for (std::size_t index = 0; index < simulation_.size(); ++index)
      if (simulation_.node(index).running()) simulation_.node(index).crash();
  }

  Simulation& simulation() { return simulation_; }
  const std::vector<std::string>& violations() const { return checker_.log.violations; }
  // Adds the violations that only the whole run shows.
  void check_after_run() { checker_.check_after_run(); }
  Ms now() const { return simulation_.now_ms(); }
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Ms between(Ms least, Ms most) { return std::uniform_int_distribution<Ms>(least, most)(random_); }
  std::size_t machines() const { return options_.control_nodes + options_.workers; }
  std::size_t control_nodes() const { return options_.control_nodes; }
  std::size_t workers() const { return options_.workers; }
  std::size_t worker_machine(std::size_t worker) const { return options_.control_nodes + worker; }
  SimNode& node(std::size_t index) { return simulation_.node(index); }
  // Label of a worker's leaf alone.
  static std::string leaf_label(std::size_t worker) { return "l-" + std::to_string(worker); }

  // ---------------------------------------------------------------- faults

  // Ends a machine's process, which starts again after the given time.
  void crash(std::size_t machine, Ms restart_after) {
    if (!node(machine).running()) return;
    node(machine).crash();
    simulation_.in(Millis(restart_after), [this, machine] {
      if (!node(machine).running()) node(machine).start();
    });
  }
  // Empties a machine's disk, unless that was done before: the group tolerates one lost disk.
  void lose_disk_once(std::size_t machine) {
    if (std::exchange(disk_lost_, true)) return;
    node(machine).lose_disk();
  }
  // Cuts a machine from all control nodes.
  void partition_from_control(std::size_t machine, Ms duration) {
    for (std::size_t control = 0; control < options_.control_nodes; ++control)
      if (control != machine) simulation_.cut_both(machine, control);
    simulation_.in(Millis(duration), [this, machine] {
      for (std::size_t control = 0; control < options_.control_nodes; ++control)
        if (control != machine) simulation_.cut_both(machine, control, false);
    });
  }
  // Ends the leaf process of a worker machine; the next one starts after the given time.
  void stop_leaf(std::size_t worker, Ms restart_after) {
    LeafSlot& slot = slots_.at(worker);
    if (slot.leaf == nullptr) return;
    for (auto& end : slot.leaf->unacknowledged) end->acknowledged = false;
    const std::string id = slot.leaf->id;
    slot.leaf = nullptr;
    ++slot.call;
    std::erase_if(leaves_, [&](const auto& leaf) { return leaf->id == id; });
    simulation_.in(Millis(restart_after), [this, worker] {
      if (slots_.at(worker).leaf == nullptr) start_leaf(worker);
    });
  }
  // All runs that end on a leaf within the given time fail.
  void make_leaf_fail(std::size_t worker, Ms duration) {
    test::SimulatedLeaf* leaf = slots_.at(worker).leaf;
    if (leaf == nullptr) return;
    leaf->fails_everything = true;
    simulation_.in(Millis(duration), [this, id = leaf->id] {
      for (auto& other : leaves_)
        if (other->id == id) other->fails_everything = false;
    });
  }
  // Deletes the only queue and service from the configuration. Its jobs stay.
  void delete_service() {
    HttpRequest request{boost::beast::http::verb::post, "/v1/Config.Patch", 11};
    request.set("X-Winchhall-Base-Version", "5");
    request.body() = R"({"version":6,"delete":{"routes":["r-1"],"services":["core"]}})";
    controls_[0]->handle_http(request, [](const HttpResponse&) {});
  }
  // Empties the disk of one control node after another, each with the time to catch up.
  void lose_disks_in_turn() {
    constexpr Millis kBetweenLosses{9000};
    for (std::size_t control = 0; control < options_.control_nodes; ++control) {
      simulation_.run_for(kBetweenLosses);
      node(control).crash();
      node(control).lose_disk();
      node(control).start();
    }
    simulation_.run_for(kBetweenLosses);
  }
  // Heals the network and the disks, and starts all machines. No heartbeat is late from then on.
  void end_faults() {
    simulation_.heal();
    for (std::size_t machine = 0; machine < machines(); ++machine) {
      node(machine).refuse_writes(false);
      if (!node(machine).running()) node(machine).start();
    }
    options_.leaf_calls = {};
  }

  // ---------------------------------------------------------------- clients

  // Submits a job again and again until it is accepted, and sometimes once more after that.
  void submit(test::SimulatedJob job) {
    const std::string id = job.id;
    job.submitted_at = now();
    checker_.jobs[id] = std::move(job);
    send_submission(id, random_control());
  }
  // Submits a job whose submission arrives late, since a process that relays it is frozen. The client gives
  // up on it meanwhile: it cancels the job, or hands it in at another service, for which an agent with a
  // newer configuration asks this one. If the answer is that the job isn't known, it must never be accepted.
  void abandon(test::SimulatedJob job, bool is_cancelled) {
    constexpr Ms kMaxLateness = 6000;
    const std::string id = job.id;
    job.submitted_at = now();
    job.abandoned = true;
    job.cancel_sent = is_cancelled;
    checker_.jobs[id] = std::move(job);
    simulation_.in(Millis(between(0, kMaxLateness)), [this, id] { send_submission(id, random_control()); });
    simulation_.in(Millis(between(0, kMaxLateness)),
                   [this, id, is_cancelled] { cancel_or_query(id, is_cancelled, random_control()); });
  }
  // True if clients have seen a final state of every job, or were answered that it isn't known.
  bool all_ended() const {
    return std::all_of(checker_.jobs.begin(), checker_.jobs.end(),
                       [](const auto& entry) { return has_ended(entry.second); });
  }
  std::size_t jobs_answered_unknown() const {
    return static_cast<std::size_t>(
        std::count_if(checker_.jobs.begin(), checker_.jobs.end(),
                      [](const auto& entry) { return entry.second.answered_unknown_at >= 0; }));
  }
  std::string open_jobs() const {
    std::string ids;
    for (const auto& [id, job] : checker_.jobs)
      if (!has_ended(job)) ids += " " + id + (job.accepted_at < 0 ? "(not accepted)" : "");
    return ids;
  }
  std::size_t runs_started() const { return checker_.log.starts.size(); }

 private:
  // A leaf on a worker machine, and its pending heartbeat.
  struct LeafSlot {
    test::SimulatedLeaf* leaf = nullptr;  // null: crashed
    std::uint64_t call = 0;               // number of the newest heartbeat
    std::uint64_t sequence = 0;
    bool awaiting = false;
    bool delivered = false;     // the heartbeat has reached a process
    unsigned delivered_to = 0;  // incarnation of that process
    Ms sent_at = 0;
    Ms next_at = 0;
    std::size_t ends = 0;
  };

  void add_control(std::size_t index) {
    simulation_.add_node(machine_ip(index) + ":7000", [this, index](SimNode& machine) {
      NodeSettings settings = control_settings(index, first_start_);
      settings.bounds = checker_.bounds;
      auto control = std::make_shared<ControlNode>(machine, machine.store(), settings);
      controls_[index] = control.get();
      control->start();
      return SimNode::Program{control, [control](const wire::Envelope& request, const ReplyCallback& reply) {
                                return control->handle(request, reply);
                              }};
    });
  }

  void add_worker(std::size_t index) {
    simulation_.add_node("10.0.1." + std::to_string(index + 1) + ":7000", [this, index](SimNode& machine) {
      struct Program {
        NodeSettings settings;
        std::unique_ptr<WorkerAgent> agent;
      };
      auto program = std::make_shared<Program>();
      program->settings.node_name = "side-" + std::to_string(index);
      program->settings.ip = "10.0.1." + std::to_string(index + 1);
      program->settings.backend = kSimulatedService;
      program->settings.internal_port_first = 7000;
      for (std::size_t seed = 0; seed < 3; ++seed)
        program->settings.seeds.push_back(machine_ip(seed) + ":8000");
      program->settings.bounds = checker_.bounds;
      program->agent = std::make_unique<WorkerAgent>(machine, program->settings);
      agents_[index] = program->agent.get();
      program->agent->start();
      return SimNode::Program{program, [](const wire::Envelope&, const ReplyCallback&) { return false; }};
    });
  }

  void start_all() {
    for (std::size_t machine = 0; machine < machines(); ++machine) node(machine).start();
  }

  void put_configuration() {
    HttpRequest request{boost::beast::http::verb::post, "/v1/Config.Put", 11};
    request.set("X-Winchhall-Base-Version", "0");
    request.body() = configuration_test::small_configuration(5);
    controls_[0]->handle_http(request, [](const HttpResponse&) {});
  }

  // ---------------------------------------------------------------- leaves

  void start_leaf(std::size_t worker) {
    auto& leaf = *leaves_.emplace_back(std::make_unique<test::SimulatedLeaf>());
    leaf.id = "i-" + std::to_string(++last_leaf_);
    leaf.capacity = {8000, 8192, 0};
    leaf.labels = {"a", leaf_label(worker), "r-" + std::to_string(worker / 3)};
    leaf.clock_slowdown = 1 + chance() * 0.02;
    if (slots_.size() <= worker) slots_.resize(worker + 1);
    slots_[worker] = LeafSlot();
    slots_[worker].leaf = &leaf;
    slots_[worker].call = ++last_call_;
    slots_[worker].next_at = now() + between(5, 100);
  }

  void step_leaves() {
    for (auto& leaf : leaves_) executor_.step(*leaf, now());
    for (std::size_t worker = 0; worker < slots_.size(); ++worker) step_slot(worker);
    simulation_.in(Millis(test::kStep), [this] { step_leaves(); });
  }

  void step_slot(std::size_t worker) {
    constexpr Ms kCallTimeout = 1000;
    constexpr Ms kHeartbeatAfterEnd = 50;
    LeafSlot& slot = slots_[worker];
    if (slot.leaf == nullptr) return;
    const std::size_t ends = slot.leaf->next_end_number;
    if (ends > slot.ends) slot.next_at = std::min(slot.next_at, now() + kHeartbeatAfterEnd);
    slot.ends = ends;
    const SimNode& machine = node(worker_machine(worker));
    const bool broken = slot.delivered && (!machine.running() || machine.incarnation() != slot.delivered_to);
    if (slot.awaiting && (broken || now() - slot.sent_at >= kCallTimeout)) {
      slot.awaiting = false;
      slot.next_at = now() + between(5, 100);
    }
    if (!slot.awaiting && now() >= slot.next_at) send_heartbeat(worker);
  }

  std::string heartbeat_body(const test::SimulatedLeaf& leaf, std::uint64_t sequence) const {
    namespace json = boost::json;
    json::array running;
    for (const auto& [name, run] : leaf.running) {
      const Ms percent = run.worked_ms * 100 / std::max<Ms>(1, run.work_ms);
      running.push_back(json::array{name, run.run, run.checkpoint, percent});
    }
    json::array finished;
    for (const wire::FinishedTask& end : leaf.finished) {
      constexpr std::size_t kMaxListed = 500;
      if (finished.size() == kMaxListed) break;
      finished.push_back(
          json::array{end.number(), end.task(), end.run(), end_kind_name(end.how()), end.saved()});
    }
    json::array labels;
    for (const std::string& label : leaf.labels) labels.push_back(json::string(label));
    const json::object capacity{
        {"cpu", leaf.capacity.cpu}, {"mem_mb", leaf.capacity.mem_mb}, {"gpu", leaf.capacity.gpu}};
    return json::serialize(json::object{{"backend", kSimulatedService},
                                        {"state", "ready"},
                                        {"capacity", capacity},
                                        {"labels", labels},
                                        {"clock_ms", now()},
                                        {"sequence", sequence},
                                        {"running", running},
                                        {"finished", finished}});
  }

  void send_heartbeat(std::size_t worker) {
    LeafSlot& slot = slots_[worker];
    slot.call = ++last_call_;
    slot.awaiting = true;
    slot.delivered = false;
    slot.sent_at = now();
    const LeafCallOptions& calls = options_.leaf_calls;
    const bool late = chance() < calls.late;
    const Ms delay = late ? between(200, calls.late_max_ms) : between(0, 1);
    const unsigned process = node(worker_machine(worker)).incarnation();
    const bool outlives = calls.outlives_process;
    simulation_.in(Millis(delay), [this, worker, call = slot.call, process, outlives, id = slot.leaf->id,
                                   body = heartbeat_body(*slot.leaf, ++slot.sequence)] {
      SimNode& machine = node(worker_machine(worker));
      if (!machine.running()) return;
      if (!outlives && machine.incarnation() != process) return;
      LeafSlot& sender = slots_[worker];
      if (sender.call == call) {
        sender.delivered = true;
        sender.delivered_to = machine.incarnation();
      }
      deliveries_.push_back(machine.after(Millis(0), [this, worker, call, id, body] {
        agents_[worker]->on_heartbeat(id, body, [this, worker, call](const LeafResponse& response) {
          simulation_.in(Millis(between(0, 1)),
                         [this, worker, call, text = response.body] { on_response(worker, call, text); });
        });
      }));
    });
    constexpr std::size_t kMaxPendingDeliveries = 2000;
    if (deliveries_.size() > kMaxPendingDeliveries) deliveries_.pop_front();
  }

  static std::uint64_t number_in(const boost::json::object& object, const char* field) {
    const boost::json::value* value = object.if_contains(field);
    return value != nullptr ? value->to_number<std::uint64_t>() : 0;
  }

  void on_response(std::size_t worker, std::uint64_t call, const std::string& text) {
    LeafSlot& slot = slots_[worker];
    if (slot.leaf == nullptr || !slot.awaiting || slot.call != call) return;
    slot.awaiting = false;
    const boost::json::object body = boost::json::parse(text).as_object();
    slot.next_at = now() + static_cast<Ms>(number_in(body, "retry_after_ms"));
    wire::WorkerOrders orders;
    orders.set_epoch(number_in(body, "fence_token"));
    if (orders.epoch() < slot.leaf->fencing_epoch) {  // the leaf ignores the response
      slot.next_at = now() + between(1300, 1600);
      return;
    }
    orders.set_last_seen(number_in(body, "last_seen"));
    if (body.contains("started_at")) {
      for (const boost::json::value& entry : body.at("started_at").as_array()) {
        wire::StartOrder& start = *orders.add_starts();
        start.set_task(entry.as_array()[0].as_string().c_str());
        start.set_run(entry.as_array()[1].to_number<std::uint64_t>());
        start.set_spec(entry.as_array()[2].as_string().c_str());
        start.set_saved(entry.as_array()[3].as_string().c_str());
      }
    }
    if (body.contains("stopped_at")) {
      for (const boost::json::value& entry : body.at("stopped_at").as_array()) {
        wire::StopOrder& stop = *orders.add_stops();
        stop.set_task(entry.as_array()[0].as_string().c_str());
        stop.set_run(entry.as_array()[1].to_number<std::uint64_t>());
      }
    }
    const Ms hold = static_cast<Ms>(number_in(body, "hold_ms"));
    const Ms left = slot.sent_at + hold - now();
    executor_.apply_orders(*slot.leaf, orders, left > 0 ? now() + left : -1, now());
  }

  // ---------------------------------------------------------------- clients

  Address random_control() {
    return machine_ip(static_cast<std::size_t>(between(0, static_cast<Ms>(options_.control_nodes) - 1))) +
           ":7000";
  }

  // Configurations by which requests are routed; the version counts only where a queue has moved.
  static constexpr std::uint64_t kEarlierVersion = 1;
  static constexpr std::uint64_t kNewerVersion = 2;

  wire::Envelope job_request(const std::string& id, wire::JobVerb verb,
                             std::uint64_t configuration_version = kNewerVersion) {
    const test::SimulatedJob& job = checker_.jobs.at(id);
    wire::Envelope envelope;
    wire::JobRequest& request = *envelope.mutable_job_request();
    request.set_verb(verb);
    request.set_service(kSimulatedService);
    request.set_id(id);
    request.set_configuration_version(configuration_version);
    *request.mutable_terms() = job.terms;
    if (verb == wire::JOB_SUBMIT) *request.mutable_spec() = job.spec;
    return envelope;
  }

  // Sends a submission until it is accepted. That of an abandoned job is routed by an earlier configuration,
  // and may be rejected.
  void send_submission(const std::string& id, const Address& target) {
    constexpr Millis kTimeout{1500};
    const bool abandoned = checker_.jobs.at(id).abandoned;
    const wire::Envelope request =
        job_request(id, wire::JOB_SUBMIT, abandoned ? kEarlierVersion : kNewerVersion);
    client_->call(target, request, kTimeout, [this, id, abandoned](const CallResult& result) {
      const wire::JobReply reply = result.answer ? result.answer->job_reply() : wire::JobReply();
      if (reply.outcome() == wire::JOB_OK) return on_accepted(id);
      if (reply.outcome() == wire::JOB_REJECTED && abandoned) return;
      const Address next = reply.leader_address().empty() ? random_control() : reply.leader_address();
      simulation_.in(Millis(between(20, 300)), [this, id, next] { send_submission(id, next); });
    });
  }

  static bool has_ended(const test::SimulatedJob& job) {
    return job.final_at >= 0 || job.answered_unknown_at >= 0 || job.lasts;
  }

  // Cancels the job, or looks it up as an agent with a newer configuration does, until that has a definite
  // answer.
  void cancel_or_query(const std::string& id, bool is_cancelled, const Address& target) {
    constexpr Millis kTimeout{1500};
    wire::Envelope request =
        job_request(id, is_cancelled ? wire::JOB_CANCEL : wire::JOB_QUERY, kNewerVersion);
    request.mutable_job_request()->set_confirms_unknown(!is_cancelled);
    client_->call(target, request, kTimeout, [this, id, is_cancelled](const CallResult& result) {
      const wire::JobReply reply = result.answer ? result.answer->job_reply() : wire::JobReply();
      test::SimulatedJob& job = checker_.jobs.at(id);
      if (reply.outcome() == wire::JOB_NOT_FOUND) return on_answered_unknown(job);
      if (reply.outcome() == wire::JOB_OK && is_cancelled) job.cancelled_at = now();
      // The late submission has been accepted before.
      if (reply.outcome() == wire::JOB_OK) return on_accepted(id);
      const Address next = reply.leader_address().empty() ? random_control() : reply.leader_address();
      simulation_.in(Millis(between(20, 300)),
                     [this, id, is_cancelled, next] { cancel_or_query(id, is_cancelled, next); });
    });
  }

  void on_answered_unknown(test::SimulatedJob& job) {
    job.answered_unknown_at = now();
    if (job.accepted_at >= 0) checker_.log.add_violation("LOST", "unknown " + job.id, now());
  }

  void on_accepted(const std::string& id) {
    test::SimulatedJob& job = checker_.jobs.at(id);
    if (job.answered_unknown_at >= 0) checker_.log.add_violation("UNASKED", "accepted " + id, now());
    if (job.accepted_at < 0) job.accepted_at = now();
    constexpr double kSentAgain = 0.3;
    if (chance() >= kSentAgain) return;
    const Address target = random_control();
    simulation_.in(Millis(between(0, 6000)), [this, id, target] {
      if (checker_.jobs.at(id).final_at < 0) send_submission(id, target);
    });
  }

  // Asks for the state of one open job after another.
  void poll_state() {
    std::vector<std::string> open;
    for (const auto& [id, job] : checker_.jobs)
      if (job.accepted_at >= 0 && job.final_at < 0 && !job.lasts) open.push_back(id);
    if (open.empty()) {
      simulation_.in(Millis(50), [this] { poll_state(); });
      return;
    }
    query(open[static_cast<std::size_t>(between(0, static_cast<Ms>(open.size()) - 1))], random_control());
  }
  void query(const std::string& id, const Address& target) {
    constexpr Millis kTimeout{700};
    client_->call(target, job_request(id, wire::JOB_QUERY), kTimeout, [this, id](const CallResult& result) {
      const wire::JobReply reply = result.answer ? result.answer->job_reply() : wire::JobReply();
      if (reply.outcome() == wire::JOB_NOT_LEADER && !reply.leader_address().empty())
        return query(id, reply.leader_address());
      const bool known = reply.outcome() == wire::JOB_OK;
      if (known || reply.outcome() == wire::JOB_NOT_FOUND)
        checker_.on_visible_state(checker_.jobs.at(id), known ? reply.state() : wire::JOB_UNKNOWN, now());
      simulation_.in(Millis(between(1, 20)), [this] { poll_state(); });
    });
  }

  ServiceClusterOptions options_;
  Simulation simulation_;
  std::mt19937_64 random_;
  std::vector<ControlNode*> controls_;
  std::vector<WorkerAgent*> agents_;
  test::RuleChecker checker_;
  test::RuleChecker::Leaves leaves_;
  test::LeafExecutor executor_;
  std::vector<LeafSlot> slots_;  // by worker
  SimNode* client_ = nullptr;
  bool first_start_ = true;
  bool disk_lost_ = false;
  std::uint64_t last_leaf_ = 0;
  std::uint64_t last_call_ = 0;
  std::deque<std::unique_ptr<Timer>> deliveries_;
};

}  // namespace winchhall::cluster::sim
