#include "cluster/membership/sampled_control_nodes.hpp"

#include <algorithm>

namespace winchhall::cluster {

void SampledControlNodes::increment_ages() {
  for (PeerDescriptor& node : nodes_) ++node.age;
  std::erase_if(nodes_, [](const PeerDescriptor& node) { return node.age > kMaxDescriptorAge; });
}

void SampledControlNodes::merge(const std::vector<PeerDescriptor>& received) {
  for (const PeerDescriptor& peer : received) merge_one(peer);
}

void SampledControlNodes::merge_one(const PeerDescriptor& peer) {
  const auto same = [&](const PeerDescriptor& node) { return node.address == peer.address; };
  const auto known = std::find_if(nodes_.begin(), nodes_.end(), same);
  if (known == nodes_.end()) return add(peer);
  if (peer.age > known->age) return;
  if (peer.role == PeerRole::control) {
    *known = peer;
  } else {
    nodes_.erase(known);
  }
}

void SampledControlNodes::add(const PeerDescriptor& peer) {
  if (peer.role != PeerRole::control || peer.address == self_) return;
  nodes_.push_back(peer);
  if (nodes_.size() <= capacity_) return;
  const auto is_younger = [](const PeerDescriptor& left, const PeerDescriptor& right) {
    return left.age < right.age;
  };
  nodes_.erase(std::max_element(nodes_.begin(), nodes_.end(), is_younger));
}

std::vector<Address> SampledControlNodes::addresses() const {
  std::vector<Address> addresses;
  for (const PeerDescriptor& node : nodes_) addresses.push_back(node.address);
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

}  // namespace winchhall::cluster
