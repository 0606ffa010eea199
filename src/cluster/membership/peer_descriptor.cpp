#include "cluster/membership/peer_descriptor.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string_view>

namespace winchhall::cluster {

namespace {

constexpr std::size_t kLongestText = 128;
constexpr unsigned kHighestPort = 65535;

struct RoleName {
  PeerRole role;
  const char* name;
};

constexpr RoleName kRoleNames[] = {
    {PeerRole::control, "control"}, {PeerRole::agent, "agent"}, {PeerRole::worker_agent, "worker-agent"}};

std::string name_of(PeerRole role) {
  for (const RoleName& entry : kRoleNames) {
    if (entry.role == role) return entry.name;
  }
  return {};
}

PeerRole role_of(const std::string& name) {
  for (const RoleName& entry : kRoleNames) {
    if (entry.name == name) return entry.role;
  }
  return PeerRole::other;
}

bool is_port(std::string_view text) {
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  return error == std::errc() && rest == end && port > 0 && port <= kHighestPort;
}

bool is_address(const Address& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || address.size() > kLongestText) return false;
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(address.substr(0, colon), error);
  return !error && is_port(std::string_view(address).substr(colon + 1));
}

}  // namespace

wire::PeerDescriptor to_wire(const PeerDescriptor& descriptor) {
  wire::PeerDescriptor message;
  message.set_address(descriptor.address);
  message.set_role(name_of(descriptor.role));
  message.set_zone(descriptor.zone);
  message.set_age(descriptor.age);
  return message;
}

std::optional<PeerDescriptor> from_wire(const wire::PeerDescriptor& descriptor) {
  const bool fit = is_address(descriptor.address()) && descriptor.zone().size() <= kLongestText &&
                   descriptor.age() <= kMaxDescriptorAge;
  if (!fit) return std::nullopt;
  return PeerDescriptor{descriptor.address(), role_of(descriptor.role()), descriptor.zone(),
                        descriptor.age()};
}

std::vector<PeerDescriptor> descriptors_of(const wire::PeerShuffle& shuffle) {
  std::vector<PeerDescriptor> descriptors;
  if (std::optional<PeerDescriptor> sender = from_wire(shuffle.from())) {
    sender->age = 0;
    descriptors.push_back(std::move(*sender));
  }
  const int count = std::min(shuffle.peers_size(), kMaxDescriptorsRead);
  for (int i = 0; i < count; ++i) {
    if (std::optional<PeerDescriptor> peer = from_wire(shuffle.peers(i))) {
      descriptors.push_back(std::move(*peer));
    }
  }
  return descriptors;
}

}  // namespace winchhall::cluster
