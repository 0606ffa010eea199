// Descriptors of peers, as processes exchange them in shuffles.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Role of a process in the cluster. `other`: one that this version does not know.
enum class PeerRole { control, agent, worker_agent, other };

// One peer, as it described itself some rounds ago.
struct PeerDescriptor {
  Address address;  // of its internal listener; empty: the process takes no requests
  PeerRole role = PeerRole::other;
  std::string zone;
  std::uint32_t age = 0;  // rounds since the peer itself sent this descriptor

  bool operator==(const PeerDescriptor&) const = default;
};

// Older descriptors are not accepted from others: their peers are likely to be dead. In rounds.
inline constexpr std::uint32_t kMaxDescriptorAge = 40;
// Descriptors read from one message; further ones are ignored.
inline constexpr int kMaxDescriptorsRead = 16;

wire::PeerDescriptor to_wire(const PeerDescriptor& descriptor);
// None if the descriptor isn't valid: the address is no IPv4 "ip:port", a text is too long, or the age is
// above kMaxDescriptorAge.
std::optional<PeerDescriptor> from_wire(const wire::PeerDescriptor& descriptor);
// The valid descriptors of a message, first that of the sender with age 0.
std::vector<PeerDescriptor> descriptors_of(const wire::PeerShuffle& shuffle);

}  // namespace winchhall::cluster
