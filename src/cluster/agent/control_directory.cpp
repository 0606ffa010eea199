#include "cluster/agent/control_directory.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kInitialBackoff{200};  // doubled with each consecutive failure
constexpr unsigned kMaxBackoffDoublings = 4;

}  // namespace

ControlDirectory::ControlDirectory(Runtime& runtime, const NodeSettings& settings)
    : runtime_(runtime), own_zone_(settings.zone) {
  set_seeds(settings.seed_internal_addresses());
}

void ControlDirectory::set_seeds(const std::vector<Address>& seeds) {
  for (Node& node : nodes_) node.seed = false;
  for (const Address& seed : seeds) find_or_add(seed).seed = true;
  remove_unlisted();
}

void ControlDirectory::set_members(const std::vector<wire::Member>& members) {
  for (Node& node : nodes_) node.member = false;
  for (const wire::Member& member : members) {
    Node& node = find_or_add(member.address());
    node.member = true;
    node.zone = member.zone();
  }
  remove_unlisted();
}

void ControlDirectory::set_sampled(const std::vector<Address>& nodes) {
  for (Node& node : nodes_) node.sampled = false;
  for (const Address& node : nodes) find_or_add(node).sampled = true;
  remove_unlisted();
}

void ControlDirectory::remove_unlisted() {
  std::erase_if(nodes_, [](const Node& node) { return !node.seed && !node.member && !node.sampled; });
}

std::optional<ControlChoice> ControlDirectory::choose(const std::set<Address>& excluded) const {
  const Node* best = nullptr;
  std::uint64_t ties = 0;  // number of nodes as good as the best one; each is chosen with equal probability
  for (const Node& node : nodes_) {
    if (excluded.count(node.address) != 0) continue;
    const bool better = best == nullptr || rank(node) < rank(*best);
    const bool equal = !better && rank(node) == rank(*best);
    ties = better ? 1 : ties + (equal ? 1 : 0);
    if (better || (equal && runtime_.random() % ties == 0)) best = &node;
  }
  if (best == nullptr) return std::nullopt;
  return ControlChoice{best->address, !is_backing_off(*best)};
}

Address ControlDirectory::choose_any(const Address& excluded) const {
  std::vector<const Node*> preferred;
  std::vector<const Node*> others;
  for (const Node& node : nodes_) {
    if (node.address == excluded) continue;
    const bool is_preferred = (node.seed || node.member) && !is_backing_off(node);
    (is_preferred ? preferred : others).push_back(&node);
  }
  const auto& candidates = preferred.empty() ? others : preferred;
  return candidates.empty() ? Address() : candidates[runtime_.random() % candidates.size()]->address;
}

void ControlDirectory::record_success(const Address& address) {
  Node* node = find(address);
  if (node == nullptr) return;
  node->failures = 0;
  node->backoff_until = TimePoint();
}

void ControlDirectory::record_failure(const Address& address) {
  Node* node = find(address);
  if (node == nullptr) return;
  node->backoff_until =
      runtime_.now() + kInitialBackoff * (1u << std::min(node->failures, kMaxBackoffDoublings));
  ++node->failures;
}

ControlDirectory::Node* ControlDirectory::find(const Address& address) {
  const auto is_same = [&](const Node& node) { return node.address == address; };
  const auto found = std::find_if(nodes_.begin(), nodes_.end(), is_same);
  return found == nodes_.end() ? nullptr : &*found;
}

ControlDirectory::Node& ControlDirectory::find_or_add(const Address& address) {
  if (Node* known = find(address)) return *known;
  Node node;
  node.address = address;
  nodes_.push_back(std::move(node));
  return nodes_.back();
}

int ControlDirectory::rank(const Node& node) const {
  // Powers of two, so that each penalty outweighs all smaller ones together.
  constexpr int kBackingOff = 8;
  constexpr int kOnlySampled = 4;
  constexpr int kNotMember = 2;
  constexpr int kOtherZone = 1;
  int rank = 0;
  if (is_backing_off(node)) rank += kBackingOff;
  if (!node.member && !node.seed) rank += kOnlySampled;
  if (!node.member) rank += kNotMember;
  if (node.zone != own_zone_) rank += kOtherZone;
  return rank;
}

}  // namespace winchhall::cluster
