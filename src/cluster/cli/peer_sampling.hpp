// Peer sampling as the roles of this program take part in it.
#pragma once

#include "cluster/cli/process.hpp"
#include "cluster/membership/peer_sampler.hpp"

namespace winchhall::cluster {

// Descriptor by which others find this process at its internal listener.
PeerDescriptor own_descriptor(const NodeSettings& settings, PeerRole role);

// Opens the internal listener of a process that takes no other requests there than shuffles. Where the
// address can't be had this is logged, and the process shuffles as a caller only. The sampler lives as long
// as the process runs.
void listen_for_shuffles(Process& process, PeerSampler& sampler);

}  // namespace winchhall::cluster
