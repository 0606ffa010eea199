// Injects faults into the processes of a local cluster: signals that may overlap, and restarts.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "testbed/cluster/local_cluster.hpp"

namespace winchhall::testbed::cluster {

// Injects random faults and ends them after a random time; a process that has ended is restarted after a
// random time of up to 3 s. Faults are drawn independently: a process may receive SIGTERM while it is frozen,
// and a majority of the control nodes may be down. Not thread-safe; `step` is to be called every few
// milliseconds.
class ProcessFaults {
 public:
  using Clock = std::chrono::steady_clock;

  // `cluster` outlives this object; all its processes have just been started.
  ProcessFaults(LocalCluster& cluster, std::uint64_t seed);

  // Injects one random fault.
  void inject();
  // Kills the control node that leads `service`, and a random edge at the same moment. The edge is started
  // again while a new leader is elected. No effect if no leader is known to run.
  void kill_leader_and_edge(const std::string& service);
  // Resumes frozen processes, checks processes that have ended, and restarts them, each when it is due.
  void step();
  // Kills a control node and starts it again at once with an empty disk. The others must run and hold all
  // state.
  void lose_disk(const std::string& name);
  // Resumes all frozen processes and restarts those that have ended, without further delay.
  void heal();

  // Number of injected faults by kind.
  const std::map<std::string, unsigned>& counts() const { return counts_; }
  // One line for each process that ended without being told to, ended with an error, or did not end within 20
  // s (plus the time that it was frozen) after SIGTERM.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct ProcessState {
    Clock::time_point started;
    bool killed = false;                                     // SIGKILL was sent since the start
    bool terminated = false;                                 // SIGTERM was sent since the start
    Clock::time_point end_by;                                // if `terminated`: latest time of its end
    Clock::time_point resume_at;                             // unset: not frozen
    Clock::time_point restart_at;                            // unset: not ended
    std::optional<std::chrono::milliseconds> restart_after;  // its end; unset: a random time
  };

  const std::string& random_process();
  std::chrono::milliseconds random_time(int min_ms, int max_ms);
  void kill(const std::string& name);
  void terminate(const std::string& name);
  void freeze(const std::string& name, std::chrono::milliseconds duration);
  void send_sighup(const std::string& name);
  void kill_all_control_nodes();
  // Kills, or freezes, ingress and agent of a random edge.
  void kill_edge();
  void freeze_edge();
  std::vector<std::string> random_edge();
  void step(const std::string& name, ProcessState& state, Clock::time_point now);
  void check_end(const std::string& name, const ProcessState& state, int status, Clock::time_point now);
  void start(const std::string& name, ProcessState& state, Clock::time_point now);

  LocalCluster& cluster_;
  const std::vector<std::string> names_;
  std::mt19937_64 random_;
  std::map<std::string, ProcessState> states_;
  std::map<std::string, unsigned> counts_;
  std::vector<std::string> faults_;
};

}  // namespace winchhall::testbed::cluster
