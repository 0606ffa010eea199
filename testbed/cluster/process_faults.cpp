#include "testbed/cluster/process_faults.hpp"

#include <sys/wait.h>

#include <csignal>

namespace winchhall::testbed::cluster {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Until this time after its start, a process may not have installed its signal handlers.
constexpr milliseconds kMaxStartTime{1500};
constexpr milliseconds kMaxShutdownTime{20000};
// From a leader's end to the moment when its lease has expired and no other one is known.
constexpr int kMinLeaseGapMs = 620;
constexpr int kMaxLeaseGapMs = 820;
constexpr Clock::time_point kNever = Clock::time_point::max();

bool is_set(Clock::time_point time) { return time != Clock::time_point{}; }

bool exited_normally(int status) { return WIFEXITED(status) && WEXITSTATUS(status) == 0; }

bool was_killed_by(int status, int signal) { return WIFSIGNALED(status) && WTERMSIG(status) == signal; }

}  // namespace

ProcessFaults::ProcessFaults(LocalCluster& cluster, std::uint64_t seed)
    : cluster_(cluster), names_(cluster.process_names()), random_(seed) {
  for (const std::string& name : names_) states_[name].started = Clock::now();
}

const std::string& ProcessFaults::random_process() {
  // Draws the group first, so that the few control, ingress and agent processes are chosen as often as all
  // worker-agents together.
  constexpr std::size_t kProcessGroups = 2;
  std::vector<const std::string*> workers;
  std::vector<const std::string*> others;
  for (const std::string& name : names_) (name.starts_with("worker-") ? workers : others).push_back(&name);
  const auto& group = random_() % kProcessGroups == 0 ? workers : others;
  return *group[random_() % group.size()];
}

milliseconds ProcessFaults::random_time(int min_ms, int max_ms) {
  return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
}

void ProcessFaults::inject() {
  const std::string& name = random_process();
  switch (random_() % 10) {
    case 0:
    case 1:
      return kill(name);
    case 2:
    case 3:
      return terminate(name);
    case 4:
    case 5:
      return freeze(name, random_time(50, 4000));
    case 6:
      return send_sighup(name);
    case 7:
    case 8:
      return freeze_edge();
    default:
      return random_() % 2 == 0 ? kill_all_control_nodes() : kill_edge();
  }
}

void ProcessFaults::kill(const std::string& name) {
  if (!cluster_.is_running(name)) return;
  ++counts_["SIGKILL"];
  states_[name].killed = true;
  cluster_.signal(name, SIGKILL);
}

void ProcessFaults::terminate(const std::string& name) {
  if (!cluster_.is_running(name)) return;
  ++counts_["SIGTERM"];
  ProcessState& state = states_[name];
  if (!state.terminated) state.end_by = Clock::now() + kMaxShutdownTime;
  state.terminated = true;
  cluster_.signal(name, SIGTERM);
}

void ProcessFaults::freeze(const std::string& name, milliseconds duration) {
  if (!cluster_.is_running(name)) return;
  ++counts_["SIGSTOP"];
  ProcessState& state = states_[name];
  state.resume_at = std::max(state.resume_at, Clock::now() + duration);
  state.end_by += duration;
  cluster_.signal(name, SIGSTOP);
}

void ProcessFaults::send_sighup(const std::string& name) {
  if (Clock::now() - states_[name].started < kMaxStartTime) return;
  ++counts_["SIGHUP"];
  cluster_.signal(name, SIGHUP);
}

void ProcessFaults::kill_all_control_nodes() {
  ++counts_["all control nodes"];
  for (const std::string& name : names_)
    if (name.starts_with("control-")) kill(name);
}

void ProcessFaults::kill_edge() {
  ++counts_["edge"];
  for (const std::string& name : random_edge()) kill(name);
}

void ProcessFaults::kill_leader_and_edge(const std::string& service) {
  const std::string leader = cluster_.leader_of(service);
  if (leader.empty() || !cluster_.is_running(leader)) return;
  ++counts_["leader and edge"];
  kill(leader);
  const milliseconds restart_after = random_time(kMinLeaseGapMs, kMaxLeaseGapMs);
  for (const std::string& name : random_edge()) {
    kill(name);
    states_[name].restart_after = restart_after;
  }
}

void ProcessFaults::freeze_edge() {
  ++counts_["frozen edge"];
  const milliseconds duration = random_time(500, 5000);
  for (const std::string& name : random_edge()) freeze(name, duration);
}

std::vector<std::string> ProcessFaults::random_edge() {
  std::vector<std::string> agents;
  for (const std::string& name : names_)
    if (name.starts_with("agent")) agents.push_back(name);
  const std::string& agent = agents[random_() % agents.size()];
  return {"ingress" + agent.substr(std::string("agent").size()), agent};
}

void ProcessFaults::lose_disk(const std::string& name) {
  ++counts_["lost disk"];
  cluster_.kill(name);
  cluster_.lose_disk(name);
  start(name, states_[name], Clock::now());
}

void ProcessFaults::step() {
  const Clock::time_point now = Clock::now();
  for (auto& [name, state] : states_) step(name, state, now);
}

void ProcessFaults::step(const std::string& name, ProcessState& state, Clock::time_point now) {
  if (is_set(state.resume_at) && now >= state.resume_at) {
    state.resume_at = Clock::time_point{};
    cluster_.signal(name, SIGCONT);
  }
  if (const std::optional<int> status = cluster_.poll_end(name)) {
    check_end(name, state, *status, now);
    state.restart_at = now + state.restart_after.value_or(random_time(0, 3000));
  }
  if (state.terminated && cluster_.is_running(name) && now >= state.end_by) {
    faults_.push_back(name + " does not end after SIGTERM");
    state.end_by = kNever;
    kill(name);
  }
  if (is_set(state.restart_at) && now >= state.restart_at) start(name, state, now);
}

void ProcessFaults::check_end(const std::string& name, const ProcessState& state, int status,
                              Clock::time_point now) {
  if (state.killed && was_killed_by(status, SIGKILL)) return;
  if (state.terminated && exited_normally(status)) return;
  const bool starting = now - state.started < kMaxStartTime;
  if (state.terminated && starting && was_killed_by(status, SIGTERM)) return;
  faults_.push_back(name + " ended with status " + std::to_string(status));
}

void ProcessFaults::start(const std::string& name, ProcessState& state, Clock::time_point now) {
  state = ProcessState();
  state.started = now;
  cluster_.start(name);
}

void ProcessFaults::heal() {
  for (auto& [name, state] : states_) {
    if (is_set(state.resume_at)) state.resume_at = Clock::now();
    if (is_set(state.restart_at)) state.restart_at = Clock::now();
  }
  step();
}

}  // namespace winchhall::testbed::cluster
