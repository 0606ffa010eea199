// Test of a rolling upgrade: replaces the processes of a cluster by processes of another program, one at a
// time, under load.
#pragma once

#include <string>

namespace winchhall::testbed::cluster {

// Starts three control nodes, an ingress with its agent and two worker-agents with fake leaves from
// `old_program`, and replaces each process by one of `new_program` with the same directory. Before,
// during and after each replacement, jobs are submitted and the configuration is changed. Prints each step,
// and the faults found at the end.
//
// Returns EXIT_SUCCESS if every process exited with status 0, every acknowledged job is known and completed,
// no task was completed twice, and the configuration holds every acknowledged change in the order of the
// changes.
int run_rolling_upgrade(const std::string& old_program, const std::string& new_program);

}  // namespace winchhall::testbed::cluster
