// Soak: a cluster of real processes under load and under faults that come in series and overlap.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace winchhall::testbed::cluster {

struct FaultSoakOptions {
  std::string program;  // path of winchhall-cluster
  std::uint64_t seed = 1;
  std::chrono::seconds duration{25};  // of the faults; the cluster then gets time to complete all jobs
  unsigned control_nodes = 3;
  unsigned workers = 6;
};

// Runs clients that keep their connections open, an operator and one fake leaf beside each worker-agent,
// while processes are killed, terminated, frozen, hung up and started again, and leaves are lost for a moment
// or for longer than their lease. Prints what was injected and found, and keeps the logs of a run with a
// fault in found/soak-SEED.
//
// Returns EXIT_SUCCESS if no task had two runs at once or was started after its end was recorded, every
// accepted job completed, no answer contradicted an earlier one, the configuration holds the newest
// acknowledged change, and no process ended by itself, with an error or too late.
int run_fault_soak(const FaultSoakOptions& options);

}  // namespace winchhall::testbed::cluster
