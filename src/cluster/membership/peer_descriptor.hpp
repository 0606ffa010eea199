// What processes tell each other of a peer when they shuffle their partial views.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Kinds of process that take part. `other`: a kind that this version does not know.
enum class PeerRole { control, agent, worker_agent, other };

struct PeerDescriptor {
  Address address;  // internal listener; empty: the process takes no requests
  PeerRole role = PeerRole::other;
  std::string zone;
  std::uint32_t age = 0;  // rounds since the peer itself sent this descriptor

  bool operator==(const PeerDescriptor&) const = default;
};

// Descriptors older than this are not taken from others: their peer is likely to be gone.
inline constexpr std::uint32_t kMaxDescriptorAge = 40;
// No more descriptors than this are read from one message.
inline constexpr int kMaxDescriptorsRead = 16;

wire::PeerDescriptor to_wire(const PeerDescriptor& descriptor);
// None: the address is no "ip:port", a text is too long, or the descriptor is too old.
std::optional<PeerDescriptor> from_wire(const wire::PeerDescriptor& descriptor);
// The sender and the descriptors of a message that are fit for use, the sender first.
std::vector<PeerDescriptor> descriptors_of(const wire::PeerShuffle& shuffle);

}  // namespace winchhall::cluster
