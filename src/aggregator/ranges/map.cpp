#include "aggregator/ranges/map.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_set>

namespace winchhall::ranges {
namespace {
constexpr std::size_t kNodeCapacity = 32;  // keys of a node: four cache lines to search, cheap to copy
constexpr std::size_t kBulkLoadKeys = 24;  // keys of a node when a map is built: leaves room for later splits
constexpr std::size_t kMinKeys = 8;        // a node with fewer keys is merged with a neighbour that has room
}  // namespace

struct RangeMap::Node {
  std::uint16_t count = 0;
  bool leaf = true;
  std::array<Key, kNodeCapacity> from{};  // first key of each range, or lowest key of each child
  explicit Node(bool is_leaf) : leaf(is_leaf) {}
  Node(const Node&) = default;

  // Index of the last entry whose key is at most `key`; 0 if there is none. Has no branches that depend on
  // the keys: they can't be predicted, and a misprediction costs more than the whole search.
  std::size_t search(Key key) const {
    const Key* base = from.data();
    std::size_t length = count;
    while (length > 1) {
      std::size_t half = length / 2;
      base = base[half] <= key ? base + half : base;
      length -= half;
    }
    return static_cast<std::size_t>(base - from.data());
  }
};

namespace {

using Node = RangeMap::Node;
using Ptr = RangeMap::Ptr;
using Entry = RangeMap::Entry;

struct Leaf : Node {
  std::array<Entry, kNodeCapacity> entry{};
  Leaf() : Node(true) {}
};

struct Inner : Node {
  std::array<Ptr, kNodeCapacity> child{};
  Inner() : Node(false) {}
};

const Leaf& leaf(const Node& n) { return static_cast<const Leaf&>(n); }
const Inner& inner(const Node& n) { return static_cast<const Inner&>(n); }

// Result of an insertion into a node: its new version, and a second node if it had to be split.
struct InsertResult {
  Ptr first{}, second{};
};

// Inserts or replaces a slot of a node of type T; splits the node if it is full.
template <class T, class Slot, class Slots>
InsertResult put_slot(const T& old, std::size_t at, bool replace, Key key, Slot slot, Slots slots) {
  auto made = std::make_shared<T>(old);
  auto& list = slots(*made);
  if (replace) {
    made->from[at] = key;
    list[at] = std::move(slot);
    return {made, nullptr};
  }
  std::shared_ptr<T> right;
  T* into = made.get();
  if (old.count == kNodeCapacity) {
    right = std::make_shared<T>();
    constexpr std::size_t half = kNodeCapacity / 2;
    for (std::size_t i = half; i < kNodeCapacity; ++i) {
      right->from[i - half] = made->from[i];
      slots(*right)[i - half] = std::move(list[i]);
      list[i] = {};
    }
    made->count = half;
    right->count = kNodeCapacity - half;
    if (at > half) {
      into = right.get();
      at -= half;
    }
  }
  auto& room = slots(*into);
  for (std::size_t i = into->count; i > at; --i) {
    into->from[i] = into->from[i - 1];
    room[i] = std::move(room[i - 1]);
  }
  into->from[at] = key;
  room[at] = std::move(slot);
  ++into->count;
  return {made, right};
}

template <class T, class Slots>
std::shared_ptr<T> without_slot(const T& old, std::size_t at, Slots slots) {
  auto made = std::make_shared<T>(old);
  auto& list = slots(*made);
  for (std::size_t i = at; i + 1 < made->count; ++i) {
    made->from[i] = made->from[i + 1];
    list[i] = std::move(list[i + 1]);
  }
  --made->count;
  list[made->count] = {};
  return made;
}

template <class T, class Slots>
Ptr concatenated(const T& left, const T& right, Slots slots) {
  auto made = std::make_shared<T>(left);
  for (std::size_t i = 0; i < right.count; ++i) {
    made->from[made->count] = right.from[i];
    slots(*made)[made->count] = slots(right)[i];
    ++made->count;
  }
  return made;
}

constexpr auto entries = [](auto& n) -> auto& { return n.entry; };
constexpr auto children = [](auto& n) -> auto& { return n.child; };

InsertResult insert(const Ptr& node, Key key, const Entry& entry) {
  std::size_t at = node->search(key);
  if (node->leaf) {
    bool same = node->count > 0 && node->from[at] == key;
    bool after = node->count > 0 && node->from[at] < key;
    return put_slot(leaf(*node), same ? at : at + after, same, key, entry, entries);
  }
  const Inner& n = inner(*node);
  InsertResult below = insert(n.child[at], key, entry);
  InsertResult here = put_slot(n, at, true, below.first->from[0], below.first, children);
  if (!below.second) return here;
  return put_slot(inner(*here.first), at + 1, false, below.second->from[0], below.second, children);
}

// Null if the node became empty.
Ptr erase(const Ptr& node, Key key) {
  std::size_t at = node->search(key);
  if (node->leaf) {
    if (node->count == 0 || node->from[at] != key) return node;
    if (node->count == 1) return nullptr;
    return without_slot(leaf(*node), at, entries);
  }
  const Inner& n = inner(*node);
  Ptr below = erase(n.child[at], key);
  if (!below) return n.count == 1 ? nullptr : Ptr(without_slot(n, at, children));
  auto made = std::make_shared<Inner>(n);
  made->from[at] = below->from[0];
  made->child[at] = below;
  // A node with few keys is merged with a neighbour that has room. Otherwise a map would keep its size when
  // its ranges are merged.
  if (below->count >= kMinKeys || n.count == 1) return made;
  std::size_t left = at > 0 ? at - 1 : 0;
  const Ptr &a = made->child[left], &b = made->child[left + 1];
  if (a->count + b->count > kNodeCapacity) return made;
  Ptr both =
      a->leaf ? concatenated(leaf(*a), leaf(*b), entries) : concatenated(inner(*a), inner(*b), children);
  made->child[left] = both;
  return without_slot(*made, left + 1, children);
}

std::size_t bytes_of(const Node& node) {
  if (node.leaf) return sizeof(Leaf);
  std::size_t sum = sizeof(Inner);
  for (std::size_t i = 0; i < node.count; ++i) sum += bytes_of(*inner(node).child[i]);
  return sum;
}

// Returns false if the visitor has ended the iteration.
bool visit_node(const Node& node, const Span& span, Key end,
                const std::function<bool(const RangeView&)>& visit) {
  for (std::size_t i = node.search(span.from); i < node.count && node.from[i] < span.to; ++i) {
    Key to = i + 1 < node.count ? node.from[i + 1] : end;
    if (node.leaf) {
      const Entry& e = leaf(node).entry[i];
      if (!visit({e.id, {node.from[i], to}, e.weight, &e.holders})) return false;
    } else if (!visit_node(*inner(node).child[i], span, to, visit)) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string holders_fault(const Holders& holders) {
  if (holders.size() > kMaxHolders) return "more than " + std::to_string(kMaxHolders) + " holders";
  bool any = false;
  for (std::size_t i = 0; i < holders.size(); ++i) {
    const Holder& h = holders[i];
    if (h.server.empty() || h.server.size() > kMaxNameBytes) return "a holder without a fit name";
    for (std::size_t j = 0; j < i; ++j)
      if (holders[j].server == h.server) return "holder " + h.server + " twice";
    any = any || h.role == Role::serving;
  }
  return any ? "" : "no serving holder";
}

std::optional<RangeMap> RangeMap::build(Revision revision, std::vector<Range> ranges, std::string& fault) {
  auto invalid = [&](const Range& r, const std::string& what) -> std::optional<RangeMap> {
    fault = "range " + std::to_string(r.id) + " " + text_of(r.span) + ": " + what;
    return std::nullopt;
  };
  if (ranges.empty()) {
    fault = "no range";
    return std::nullopt;
  }
  std::sort(ranges.begin(), ranges.end(),
            [](const Range& a, const Range& b) { return a.span.from < b.span.from; });
  std::unordered_set<RangeId> ids;
  std::map<Holders, HoldersPtr, bool (*)(const Holders&, const Holders&)> known_holders(
      [](const Holders& a, const Holders& b) {
        return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                            [](const Holder& x, const Holder& y) {
                                              return std::tie(x.server, x.role) < std::tie(y.server, y.role);
                                            });
      });
  Key reached = 0;
  RangeMap map;
  std::vector<Ptr> level;
  std::shared_ptr<Leaf> leaf_node;
  for (Range& r : ranges) {
    if (r.span.empty() || r.span.to > kKeyEnd) return invalid(r, "not within [0, 2^53)");
    if (r.span.from > reached) return invalid(r, "a gap before it, from " + std::to_string(reached));
    if (r.span.from < reached) return invalid(r, "overlaps the range before it");
    if (!std::isfinite(r.weight) || r.weight <= 0) return invalid(r, "a weight that is not above 0");
    if (!ids.insert(r.id).second) return invalid(r, "an id that another range has");
    if (!r.holders) return invalid(r, "no serving holder");
    auto shared = known_holders.find(*r.holders);
    if (shared == known_holders.end()) {
      if (std::string what = holders_fault(*r.holders); !what.empty()) return invalid(r, what);
      shared = known_holders.emplace(*r.holders, r.holders).first;
    }
    reached = r.span.to;
    map.next_id_ = std::max(map.next_id_, r.id + 1);
    if (!leaf_node || leaf_node->count == kBulkLoadKeys) {
      leaf_node = std::make_shared<Leaf>();
      level.push_back(leaf_node);
    }
    leaf_node->from[leaf_node->count] = r.span.from;
    leaf_node->entry[leaf_node->count++] = {r.id, r.weight, shared->second};
  }
  if (reached != kKeyEnd) return invalid(ranges.back(), "the map ends there and not at 2^53");
  map.size_ = ranges.size();
  map.revision_ = revision;
  for (map.depth_ = 1; level.size() > 1; ++map.depth_) {
    std::vector<Ptr> above;
    std::shared_ptr<Inner> inner_node;
    for (const Ptr& child : level) {
      if (!inner_node || inner_node->count == kBulkLoadKeys) {
        inner_node = std::make_shared<Inner>();
        above.push_back(inner_node);
      }
      inner_node->from[inner_node->count] = child->from[0];
      inner_node->child[inner_node->count++] = child;
    }
    level = std::move(above);
  }
  map.root_ = level[0];
  return map;
}

std::size_t RangeMap::bytes() const { return root_ ? bytes_of(*root_) : 0; }

RangeView RangeMap::find(Key key) const {
  const Node* node = root_.get();
  Key end = kKeyEnd;
  for (;;) {
    std::size_t at = node->search(key);
    if (at + 1 < node->count) end = node->from[at + 1];
    if (node->leaf) {
      const Entry& e = leaf(*node).entry[at];
      return {e.id, {node->from[at], end}, e.weight, &e.holders};
    }
    node = inner(*node).child[at].get();
  }
}

void RangeMap::visit(const Span& span, const std::function<bool(const RangeView&)>& visit) const {
  if (root_ && !span.empty()) visit_node(*root_, span, kKeyEnd, visit);
}

std::vector<Range> RangeMap::all() const {
  std::vector<Range> list;
  list.reserve(size_);
  visit({0, kKeyEnd}, [&](const RangeView& p) {
    list.push_back({p.id, p.span, p.weight, *p.holders});
    return true;
  });
  return list;
}

RangeMap RangeMap::with_range(Key from, const Entry& entry) const {
  RangeMap made = *this;
  bool replaces = find(from).span.from == from;
  InsertResult inserted = insert(root_, from, entry);
  made.root_ = inserted.first;
  if (inserted.second) {
    auto top = std::make_shared<Inner>();
    top->count = 2;
    top->from[0] = inserted.first->from[0];
    top->from[1] = inserted.second->from[0];
    top->child[0] = inserted.first;
    top->child[1] = inserted.second;
    made.root_ = top;
    ++made.depth_;
  }
  if (!replaces) ++made.size_;
  return made;
}

RangeMap RangeMap::without_range(Key from) const {
  RangeMap made = *this;
  if (from == 0 || size_ < 2 || find(from).span.from != from) return made;
  made.root_ = erase(root_, from);
  --made.size_;
  while (!made.root_->leaf && made.root_->count == 1) {
    made.root_ = Ptr(inner(*made.root_).child[0]);
    --made.depth_;
  }
  return made;
}

RangeMap RangeMap::with_revision(Revision revision, RangeId next_id) const {
  RangeMap made = *this;
  made.revision_ = revision;
  made.next_id_ = next_id;
  return made;
}

}  // namespace winchhall::ranges
