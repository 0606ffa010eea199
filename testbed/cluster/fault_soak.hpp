// Soak test: a cluster of real processes under load, with injected faults that overlap.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace winchhall::testbed::cluster {

struct FaultSoakOptions {
  std::string program;  // path of winchhall-cluster
  std::uint64_t seed = 1;
  std::chrono::seconds duration{25};  // of the fault injection; completing all jobs takes further time
  unsigned control_nodes = 3;
  unsigned workers = 6;
};

// Runs clients of two edges that keep their connections open, an operator and one fake leaf for each
// worker-agent, while processes and whole edges are killed (SIGKILL), terminated (SIGTERM), frozen (SIGSTOP),
// told to reload their settings (SIGHUP) and restarted, the queue moves between two services, one of which is
// deleted at times, and for the middle half of the run, while its leader is killed again and again together
// with an edge, clients give up on requests and cancel them elsewhere, leaves fail all that
// they start for some seconds, and leaves crash and are replaced either soon or after their lease has
// expired. With one seed in three each control node loses its disk at the end, one after the other. Prints
// the numbers of injected faults and the faults found. Saves the logs of a run with a fault in
// found/soak-SEED.
//
// Returns EXIT_SUCCESS if no task had two runs at once, was started after its end was recorded, or more than
// 3 s after the cancel of its job was answered, every accepted job completed, no answer contradicted an
// earlier one, the configuration holds all acknowledged routes, and no process ended by itself, with an error
// or too late.
int run_fault_soak(const FaultSoakOptions& options);

}  // namespace winchhall::testbed::cluster
