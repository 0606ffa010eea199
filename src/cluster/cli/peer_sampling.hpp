// Peer sampling in the long-running processes.
#pragma once

#include <functional>
#include <utility>

#include "cluster/cli/process.hpp"
#include "cluster/membership/peer_sampler.hpp"

namespace winchhall::cluster {

// The descriptor of this process for other peers: its RPC listener, role and zone.
PeerDescriptor own_descriptor(const NodeSettings& settings, PeerRole role);

// Opens the RPC listener of a process that serves only shuffle requests there. If listening fails, this is
// logged ("listen_failed"), and the process takes part in the sampling as a caller only. The sampler must
// live as long as the process runs.
void listen_for_shuffles(Process& process, PeerSampler& sampler);

// Runs a process that consists of a component and its sampler: applies changed seeds to both, and shuts both
// down when the process is stopped. Returns when the process has stopped. `Component` has set_seeds, start
// and shut_down.
template <typename Component>
void run_with_sampler(Process& process, PeerSampler& sampler, Component& component) {
  process.on_settings([&component, &sampler](const NodeSettings& changed) {
    component.set_seeds(changed.seed_internal_addresses());
    sampler.set_seeds(changed.seed_internal_addresses());
  });
  process.on_stop([&component, &sampler](std::function<void()> done) {
    sampler.stop();
    component.shut_down(std::move(done));
  });
  component.start();
  sampler.start();
  process.run();
}

}  // namespace winchhall::cluster
