// Faults of the processes of a local cluster: signals in series that overlap, and restarts.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "testbed/cluster/local_cluster.hpp"

namespace winchhall::testbed::cluster {

// Draws faults and lets them end. A process that has ended is started again after a random time. Faults are
// drawn without regard to one another: a process may be told to end while it is frozen, and a majority of the
// control nodes may be away. Single-threaded: `step` is to be called every few milliseconds.
class ProcessFaults {
 public:
  using Clock = std::chrono::steady_clock;

  // `cluster` outlives this object; all its processes have just been started.
  ProcessFaults(LocalCluster& cluster, std::uint64_t seed);

  // Injects one random fault.
  void inject();
  // Does what is due: resumes frozen processes, notices ends, starts processes again.
  void step();
  // Resumes all processes and starts those that have ended at once.
  void heal();

  // Number of injected faults by kind.
  const std::map<std::string, unsigned>& counts() const { return counts_; }
  // Processes that ended by themselves, with an error, or not within their time; one line each.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct ProcessState {
    Clock::time_point started;
    bool killed = false;           // SIGKILL was sent since the start
    bool terminated = false;       // SIGTERM was sent since the start
    Clock::time_point end_by;      // where it was terminated
    Clock::time_point resume_at;   // where it is frozen
    Clock::time_point restart_at;  // where it has ended
  };

  const std::string& random_process();
  std::chrono::milliseconds random_time(int least_ms, int most_ms);
  void kill(const std::string& name);
  void terminate(const std::string& name);
  void freeze(const std::string& name);
  void hang_up(const std::string& name);
  void kill_all_control_nodes();
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
