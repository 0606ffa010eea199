// Descriptors of peers, as processes exchange them in shuffles.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Role of a process in the cluster. `other`: a role that this version of the program does not know.
enum class PeerRole { control, agent, worker_agent, other };

// One peer, as it described itself some rounds ago.
struct PeerDescriptor {
  Address address;  // of its internal listener; empty if the process accepts no requests
  PeerRole role = PeerRole::other;
  std::string zone;
  std::uint32_t age = 0;  // rounds since the peer itself sent this descriptor

  bool operator==(const PeerDescriptor&) const = default;
};

// Age in rounds above which descriptors from other processes are rejected, because their peers are likely to
// be dead.
inline constexpr std::uint32_t kMaxDescriptorAge = 40;
// Number of descriptors that are read from one message; further ones are ignored.
inline constexpr int kMaxDescriptorsRead = 16;

// Converts a descriptor to its wire format.
wire::PeerDescriptor to_wire(const PeerDescriptor& descriptor);
// Converts a received descriptor. None if it is invalid: the address is not an IPv4 "ip:port", a string is
// too long, or the age is above kMaxDescriptorAge.
std::optional<PeerDescriptor> from_wire(const wire::PeerDescriptor& descriptor);
// The valid descriptors of a message, first that of the sender with age 0.
std::vector<PeerDescriptor> descriptors_of(const wire::PeerShuffle& shuffle);

}  // namespace winchhall::cluster
